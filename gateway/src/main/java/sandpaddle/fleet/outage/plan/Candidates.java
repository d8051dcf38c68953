package sandpaddle.fleet.outage.plan;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;
import sandpaddle.fleet.content.CacheKey;
import sandpaddle.fleet.content.Candidate;
import sandpaddle.fleet.content.ResultId;
import sandpaddle.fleet.outage.schedule.TimeRange;

/**
 * Answers that may be prefetched, with exponentially weighted averages of their size and engine work. Bounded by
 * entries and by the bytes of their keys; the least recently used entry is evicted. Includes the demand that neighbours
 * report ({@link #recordDemand}), so that the gateway that fetches an answer for the zone knows the demand of the whole
 * zone. Not thread-safe.
 */
public final class Candidates {
    private static final double NEWEST_SAMPLE_WEIGHT = 0.3;
    private static final int MAX_NEIGHBOURS = 64;

    private static final class Statistics {
        private final CacheKey key;
        private final long fingerprint;
        private final Set<Long> groups;
        private double size;
        private double workUs;
        private long maxAgeMs;
        private double priorityWeight;
        private final Map<String, Double> demandByNeighbour = new LinkedHashMap<>(2);

        Statistics(CacheKey key, long fingerprint, Set<Long> groups) {
            this.key = key;
            this.fingerprint = fingerprint;
            this.groups = Set.copyOf(groups);
        }
    }

    private final int maxEntries;
    private final long maxBytes;
    private final Map<ResultId, Statistics> byId = new LinkedHashMap<>(16, 0.75f, true);
    private long bytes;

    /**
     * Creates an empty set.
     *
     * @param maxEntries largest number of answers
     * @param maxBytes largest size of all keys together
     */
    public Candidates(int maxEntries, long maxBytes) {
        this.maxEntries = maxEntries;
        this.maxBytes = maxBytes;
    }

    /** Records that an engine answered a query of a repeatable class. */
    public void recordAnswer(Candidate candidate) {
        Statistics statistics = statisticsOf(candidate);
        boolean isFirst = statistics.size == 0 && statistics.workUs == 0;
        statistics.size = isFirst
                ? candidate.size()
                : statistics.size + NEWEST_SAMPLE_WEIGHT * (candidate.size() - statistics.size);
        statistics.workUs = isFirst
                ? candidate.workUs()
                : statistics.workUs + NEWEST_SAMPLE_WEIGHT * (candidate.workUs() - statistics.workUs);
        statistics.maxAgeMs = candidate.maxAgeMs();
        statistics.priorityWeight = candidate.priorityWeight();
        evictExcess();
    }

    /** Records how many requests a neighbour expects in the coming window; replaces its previous report. */
    public void recordDemand(String neighbour, Candidate candidate, double demand) {
        boolean isKnown = byId.containsKey(candidate.key().id());
        Statistics statistics = statisticsOf(candidate);
        if (!isKnown) {
            statistics.size = candidate.size();
            statistics.workUs = candidate.workUs();
            statistics.maxAgeMs = candidate.maxAgeMs();
            statistics.priorityWeight = candidate.priorityWeight();
        }
        if (statistics.demandByNeighbour.size() < MAX_NEIGHBOURS
                || statistics.demandByNeighbour.containsKey(neighbour)) {
            statistics.demandByNeighbour.put(neighbour, Math.max(0, demand));
        }
        evictExcess();
    }

    /** Discards the reports of all neighbours, after a window. */
    public void clearDemand() {
        byId.values().forEach(statistics -> statistics.demandByNeighbour.clear());
    }

    /** Discards the reports of a neighbour that is gone. */
    public void removeDemandOf(String neighbour) {
        byId.values().forEach(statistics -> statistics.demandByNeighbour.remove(neighbour));
    }

    private Statistics statisticsOf(Candidate candidate) {
        return byId.computeIfAbsent(candidate.key().id(), id -> {
            bytes += candidate.key().memoryBytes();
            return new Statistics(candidate.key(), candidate.fingerprint(), candidate.groups());
        });
    }

    private void evictExcess() {
        var eldest = byId.entrySet().iterator();
        while ((byId.size() > maxEntries || bytes > maxBytes) && eldest.hasNext()) {
            bytes -= eldest.next().getValue().key.memoryBytes();
            eldest.remove();
        }
    }

    /**
     * Returns all candidates.
     *
     * @param storedAtMs returns when the stored copy was fetched (wall clock, ms), or -1 without one
     */
    public List<Candidate> list(ToLongFunction<ResultId> storedAtMs) {
        List<Candidate> candidates = new ArrayList<>(byId.size());
        byId.forEach((id, statistics) -> candidates.add(new Candidate(
                statistics.key,
                statistics.fingerprint,
                statistics.groups,
                (long) Math.ceil(statistics.size),
                (long) Math.ceil(statistics.workUs),
                statistics.maxAgeMs,
                statistics.priorityWeight,
                storedAtMs.applyAsLong(id))));
        return candidates;
    }

    /**
     * Returns a forecast of the demand of this gateway's clients and of its neighbours; the latter is spread evenly
     * over the window.
     */
    public Planner.Forecast forecast(Planner.Forecast ownDemand, TimeRange window) {
        Map<Long, Double> neighbourDemand = new LinkedHashMap<>();
        byId.values()
                .forEach(statistics -> neighbourDemand.merge(
                        statistics.fingerprint,
                        statistics.demandByNeighbour.values().stream()
                                .mapToDouble(demand -> demand)
                                .sum(),
                        Double::sum));
        double rangeLengthMs = Math.max(1, window.endMs() - window.startMs());
        return (fingerprint, range) -> ownDemand.demand(fingerprint, range)
                + neighbourDemand.getOrDefault(fingerprint, 0.0) * (range.endMs() - range.startMs()) / rangeLengthMs;
    }

    /** Returns the number of answers. */
    public int size() {
        return byId.size();
    }

    /** Returns the approximate size of all keys in bytes. */
    public long bytes() {
        return bytes;
    }
}
