package sandpaddle.fleet.content;

import java.util.Set;

/**
 * A result that may be prefetched and cached for an outage; immutable.
 *
 * @param key what the result answers
 * @param fingerprint identifies the statement in the history of request frequencies
 * @param groups data groups that the statement reads; empty if unknown
 * @param size size of the cached result in bytes
 * @param workUs engine time (us) that one execution takes
 * @param maxAgeMs maximum age at which the result may be served
 * @param priorityWeight priority weight of one request that the result answers
 * @param cachedRequestedAtMs wall-clock time (ms) at which the copy in the cache was requested, or -1 if there is none
 */
public record Candidate(
        CacheKey key,
        long fingerprint,
        Set<Long> groups,
        long size,
        long workUs,
        long maxAgeMs,
        double priorityWeight,
        long cachedRequestedAtMs) {
    /** Copies the data groups. */
    public Candidate {
        groups = Set.copyOf(groups);
    }
}
