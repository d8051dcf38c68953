package sandpaddle.decision.model;

import java.util.function.Consumer;
import sandpaddle.decision.action.Action;

/**
 * Context of the event being handled: its time, which is the module's only clock, and the receiver of its actions. Only
 * the decision module begins an event; its parts read the time and emit actions.
 */
public final class EventContext {
    /** A time (us) before any event. Half of the least value, so that differences to it do not overflow. */
    public static final long NEVER = Long.MIN_VALUE / 2;

    private long nowUs;
    private long lastStallAtUs = NEVER;
    private Consumer<Action> actions;

    /** Begins an event: sets the time (us) and the receiver of the actions. */
    public void begin(long eventAtUs, Consumer<Action> receiver) {
        nowUs = eventAtUs;
        actions = receiver;
    }

    /**
     * Records that the gateway was stalled until now, so that deadlines missed before now say nothing about engines.
     */
    public void recordStall() {
        lastStallAtUs = nowUs;
    }

    /** Returns the time of the event (us). */
    public long nowUs() {
        return nowUs;
    }

    /** Returns the end of the last stall of this gateway (us), or {@link #NEVER}. */
    public long lastStallAtUs() {
        return lastStallAtUs;
    }

    /** Emits an action; actions take effect in the order of the calls. */
    public void emit(Action action) {
        actions.accept(action);
    }
}
