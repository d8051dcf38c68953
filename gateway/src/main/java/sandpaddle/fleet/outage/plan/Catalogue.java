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
 * What was learnt of answers that may be stored: whose they are, what they cost an engine and how large they are, as
 * the last few told (exponentially weighted). Bounded by entries and by the bytes of their statements; the one not
 * asked for longest goes first. Neighbours' asks come in as {@link #wanted}, so that the one gateway that fetches for
 * all knows what all of the zone ask.
 */
public final class Catalogue {
    private static final double NEWEST = 0.3;
    private static final int MAX_NEIGHBOURS = 64;

    private static final class Known {
        private final CacheKey key;
        private final long fingerprint;
        private final Set<Long> groups;
        private double size;
        private double workUs;
        private long maxAgeMs;
        private double worthEach;
        private final Map<String, Double> neighbours = new LinkedHashMap<>(2);

        Known(CacheKey key, long fingerprint, Set<Long> groups) {
            this.key = key;
            this.fingerprint = fingerprint;
            this.groups = Set.copyOf(groups);
        }
    }

    private final int maxEntries;
    private final long maxBytes;
    private final Map<ResultId, Known> byId = new LinkedHashMap<>(16, 0.75f, true);
    private long bytes;

    public Catalogue(int maxEntries, long maxBytes) {
        this.maxEntries = maxEntries;
        this.maxBytes = maxBytes;
    }

    /** An answer of a class that may repeat was served by an engine. */
    public void served(Candidate c) {
        Known k = known(c);
        boolean first = k.size == 0 && k.workUs == 0;
        k.size = first ? c.size() : k.size + NEWEST * (c.size() - k.size);
        k.workUs = first ? c.workUs() : k.workUs + NEWEST * (c.workUs() - k.workUs);
        k.maxAgeMs = c.maxAgeMs();
        k.worthEach = c.priorityWeight();
        shrink();
    }

    /** A neighbour expects so many asks of it in the window that comes; it replaces what it told before. */
    public void wanted(String neighbour, Candidate c, double asks) {
        boolean knew = byId.containsKey(c.key().id());
        Known k = known(c);
        if (!knew) {
            k.size = c.size();
            k.workUs = c.workUs();
            k.maxAgeMs = c.maxAgeMs();
            k.worthEach = c.priorityWeight();
        }
        if (k.neighbours.size() < MAX_NEIGHBOURS || k.neighbours.containsKey(neighbour)) {
            k.neighbours.put(neighbour, Math.max(0, asks));
        }
        shrink();
    }

    /** The window is over: what all neighbours told no longer counts. */
    public void forgetAll() {
        byId.values().forEach(k -> k.neighbours.clear());
    }

    /** What a neighbour told no longer counts: it is gone. */
    public void forget(String neighbour) {
        byId.values().forEach(k -> k.neighbours.remove(neighbour));
    }

    private Known known(Candidate c) {
        return byId.computeIfAbsent(c.key().id(), id -> {
            bytes += c.key().memoryBytes();
            return new Known(c.key(), c.fingerprint(), c.groups());
        });
    }

    private void shrink() {
        var i = byId.entrySet().iterator();
        while ((byId.size() > maxEntries || bytes > maxBytes) && i.hasNext()) {
            bytes -= i.next().getValue().key.memoryBytes();
            i.remove();
        }
    }

    /** All of them; {@code storedAt} tells when (wall, ms) a copy at hand was asked for, -1 where there is none. */
    public List<Candidate> candidates(ToLongFunction<ResultId> storedAt) {
        List<Candidate> all = new ArrayList<>(byId.size());
        byId.forEach((id, k) -> all.add(new Candidate(
                k.key,
                k.fingerprint,
                k.groups,
                (long) Math.ceil(k.size),
                (long) Math.ceil(k.workUs),
                k.maxAgeMs,
                k.worthEach,
                storedAt.applyAsLong(id))));
        return all;
    }

    /** Asks of this gateway's clients as {@code own} has them, with its neighbours' spread over the whole window. */
    public Planner.Forecast forecast(Planner.Forecast own, TimeRange window) {
        Map<Long, Double> others = new LinkedHashMap<>();
        byId.values()
                .forEach(k -> others.merge(
                        k.fingerprint,
                        k.neighbours.values().stream().mapToDouble(d -> d).sum(),
                        Double::sum));
        double length = Math.max(1, window.to() - window.from());
        return (fingerprint, span) -> own.asks(fingerprint, span)
                + others.getOrDefault(fingerprint, 0.0) * (span.to() - span.from()) / length;
    }

    public int size() {
        return byId.size();
    }

    public long bytes() {
        return bytes;
    }
}
