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

/** Which answers may be stored: those of classes that may be repeated and whose age is stated, by class's name. */
record StorableClasses(Map<String, Long> maxAge, List<String> classes, DecisionSettings site) {

    /** How old an answer of a class may be handed out; 0: it is never stored. */
    long maxAgeMs(int classIndex) {
        return maxAge.getOrDefault(classes.get(classIndex), 0L);
    }

    boolean repeats(int classIndex) {
        return site.classes().get(classIndex).idempotency() == Idempotency.IDEMPOTENT;
    }

    CacheKey key(int classIndex, Query query) {
        return new CacheKey(query.tenant(), query.user(), classes.get(classIndex), query.statement());
    }

    /** {@code group}: the data group that it reads, below 0 where none is known. */
    Candidate candidate(int classIndex, CacheKey key, long group, ResultSet rows, long latencyUs, long storedAt) {
        long bytes = rows.pages().stream().mapToLong(p -> p.length).sum() + key.memoryBytes();
        return new Candidate(
                key,
                key.id().word0(),
                group < 0 ? Set.of() : Set.of(group),
                bytes,
                latencyUs,
                maxAgeMs(classIndex),
                site.classes().get(classIndex).priorityWeight(),
                storedAt);
    }
}
