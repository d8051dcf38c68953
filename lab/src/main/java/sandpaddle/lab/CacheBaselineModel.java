package sandpaddle.lab;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares other cache policies on the same requests. LRU: the zone's gateways together keep as many engine results as
 * the store of one gateway holds, evict the least recently requested, and serve them within the maximum age of the
 * class. Oracle: knows the requests of the outage in advance, and prefetches before it, within the allowed work, the
 * results with the highest priority weight per microsecond of work.
 */
final class CacheBaselineModel {
    private static final int ENTRY_OVERHEAD_BYTES = 250; // store overhead of one entry
    private static final int RESULT_BYTES = 160; // approximate size of a result of the lab with its statement

    private record CachedResult(long startedUs, long bytes) {}

    private record Candidate(double priorityWeight, long work) {}

    private final LinkedHashMap<String, CachedResult> lru = new LinkedHashMap<>(64, 0.75f, true);
    private final Map<String, Long> maxAgesUs = new HashMap<>();
    private long bytes;
    private long maxBytes;
    private long fillWorkUs;

    void maxAge(String requestClass, long maxAgeUs) {
        maxAgesUs.put(requestClass, maxAgeUs);
    }

    void limits(long newMaxBytes, long newFillWorkUs) {
        maxBytes = newMaxBytes;
        fillWorkUs = newFillWorkUs;
    }

    /**
     * Records an engine's result for a client of the zone.
     *
     * @param startedUs when the run began at the engine
     * @param timestampUs when the client was answered
     */
    void attemptServed(OutageAudit.SentRequest sent, long startedUs, long timestampUs) {
        if (maxAgesUs.getOrDefault(sent.requestClass(), 0L) == 0) {
            return;
        }
        CachedResult cached = lru.put(sent.key(), new CachedResult(startedUs, ENTRY_OVERHEAD_BYTES + RESULT_BYTES));
        bytes += ENTRY_OVERHEAD_BYTES + RESULT_BYTES - (cached == null ? 0 : cached.bytes);
        Iterator<CachedResult> eldest = lru.values().iterator();
        while (bytes > maxBytes && eldest.hasNext()) {
            bytes -= eldest.next().bytes;
            eldest.remove();
        }
    }

    /** Whether LRU would have had the result at a time; must be called in the order of the requests. */
    boolean lruWouldServe(OutageAudit.SentRequest sent, long timestampUs) {
        CachedResult cached = lru.get(sent.key());
        return cached != null
                && cached.startedUs < timestampUs
                && timestampUs - cached.startedUs <= maxAgesUs.getOrDefault(sent.requestClass(), 0L);
    }

    /** Returns when the run of a cached result began; the result must be cached. */
    long resultStartedUs(OutageAudit.SentRequest sent) {
        return lru.get(sent.key()).startedUs;
    }

    /** Returns the priority weight that the oracle policy would have served. */
    double oracle(Collection<OutageAudit.SentRequest> demand) {
        Map<String, Candidate> candidates = new HashMap<>();
        demand.forEach(a -> candidates.merge(
                a.key(),
                new Candidate(a.priorityWeight(), a.work()),
                (x, y) -> new Candidate(x.priorityWeight + y.priorityWeight, x.work)));
        List<Candidate> best = candidates.values().stream()
                .sorted(Comparator.comparingDouble(
                        (Candidate candidate) -> -candidate.priorityWeight / Math.max(1, candidate.work)))
                .toList();
        long remaining = fillWorkUs;
        double servedWeight = 0;
        for (Candidate candidate : best) {
            if (candidate.work <= remaining) {
                remaining -= candidate.work;
                servedWeight += candidate.priorityWeight;
            }
        }
        return servedWeight;
    }
}
