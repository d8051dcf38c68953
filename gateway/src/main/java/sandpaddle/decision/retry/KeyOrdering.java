package sandpaddle.decision.retry;

import java.util.LinkedHashMap;
import java.util.Map;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.model.OrderedKeyQueue;
import sandpaddle.decision.model.PendingRequest;
import sandpaddle.decision.settings.DecisionSettings;

/** Runs requests with the same ordering key one at a time, in order of arrival. */
public final class KeyOrdering {
    private final EventContext context;
    private final long pauseUs;
    private final Map<String, OrderedKeyQueue> queues = new LinkedHashMap<>();

    /** Creates an ordering without keys. */
    public KeyOrdering(DecisionSettings settings, EventContext context) {
        this.context = context;
        pauseUs = settings.rules().orderingPauseUs();
    }

    /** Appends a request to the queue of its key, if its class is ordered. */
    public void add(PendingRequest request) {
        String key = request.request().key();
        if (request.requestClass().ordered() && key != null) {
            OrderedKeyQueue queue = queues.computeIfAbsent(key, unused -> new OrderedKeyQueue());
            request.joinKeyQueue(queue);
            queue.add(request);
        }
    }

    /** Removes a request from the queue of its key. */
    public void remove(PendingRequest request) {
        if (request.keyQueue() != null) {
            request.keyQueue().remove(request);
        }
    }

    /** Whether an attempt of a request may be sent now by the order of its key. A retry does not wait for a pause. */
    public boolean isInTurn(PendingRequest request) {
        OrderedKeyQueue queue = request.keyQueue();
        return queue == null || queue.isFirst(request) && (request.isRetry() || queue.isPauseOver(context.nowUs()));
    }

    /** Pauses the key of a request whose attempt ended but may still be running on the engine. */
    public void pauseAfter(PendingRequest request, AttemptResult result) {
        boolean mayStillRun =
                result == AttemptResult.TIMEOUT || result == AttemptResult.RESET || result == AttemptResult.CANCELLED;
        if (request.keyQueue() != null && mayStillRun) {
            request.keyQueue().pauseUntil(context.nowUs() + pauseUs);
        }
    }

    /** Removes the keys that have no requests and whose pause is over. */
    public void dropIdle() {
        queues.values().removeIf(queue -> queue.isEmpty() && queue.isPauseOver(context.nowUs()));
    }
}
