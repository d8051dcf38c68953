package sandpaddle.serve;

import java.util.ArrayList;
import java.util.List;
import sandpaddle.decide.Gateway;
import sandpaddle.net.Scheduler;

/** What has happened and the module has not been told yet, in order. */
final class Inbox {
    private final Scheduler loop;
    private List<Gateway.Event> events = new ArrayList<>();

    Inbox(Scheduler loop) {
        this.loop = loop;
    }

    /** Has the module told at the end of this turn, or of the next one. */
    void tell(Gateway.Event event) {
        events.add(event);
        loop.again();
    }

    /** All of it, once. */
    List<Gateway.Event> empty() {
        if (events.isEmpty()) {
            return List.of();
        }
        List<Gateway.Event> all = events;
        events = new ArrayList<>();
        return all;
    }
}
