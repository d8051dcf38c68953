package sandpaddle.fleet.content.disk;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Faults not yet logged, the first {@value #MAX_FAULTS} since they were last taken. */
final class FaultLog {
    static final int MAX_FAULTS = 100;

    private final Deque<DiskFault> waiting = new ArrayDeque<>();

    void add(DiskFault.Kind kind, String file, String what) {
        if (waiting.size() < MAX_FAULTS) {
            waiting.add(new DiskFault(kind, file, what));
        }
    }

    void add(DiskFault.Kind kind, String file, IOException e) {
        add(e instanceof Files.NoRoomException ? DiskFault.Kind.FULL : kind, file, e.toString());
    }

    List<DiskFault> take() {
        List<DiskFault> all = List.copyOf(waiting);
        waiting.clear();
        return all;
    }
}
