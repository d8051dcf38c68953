package sandpaddle.serve;

import java.util.ArrayList;
import java.util.List;
import sandpaddle.decide.Gateway;
import sandpaddle.net.Scheduler;

/** The events that the decision module has not been told yet, in order. */
final class EventQueue {
    private final Scheduler loop;
    private List<Gateway.Event> events = new ArrayList<>();

    EventQueue(Scheduler loop) {
        this.loop = loop;
    }

    /** Has the module told at the end of this turn, or of the next one. */
    void add(Gateway.Event event) {
        events.add(event);
        loop.again();
    }

    /** Takes all of them. */
    List<Gateway.Event> drain() {
        if (events.isEmpty()) {
            return List.of();
        }
        List<Gateway.Event> all = events;
        events = new ArrayList<>();
        return all;
    }
}
