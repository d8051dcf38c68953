package sandpaddle.decision.model;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** All pending requests of the gateway, and the queue of those without an attempt in flight, earliest due first. */
public final class PendingRequests {
    private final Map<String, PendingRequest> byId = new HashMap<>();
    private final TreeSet<PendingRequest> queue = new TreeSet<>(
            Comparator.comparingLong(PendingRequest::dueAtUs).thenComparingLong(PendingRequest::sequence));

    /** Adds a request and queues it. */
    public void add(PendingRequest request) {
        byId.put(request.id(), request);
        queue.add(request);
    }

    /** Queues a request again for a retry. */
    public void requeue(PendingRequest request) {
        queue.add(request);
    }

    /** Removes a request from the queue, because an attempt is sent or it is finished. */
    public void dequeue(PendingRequest request) {
        queue.remove(request);
    }

    /** Removes a request that is finished and has no attempt in flight. */
    public void remove(PendingRequest request) {
        byId.remove(request.id());
    }

    /** Returns the request with an id, or null. */
    public PendingRequest find(String id) {
        return byId.get(id);
    }

    /** Whether a request with an id is pending. */
    public boolean contains(String id) {
        return byId.containsKey(id);
    }

    /** Returns all requests, in no particular order. */
    public Collection<PendingRequest> all() {
        return byId.values();
    }

    /** Returns a copy of the queue, earliest due first. */
    public List<PendingRequest> queued() {
        return List.copyOf(queue);
    }

    /** Whether a request is at the head of the queue, which must not be empty. */
    public boolean isFirst(PendingRequest request) {
        return queue.first() == request;
    }
}
