package sandpaddle.decision.model;

import java.util.ArrayDeque;

/** Queue of the requests of one ordering key, and the pause after an attempt that may still be running. */
public final class OrderedKeyQueue {
    private final ArrayDeque<PendingRequest> requests = new ArrayDeque<>();
    private long pausedUntilUs = EventContext.NEVER;

    /** Appends a request. */
    public void add(PendingRequest request) {
        requests.add(request);
    }

    /** Removes a finished request. */
    public void remove(PendingRequest request) {
        requests.remove(request);
    }

    /** Whether a request is at the head of the queue. */
    public boolean isFirst(PendingRequest request) {
        return requests.peek() == request;
    }

    /** Delays the first attempts of the queued requests until a time (us). */
    public void pauseUntil(long timeUs) {
        pausedUntilUs = timeUs;
    }

    /** Whether the pause is over. */
    public boolean isPauseOver(long nowUs) {
        return pausedUntilUs <= nowUs;
    }

    /** Whether no request is queued or running. */
    public boolean isEmpty() {
        return requests.isEmpty();
    }
}
