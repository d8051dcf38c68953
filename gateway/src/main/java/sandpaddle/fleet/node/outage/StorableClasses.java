package sandpaddle.fleet.node.outage;

import java.util.List;
import java.util.Map;
import java.util.Set;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.Idempotency;
import sandpaddle.fleet.content.CacheKey;
import sandpaddle.fleet.content.Candidate;
import sandpaddle.query.Query;
import sandpaddle.query.ResultSet;

/**
 * Query classes whose answers may be stored: those that are repeatable and have a maximum age.
 *
 * @param maxAgeMsByClass maximum age of stored answers in milliseconds, by name of the class
 * @param classes names of the query classes by index
 * @param settings settings of the decision module
 */
record StorableClasses(Map<String, Long> maxAgeMsByClass, List<String> classes, DecisionSettings settings) {

    /** Returns the maximum age (ms) at which a stored answer of a class may be served; 0 if it is never stored. */
    long maxAgeMs(int classIndex) {
        return maxAgeMsByClass.getOrDefault(classes.get(classIndex), 0L);
    }

    boolean isRepeatable(int classIndex) {
        return settings.classes().get(classIndex).idempotency() == Idempotency.IDEMPOTENT;
    }

    CacheKey keyOf(int classIndex, Query query) {
        return new CacheKey(query.tenant(), query.user(), classes.get(classIndex), query.statement());
    }

    /**
     * Creates a candidate from an answer.
     *
     * @param classIndex index of the class
     * @param key key of the answer
     * @param dataGroup data group that the answer is read from; negative if it is not known
     * @param rows the answer
     * @param latencyUs latency of the attempt, taken as its engine work, in microseconds
     * @param storedAtMs when the stored copy was fetched (wall clock, ms), or -1 without one
     */
    Candidate toCandidate(
            int classIndex, CacheKey key, long dataGroup, ResultSet rows, long latencyUs, long storedAtMs) {
        long bytes = rows.pages().stream().mapToLong(page -> page.length).sum() + key.memoryBytes();
        return new Candidate(
                key,
                key.id().word0(),
                dataGroup < 0 ? Set.of() : Set.of(dataGroup),
                bytes,
                latencyUs,
                maxAgeMs(classIndex),
                settings.classes().get(classIndex).priorityWeight(),
                storedAtMs);
    }
}
