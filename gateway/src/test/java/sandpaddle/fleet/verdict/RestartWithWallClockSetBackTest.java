package sandpaddle.fleet.verdict;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.verdict.evidence.EvidenceRecord;
import sandpaddle.fleet.verdict.evidence.Subject;
import sandpaddle.fleet.verdict.evidence.Topic;
import sandpaddle.fleet.verdict.watch.AttemptOutcome;
import sandpaddle.fleet.verdict.watch.ListedEngine;

/** A gateway restarts after its wall clock was set back: its incarnation is less than that of its last process. */
class RestartWithWallClockSetBackTest {
    private static final long SECOND_US = 1_000_000;
    private static final long FIRST_INCARNATION = 2_000;
    private static final long SECOND_INCARNATION = 1_000;
    private static final long STEP_US = VerdictSettings.DEFAULT.evidenceIntervalUs();
    private static final String GROUP = "7";

    private final FleetVerdicts peer = gateway("b", 1, 0);
    private long nowUs;

    private static FleetVerdicts gateway(String name, long incarnation, long nowUs) {
        FleetVerdicts verdicts = new FleetVerdicts(name, "east", incarnation, VerdictSettings.DEFAULT, 0, nowUs);
        verdicts.updateRoster(Map.of("a", "east", "b", "east"), Set.of("b"));
        verdicts.updateEngines(nowUs, List.of(new ListedEngine("e", "east", 0, false)));
        return verdicts;
    }

    private void connect(FleetVerdicts gateway, long incarnation) {
        gateway.linkUp("b", 1, nowUs);
        peer.linkUp("a", incarnation, nowUs);
    }

    private void send(FleetVerdicts from, String fromName, FleetVerdicts to, String toName) {
        from.tick(nowUs);
        from.nextBatch(nowUs, toName).ifPresent(batch -> {
            from.batchSent(toName, batch);
            to.batchReceived(nowUs, fromName, batch);
        });
    }

    private void runUntil(FleetVerdicts gateway, long untilUs) {
        for (; nowUs < untilUs; nowUs += STEP_US) {
            send(gateway, "a", peer, "b");
            send(peer, "b", gateway, "a");
        }
    }

    private FleetVerdicts restart() {
        FleetVerdicts restarted = gateway("a", SECOND_INCARNATION, nowUs);
        connect(restarted, SECOND_INCARNATION);
        return restarted;
    }

    @Test
    void dataLoadAfterTheRestartIsNotLostBehindAnEarlierOne() {
        FleetVerdicts first = gateway("a", FIRST_INCARNATION, 0);
        connect(first, FIRST_INCARNATION);
        first.observer().loadCompleted(nowUs, GROUP);
        runUntil(first, 10 * SECOND_US);
        long loadedUs = nowUs;
        FleetVerdicts second = restart();
        second.observer().loadCompleted(loadedUs, GROUP);
        runUntil(second, 20 * SECOND_US);
        assertTrue(peer.lastLoadUs(GROUP, 0) >= loadedUs, "last load " + peer.lastLoadUs(GROUP, 0));
    }

    @Test
    void dataLoadBeforeTheEarlierOneReturnsIsNotLost() {
        FleetVerdicts first = gateway("a", FIRST_INCARNATION, 0);
        connect(first, FIRST_INCARNATION);
        first.observer().loadCompleted(nowUs, GROUP);
        runUntil(first, 10 * SECOND_US);
        long loadedUs = nowUs;
        FleetVerdicts second = gateway("a", SECOND_INCARNATION, nowUs);
        second.observer().loadCompleted(loadedUs, GROUP);
        second.tick(nowUs);
        nowUs += SECOND_US;
        connect(second, SECOND_INCARNATION);
        runUntil(second, 20 * SECOND_US);
        assertTrue(peer.lastLoadUs(GROUP, 0) >= loadedUs, "last load " + peer.lastLoadUs(GROUP, 0));
    }

    @Test
    void findingsCountAfterTheLeaseOfTheEarlierOnes() {
        FleetVerdicts first = gateway("a", FIRST_INCARNATION, 0);
        connect(first, FIRST_INCARNATION);
        fail(first);
        runUntil(first, 2 * SECOND_US);
        FleetVerdicts second = restart();
        runUntil(second, nowUs + 2 * VerdictSettings.DEFAULT.evidenceLeaseUs());
        fail(second);
        runUntil(second, nowUs + SECOND_US);
        List<EvidenceRecord> known = peer.evidenceStore().findBySubject(new Subject(Topic.HEALTH, "e"), nowUs);
        assertEquals(1, known.size());
        assertEquals("a", known.get(0).reporter());
    }

    private void fail(FleetVerdicts gateway) {
        for (int i = 0; i < VerdictSettings.DEFAULT.minOutcomes(); i++) {
            gateway.observer().attemptEnded(nowUs, "e", AttemptOutcome.FAILED, 10_000, 10_000);
        }
    }
}
