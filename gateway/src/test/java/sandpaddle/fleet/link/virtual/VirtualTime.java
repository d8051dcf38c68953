package sandpaddle.fleet.link.virtual;

import java.util.PriorityQueue;

/** A discrete event scheduler with a virtual clock; events of the same time run in the order of their scheduling. */
public final class VirtualTime {
    private record Event(long atUs, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowUs;
    private long lastSequence;

    /** Microseconds since the start. */
    public long now() {
        return nowUs;
    }

    /** Schedules an action at a time (us), or now if that has passed. */
    public void at(long us, Runnable action) {
        events.add(new Event(Math.max(nowUs, us), ++lastSequence, action));
    }

    /** Schedules an action after a delay (us). */
    public void after(long us, Runnable action) {
        at(nowUs + us, action);
    }

    /** Runs all events up to a time (us), including those scheduled meanwhile, and sets the clock to it. */
    public void advance(long toUs) {
        while (!events.isEmpty() && events.peek().atUs <= toUs) {
            Event event = events.poll();
            nowUs = event.atUs;
            event.action.run();
        }
        nowUs = Math.max(nowUs, toUs);
    }
}
