package sandpaddle.decision;

import java.util.function.Consumer;
import sandpaddle.decision.action.Action;
import sandpaddle.decision.event.Event;

/**
 * The decision module: it decides which engine runs a request and when, whether an attempt is retried, and which
 * requests are rejected.
 *
 * <p>One instance serves one gateway and is called by one thread at a time. The module performs no I/O and has no
 * clock: each event carries its time in microseconds from an arbitrary origin, and times never decrease. Request ids
 * are unique for the lifetime of an instance; engine ids are opaque. Actions take effect in the order in which they are
 * emitted, at the time of the event. A request for which no action is emitted stays queued.
 */
public interface DecisionModule {

    /**
     * Handles one event.
     *
     * @param nowUs time of the event, in microseconds
     * @param event the event
     * @param actions receives the resulting actions in order, before the call returns
     */
    void handle(long nowUs, Event event, Consumer<Action> actions);
}
