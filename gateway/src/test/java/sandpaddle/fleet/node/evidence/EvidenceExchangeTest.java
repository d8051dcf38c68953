package sandpaddle.fleet.node.evidence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sandpaddle.decision.event.EngineCondition;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.fleet.link.Links;
import sandpaddle.fleet.link.MessageKind;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.node.loop.LoopEvent;
import sandpaddle.fleet.verdict.VerdictSettings;
import sandpaddle.fleet.verdict.evidence.EvidenceBatch;
import sandpaddle.fleet.verdict.evidence.EvidenceMessage;
import sandpaddle.fleet.verdict.evidence.Finding;
import sandpaddle.fleet.verdict.evidence.Subject;
import sandpaddle.fleet.verdict.evidence.Topic;
import sandpaddle.fleet.verdict.wire.EvidenceCodec;
import sandpaddle.fleet.view.FleetView;

/** Evidence of peers as the decision module receives it. */
class EvidenceExchangeTest {
    private static final long SECOND_US = 1_000_000;
    private static final long NOW_US = 100 * SECOND_US;

    /** Links that accept and drop all messages. */
    private static final class DroppingLinks implements Links {
        @Override
        public boolean send(String to, MessageKind kind, byte[] payload) {
            return true;
        }

        @Override
        public void setPeers(Set<Member> peers) {}
    }

    private static EngineEntry engine(long startedUs) {
        return new EngineEntry("e", 0, 0, 0, EngineStatus.UP, 1, startedUs);
    }

    private static byte[] startReport(long engineStartUs, long ageUs) {
        EvidenceMessage report = new EvidenceMessage(
                new Subject(Topic.ENGINE_START, "e"), "b", 1, 1, Finding.WARMING_UP, engineStartUs, 1, 0, ageUs, 0);
        return EvidenceCodec.encode(new EvidenceBatch(NOW_US, EvidenceBatch.NO_ECHO, 0, 1, 1, 0, 0, List.of(report)));
    }

    /** The start is stated by the clock of the list, which may differ from this machine's wall clock by any amount. */
    @ParameterizedTest
    @ValueSource(longs = {-3600, -20, -3, 0, 3, 20, 3600})
    void reportedWarmUpIsNotTakenForAnOldOneWhenWallClockIsWrong(long wallClockErrorSeconds) throws Exception {
        long startUs = (System.currentTimeMillis() - wallClockErrorSeconds * 1000) * 1000;
        EvidenceExchange exchange = new EvidenceExchange(
                new Member("a", "east", "127.0.0.1", 1),
                1,
                VerdictSettings.DEFAULT,
                0,
                new DroppingLinks(),
                List.of("east"),
                1,
                NOW_US - 10 * SECOND_US);
        exchange.updateRoster(Map.of("a", "east", "b", "east"), Set.of("b"));
        exchange.eventReceived(new LoopEvent.EngineListChanged(
                NOW_US - SECOND_US, new EngineListReceived(EngineListKind.FULL, List.of(engine(SECOND_US)))));
        exchange.linkUp("b", 1, NOW_US - SECOND_US / 10);
        exchange.batchReceived(NOW_US, "b", startReport(startUs, SECOND_US));
        exchange.tick(NOW_US);
        FleetView.Verdict verdict = exchange.moduleVerdicts(NOW_US).get(0);
        assertEquals(EngineCondition.WARMING_UP, verdict.condition());
        long ageUs = NOW_US - verdict.sinceUs();
        assertTrue(ageUs >= 0 && ageUs <= 2 * SECOND_US, "age " + Duration.ofMillis(ageUs / 1000));
    }
}
