package sandpaddle.fleet.verdict.watch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.verdict.VerdictSettings;
import sandpaddle.fleet.verdict.evidence.EvidenceRecord;
import sandpaddle.fleet.verdict.evidence.Finding;
import sandpaddle.fleet.verdict.evidence.Topic;

class LocalObserverTest {
    private static final VerdictSettings SETTINGS = VerdictSettings.DEFAULT;
    private static final long TICK = SETTINGS.evidenceIntervalUs();

    private final LocalObserver watch = new LocalObserver("g", "north", 1, SETTINGS, 0);
    private long now;
    private final Set<String> accused = new java.util.TreeSet<>();

    private List<ListedEngine> lines() {
        return new ArrayList<>(List.of(
                new ListedEngine("n1", "north", 0, false),
                new ListedEngine("n2", "north", 0, false),
                new ListedEngine("s1", "south", 0, false),
                new ListedEngine("s2", "south", 0, false)));
    }

    {
        watch.updateEngines(0, lines());
    }

    private List<EvidenceRecord> tick() {
        now += TICK;
        return watch.tick(now, accused);
    }

    private void ticks(int n) {
        for (int i = 0; i < n; i++) {
            tick();
        }
    }

    private void ends(String engine, AttemptOutcome outcome, int times) {
        for (int i = 0; i < times; i++) {
            watch.attemptEnded(now, engine, outcome, 10_000, 10_000);
        }
    }

    private static Map<String, Finding> found(List<EvidenceRecord> told, Topic topic) {
        Map<String, Finding> map = new HashMap<>();
        told.stream()
                .filter(record -> record.subject().topic() == topic)
                .forEach(record -> map.put(record.subject().name(), record.finding()));
        return map;
    }

    private Map<String, Finding> health() {
        return found(tick(), Topic.HEALTH);
    }

    @Test
    void eachKindOfEngineFaultIsDetected() {
        ends("n2", AttemptOutcome.ANSWERED, 5);
        ends("s2", AttemptOutcome.ANSWERED, 5);
        ends("n1", AttemptOutcome.FAILED, 1);
        assertEquals(Map.of("n1", Finding.FAILING), health(), "one failure is told, with its strength");
        ends("s1", AttemptOutcome.UNREACHABLE, 2);
        assertEquals(Map.of("s1", Finding.UNRESPONSIVE), health());
        watch.updateEngines(now, List.of());
        watch.updateEngines(now, lines());
        for (int i = 0; i < 3; i++) {
            watch.attemptEnded(now, "n1", AttemptOutcome.ANSWERED, 50_000, 10_000);
            ends("n2", AttemptOutcome.ANSWERED, 1);
        }
        assertEquals(Map.of("n1", Finding.SLOW), health());
    }

    @Test
    void healthyEnginesAreReportedOnlyIfAccused() {
        ends("n1", AttemptOutcome.ANSWERED, 3);
        assertEquals(Map.of(), health());
        accused.add("n1");
        assertEquals(Map.of("n1", Finding.HEALTHY), health());
    }

    /** Two good answers end an own accusation, and what it rested on does not come back. */
    @Test
    void recoveryIsReportedAtOnceAndPersists() {
        ends("n2", AttemptOutcome.ANSWERED, 5);
        ends("n1", AttemptOutcome.FAILED, 4);
        assertEquals(Finding.FAILING, health().get("n1"));
        ends("n1", AttemptOutcome.ANSWERED, 1);
        assertEquals(Map.of(), health(), "one may be luck");
        ends("n1", AttemptOutcome.ANSWERED, 1);
        assertEquals(Map.of("n1", Finding.HEALTHY), health());
        for (int i = 0; i < 10; i++) {
            assertTrue(health().getOrDefault("n1", Finding.HEALTHY) == Finding.HEALTHY);
        }
    }

    @Test
    void aSlowQueryDoesNotMakeAnEngineUnresponsive() {
        ticks(20);
        ends("n2", AttemptOutcome.ANSWERED, 3);
        ends("n1", AttemptOutcome.ANSWERED, 1);
        ticks(2);
        watch.attemptEnded(now, "n1", AttemptOutcome.NO_ANSWER, 800_000, 10_000); // others were answered meanwhile
        assertEquals(Map.of(), health());
        watch.attemptEnded(now, "n1", AttemptOutcome.NO_ANSWER, 10_000, 10_000);
        watch.attemptEnded(now, "n1", AttemptOutcome.NO_ANSWER, 10_000, 10_000);
        assertEquals(Map.of("n1", Finding.UNRESPONSIVE), health());
    }

    @Test
    void failuresOnAllEnginesAreNoEngineFault() {
        ends("n1", AttemptOutcome.FAILED, 6);
        ends("n1", AttemptOutcome.ANSWERED, 4);
        for (String other : List.of("n2", "s1", "s2")) {
            ends(other, AttemptOutcome.FAILED, 4);
            ends(other, AttemptOutcome.ANSWERED, 6);
        }
        assertEquals(Map.of(), health());
    }

    @Test
    void outcomesOfAPredecessorAreNotCountedForItsSuccessor() {
        ends("n2", AttemptOutcome.ANSWERED, 3);
        ticks(10);
        List<ListedEngine> lines = lines();
        lines.set(0, new ListedEngine("n1", "north", 9, false));
        watch.updateEngines(now, lines);
        watch.attemptEnded(now + 1000, "n1", AttemptOutcome.FAILED, 100_000, 10_000);
        List<EvidenceRecord> told = tick();
        assertEquals(Map.of(), found(told, Topic.HEALTH));
        assertEquals(Map.of("n1", Finding.WARMING_UP), found(told, Topic.ENGINE_START));
    }

    /** A gateway that stood still accuses nobody of its own delay, says so, and trusts itself again after a while. */
    @Test
    void lateTimersCauseSelfDoubt() {
        ends("n2", AttemptOutcome.ANSWERED, 3);
        ticks(3);
        now += 1_500_000;
        ends("n1", AttemptOutcome.NO_ANSWER, 3);
        List<EvidenceRecord> told = tick();
        assertEquals(Map.of("g", Finding.STALLED), found(told, Topic.SELF_HEALTH));
        assertEquals(Map.of(), found(told, Topic.HEALTH));
        ticks(15);
        assertEquals(Finding.STALLED, watch.selfFinding(), "not at once");
        ticks(20);
        assertEquals(Finding.SELF_HEALTHY, watch.selfFinding());
    }

    @Test
    void mostEnginesFailingCausesSelfDoubtButKeepsReachability() {
        ends("n1", AttemptOutcome.ANSWERED, 3);
        ends("s1", AttemptOutcome.NO_ANSWER, 2);
        ends("s2", AttemptOutcome.UNREACHABLE, 2);
        List<EvidenceRecord> told = tick();
        assertEquals(Map.of("g", Finding.MOST_ENGINES_FAILING), found(told, Topic.SELF_HEALTH));
        assertEquals(Map.of("g", Finding.ONLY_OWN_ZONE_REACHABLE), found(told, Topic.REACHABILITY));
        ends("s1", AttemptOutcome.ANSWERED, 3);
        ends("s2", AttemptOutcome.ANSWERED, 3);
        told = tick();
        assertEquals(Map.of("g", Finding.OUTSIDE_REACHABLE), found(told, Topic.REACHABILITY));
        ticks(11);
        assertEquals(Finding.SELF_HEALTHY, watch.selfFinding());
    }

    @Test
    void oneUnreachableEngineOutsideIsNoLostLink() {
        ends("s1", AttemptOutcome.UNREACHABLE, 9);
        assertEquals(Map.of(), found(tick(), Topic.REACHABILITY));
    }

    /** What goes on is repeated three times a lease, what stands still is not: its age must show. */
    @Test
    void evidenceIsRenewedOnlyByNewOutcomes() {
        ends("n2", AttemptOutcome.ANSWERED, 9);
        ends("n1", AttemptOutcome.FAILED, 5);
        assertEquals(1, health().size());
        int told = 0;
        for (int i = 0; i < 40; i++) {
            told += health().size();
        }
        assertEquals(0, told);
        ends("n1", AttemptOutcome.FAILED, 1);
        assertEquals(1, health().size());
    }

    @Test
    void drainsAndTheirEndAreReportedButNotTheFirstList() {
        assertEquals(Map.of(), found(tick(), Topic.ENGINE_START));
        List<ListedEngine> lines = lines();
        lines.set(0, new ListedEngine("n1", "north", 0, true));
        watch.updateEngines(now, lines);
        assertEquals(Map.of("n1", Finding.DRAINING), found(tick(), Topic.DRAIN));
        watch.updateEngines(now, lines());
        assertEquals(Map.of("n1", Finding.WITHDRAWN), found(tick(), Topic.DRAIN));
    }

    @Test
    void tenantUsageIsBoundedAndItsEndIsReported() {
        Map<String, Double> used = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            used.put("t" + i, 1.0 + i);
        }
        watch.updateTenantUsage(used);
        assertEquals(
                LocalObserver.MAX_TENANTS, found(tick(), Topic.TENANT_USAGE).size());
        watch.updateTenantUsage(Map.of("t199", 300.0));
        List<EvidenceRecord> told = tick();
        assertEquals(
                LocalObserver.MAX_TENANTS,
                told.stream()
                        .filter(record -> record.subject().topic() == Topic.TENANT_USAGE)
                        .count());
        assertEquals(300, told.stream().mapToDouble(EvidenceRecord::usage).sum());
    }

    /** Attempts are held back from engines that are silent: then probes alone tell that they still are. */
    @Test
    void unansweredHealthChecksShowThatNothingOutsideIsReachable() {
        watch.healthCheckUnanswered(now, "s1");
        watch.healthCheckUnanswered(now, "s2");
        assertEquals(Map.of(), found(tick(), Topic.REACHABILITY));
        watch.healthCheckUnanswered(now, "s2");
        assertEquals(Map.of("g", Finding.NONE_REACHABLE), found(tick(), Topic.REACHABILITY));
    }
}
