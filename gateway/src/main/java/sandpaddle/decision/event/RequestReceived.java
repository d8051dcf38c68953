package sandpaddle.decision.event;

/**
 * A client sent a request.
 *
 * @param id unique identifier
 * @param classIndex index of its class in the settings
 * @param key idempotency or ordering key, null where it has none
 * @param expiresInUs time until its deadline, in microseconds
 * @param estimateUs the client's estimate of its work in microseconds, 0 where unknown
 * @param memoryMb the client's estimate of its memory in MB, 0 where unknown
 * @param dataGroup identifier of the set of tables that it reads, -1 where unknown
 * @param retry whether the client marked it as a retry
 * @param sheddable whether the overload controller marked it as sheddable: it is rejected where it would otherwise be
 *     queued
 * @param tenant index of its tenant, -1 where unknown
 */
public record RequestReceived(
        String id,
        int classIndex,
        String key,
        long expiresInUs,
        long estimateUs,
        double memoryMb,
        long dataGroup,
        boolean retry,
        boolean sheddable,
        int tenant)
        implements Event {

    /** Creates a request of an unknown tenant. */
    public RequestReceived(
            String id,
            int classIndex,
            String key,
            long expiresInUs,
            long estimateUs,
            double memoryMb,
            long dataGroup,
            boolean retry,
            boolean sheddable) {
        this(id, classIndex, key, expiresInUs, estimateUs, memoryMb, dataGroup, retry, sheddable, -1);
    }

    /** Creates a request of an unknown tenant that is not sheddable. */
    public RequestReceived(
            String id,
            int classIndex,
            String key,
            long expiresInUs,
            long estimateUs,
            double memoryMb,
            long dataGroup,
            boolean retry) {
        this(id, classIndex, key, expiresInUs, estimateUs, memoryMb, dataGroup, retry, false);
    }
}
