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
    private static final long TICK_US = SETTINGS.evidenceIntervalUs();

    private final LocalObserver observer = new LocalObserver("g", "north", 1, SETTINGS, 0);
    private long nowUs;
    private final Set<String> accused = new java.util.TreeSet<>();

    private List<ListedEngine> listedEngines() {
        return new ArrayList<>(List.of(
                new ListedEngine("n1", "north", 0, false),
                new ListedEngine("n2", "north", 0, false),
                new ListedEngine("s1", "south", 0, false),
                new ListedEngine("s2", "south", 0, false)));
    }

    {
        observer.updateEngines(0, listedEngines());
    }

    private List<EvidenceRecord> tick() {
        nowUs += TICK_US;
        return observer.tick(nowUs, accused);
    }

    private void ticks(int count) {
        for (int i = 0; i < count; i++) {
            tick();
        }
    }

    private void attemptsEnd(String engine, AttemptOutcome outcome, int count) {
        for (int i = 0; i < count; i++) {
            observer.attemptEnded(nowUs, engine, outcome, 10_000, 10_000);
        }
    }

    private static Map<String, Finding> findings(List<EvidenceRecord> records, Topic topic) {
        Map<String, Finding> findings = new HashMap<>();
        records.stream()
                .filter(record -> record.subject().topic() == topic)
                .forEach(record -> findings.put(record.subject().name(), record.finding()));
        return findings;
    }

    private Map<String, Finding> healthFindings() {
        return findings(tick(), Topic.HEALTH);
    }

    @Test
    void eachKindOfEngineFaultIsDetected() {
        attemptsEnd("n2", AttemptOutcome.ANSWERED, 5);
        attemptsEnd("s2", AttemptOutcome.ANSWERED, 5);
        attemptsEnd("n1", AttemptOutcome.FAILED, 1);
        assertEquals(Map.of("n1", Finding.FAILING), healthFindings(), "a single failure is reported");
        attemptsEnd("s1", AttemptOutcome.UNREACHABLE, 2);
        assertEquals(Map.of("s1", Finding.UNRESPONSIVE), healthFindings());
        observer.updateEngines(nowUs, List.of());
        observer.updateEngines(nowUs, listedEngines());
        for (int i = 0; i < 3; i++) {
            observer.attemptEnded(nowUs, "n1", AttemptOutcome.ANSWERED, 50_000, 10_000);
            attemptsEnd("n2", AttemptOutcome.ANSWERED, 1);
        }
        assertEquals(Map.of("n1", Finding.SLOW), healthFindings());
    }

    @Test
    void healthyEnginesAreReportedOnlyIfAccused() {
        attemptsEnd("n1", AttemptOutcome.ANSWERED, 3);
        assertEquals(Map.of(), healthFindings());
        accused.add("n1");
        assertEquals(Map.of("n1", Finding.HEALTHY), healthFindings());
    }

    /** Two successes end an own accusation, and earlier failures do not count again. */
    @Test
    void recoveryIsReportedAtOnceAndPersists() {
        attemptsEnd("n2", AttemptOutcome.ANSWERED, 5);
        attemptsEnd("n1", AttemptOutcome.FAILED, 4);
        assertEquals(Finding.FAILING, healthFindings().get("n1"));
        attemptsEnd("n1", AttemptOutcome.ANSWERED, 1);
        assertEquals(Map.of(), healthFindings(), "a single success may be chance");
        attemptsEnd("n1", AttemptOutcome.ANSWERED, 1);
        assertEquals(Map.of("n1", Finding.HEALTHY), healthFindings());
        for (int i = 0; i < 10; i++) {
            assertTrue(healthFindings().getOrDefault("n1", Finding.HEALTHY) == Finding.HEALTHY);
        }
    }

    @Test
    void slowQueryDoesNotMakeAnEngineUnresponsive() {
        ticks(20);
        attemptsEnd("n2", AttemptOutcome.ANSWERED, 3);
        attemptsEnd("n1", AttemptOutcome.ANSWERED, 1);
        ticks(2);
        observer.attemptEnded(
                nowUs, "n1", AttemptOutcome.NO_ANSWER, 800_000, 10_000); // another query was answered meanwhile
        assertEquals(Map.of(), healthFindings());
        observer.attemptEnded(nowUs, "n1", AttemptOutcome.NO_ANSWER, 10_000, 10_000);
        observer.attemptEnded(nowUs, "n1", AttemptOutcome.NO_ANSWER, 10_000, 10_000);
        assertEquals(Map.of("n1", Finding.UNRESPONSIVE), healthFindings());
    }

    @Test
    void failuresOnAllEnginesAreNoEngineFault() {
        attemptsEnd("n1", AttemptOutcome.FAILED, 6);
        attemptsEnd("n1", AttemptOutcome.ANSWERED, 4);
        for (String other : List.of("n2", "s1", "s2")) {
            attemptsEnd(other, AttemptOutcome.FAILED, 4);
            attemptsEnd(other, AttemptOutcome.ANSWERED, 6);
        }
        assertEquals(Map.of(), healthFindings());
    }

    @Test
    void outcomesOfAPredecessorAreNotCountedForItsSuccessor() {
        attemptsEnd("n2", AttemptOutcome.ANSWERED, 3);
        ticks(10);
        List<ListedEngine> engines = listedEngines();
        engines.set(0, new ListedEngine("n1", "north", 9, false));
        observer.updateEngines(nowUs, engines);
        observer.attemptEnded(nowUs + 1000, "n1", AttemptOutcome.FAILED, 100_000, 10_000);
        List<EvidenceRecord> records = tick();
        assertEquals(Map.of(), findings(records, Topic.HEALTH));
        assertEquals(Map.of("n1", Finding.WARMING_UP), findings(records, Topic.ENGINE_START));
    }

    /** A stalled gateway accuses no engine because of its own delay, reports itself as stalled and recovers later. */
    @Test
    void lateTicksCauseSelfSuspicion() {
        attemptsEnd("n2", AttemptOutcome.ANSWERED, 3);
        ticks(3);
        nowUs += 1_500_000;
        attemptsEnd("n1", AttemptOutcome.NO_ANSWER, 3);
        List<EvidenceRecord> records = tick();
        assertEquals(Map.of("g", Finding.STALLED), findings(records, Topic.SELF_HEALTH));
        assertEquals(Map.of(), findings(records, Topic.HEALTH));
        ticks(15);
        assertEquals(Finding.STALLED, observer.selfFinding(), "still within the recovery time");
        ticks(20);
        assertEquals(Finding.SELF_HEALTHY, observer.selfFinding());
    }

    @Test
    void mostEnginesFailingCausesSelfSuspicionButKeepsReachability() {
        attemptsEnd("n1", AttemptOutcome.ANSWERED, 3);
        attemptsEnd("s1", AttemptOutcome.NO_ANSWER, 2);
        attemptsEnd("s2", AttemptOutcome.UNREACHABLE, 2);
        List<EvidenceRecord> records = tick();
        assertEquals(Map.of("g", Finding.MOST_ENGINES_FAILING), findings(records, Topic.SELF_HEALTH));
        assertEquals(Map.of("g", Finding.ONLY_OWN_ZONE_REACHABLE), findings(records, Topic.REACHABILITY));
        attemptsEnd("s1", AttemptOutcome.ANSWERED, 3);
        attemptsEnd("s2", AttemptOutcome.ANSWERED, 3);
        records = tick();
        assertEquals(Map.of("g", Finding.OUTSIDE_REACHABLE), findings(records, Topic.REACHABILITY));
        ticks(11);
        assertEquals(Finding.SELF_HEALTHY, observer.selfFinding());
    }

    @Test
    void singleUnreachableEngineOutsideIsNoLinkFault() {
        attemptsEnd("s1", AttemptOutcome.UNREACHABLE, 9);
        assertEquals(Map.of(), findings(tick(), Topic.REACHABILITY));
    }

    /** Without new outcomes the evidence is not renewed, so that it expires. */
    @Test
    void evidenceIsRenewedOnlyByNewOutcomes() {
        attemptsEnd("n2", AttemptOutcome.ANSWERED, 9);
        attemptsEnd("n1", AttemptOutcome.FAILED, 5);
        assertEquals(1, healthFindings().size());
        int reports = 0;
        for (int i = 0; i < 40; i++) {
            reports += healthFindings().size();
        }
        assertEquals(0, reports);
        attemptsEnd("n1", AttemptOutcome.FAILED, 1);
        assertEquals(1, healthFindings().size());
    }

    @Test
    void drainsAndTheirEndAreReportedButNotTheFirstList() {
        assertEquals(Map.of(), findings(tick(), Topic.ENGINE_START));
        List<ListedEngine> engines = listedEngines();
        engines.set(0, new ListedEngine("n1", "north", 0, true));
        observer.updateEngines(nowUs, engines);
        assertEquals(Map.of("n1", Finding.DRAINING), findings(tick(), Topic.DRAIN));
        observer.updateEngines(nowUs, listedEngines());
        assertEquals(Map.of("n1", Finding.WITHDRAWN), findings(tick(), Topic.DRAIN));
    }

    @Test
    void tenantUsageIsBoundedAndItsEndIsReported() {
        Map<String, Double> usage = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            usage.put("t" + i, 1.0 + i);
        }
        observer.updateTenantUsage(usage);
        assertEquals(
                LocalObserver.MAX_TENANTS, findings(tick(), Topic.TENANT_USAGE).size());
        observer.updateTenantUsage(Map.of("t199", 300.0));
        List<EvidenceRecord> records = tick();
        assertEquals(
                LocalObserver.MAX_TENANTS,
                records.stream()
                        .filter(record -> record.subject().topic() == Topic.TENANT_USAGE)
                        .count());
        assertEquals(300, records.stream().mapToDouble(EvidenceRecord::usage).sum());
    }

    /** No attempts are sent to unresponsive engines, so only health checks show that they still are unreachable. */
    @Test
    void unansweredHealthChecksShowThatNothingOutsideIsReachable() {
        observer.healthCheckUnanswered(nowUs, "s1");
        observer.healthCheckUnanswered(nowUs, "s2");
        assertEquals(Map.of(), findings(tick(), Topic.REACHABILITY));
        observer.healthCheckUnanswered(nowUs, "s2");
        assertEquals(Map.of("g", Finding.NONE_REACHABLE), findings(tick(), Topic.REACHABILITY));
    }
}
