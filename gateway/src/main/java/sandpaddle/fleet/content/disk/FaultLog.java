package sandpaddle.fleet.content.disk;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Faults that are not yet logged: the first {@value #MAX_FAULTS} since the last {@link #drain}. */
final class FaultLog {
    static final int MAX_FAULTS = 100;

    private final Deque<DiskFault> pending = new ArrayDeque<>();

    void add(DiskFault.Kind kind, String file, String detail) {
        if (pending.size() < MAX_FAULTS) {
            pending.add(new DiskFault(kind, file, detail));
        }
    }

    void add(DiskFault.Kind kind, String file, IOException fault) {
        add(fault instanceof StorageDirectory.DiskFullException ? DiskFault.Kind.FULL : kind, file, fault.toString());
    }

    List<DiskFault> drain() {
        List<DiskFault> drained = List.copyOf(pending);
        pending.clear();
        return drained;
    }
}
