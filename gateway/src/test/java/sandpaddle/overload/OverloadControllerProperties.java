package sandpaddle.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineStatus;

class OverloadControllerProperties {
    private static final OverloadSettings ON = OverloadSettings.OFF.withEnabled(true);
    private static final AttemptResult[] RESULTS = AttemptResult.values();

    private static OverloadController storm(long seed) {
        OverloadController s = new OverloadController(OverloadFixture.SETTINGS, ON, seed, 0);
        s.endpointListReceived(
                0,
                EngineListKind.CACHED,
                List.of(
                        OverloadFixture.engine("a", EngineStatus.UP, 0),
                        OverloadFixture.engine("b", EngineStatus.UP, 0)));
        return s;
    }

    /** Whatever happens in whatever order: advice stays within its bounds, and nothing is counted below zero. */
    @Property(seed = "16", tries = 150)
    void adviceStaysWithinItsBounds(@ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        OverloadController storm = storm(seed);
        SplittableRandom r = new SplittableRandom(seed);
        List<OverloadController.TrackedQuery> open = new ArrayList<>();
        long now = 0;
        double bad = r.nextDouble();
        for (int i = 0; i < 3000; i++) {
            now += r.nextInt(10) == 0 ? r.nextInt(300_000) : r.nextInt(5000);
            switch (r.nextInt(8)) {
                case 0, 1, 2 -> open.add(storm.queryArrived(now, r.nextInt(200), r.nextInt(3), r.nextInt(1_000_000)));
                case 3, 4 -> end(storm, now, open, r, bad);
                case 5 -> {
                    storm.attemptEnded(r.nextBoolean() ? "a" : "b", RESULTS[r.nextInt(RESULTS.length)]);
                    long pause = storm.connectionOpened(now);
                    assertTrue(pause >= 0
                            && pause <= OverloadFixture.SETTINGS.limits().maxRetryAfterUs());
                }
                case 6 ->
                    storm.endpointListReceived(
                            now,
                            EngineListKind.CHANGES,
                            List.of(OverloadFixture.engine(
                                    r.nextBoolean() ? "a" : "e" + r.nextInt(1000),
                                    EngineStatus.values()[r.nextInt(3)],
                                    r.nextBoolean() ? 0 : now)));
                default -> storm.tick(now);
            }
            check(storm.stats(now));
        }
    }

    private static void end(
            OverloadController storm,
            long now,
            List<OverloadController.TrackedQuery> open,
            SplittableRandom r,
            double bad) {
        if (open.isEmpty()) {
            return;
        }
        OverloadController.TrackedQuery a = open.remove(r.nextInt(open.size()));
        if (r.nextBoolean()) {
            storm.attemptStarted(now, a);
        }
        OverloadController.Outcome ending = r.nextDouble() < bad
                ? OverloadController.Outcome.values()[1 + r.nextInt(3)]
                : OverloadController.Outcome.SERVED;
        long pause = storm.queryEnded(now, a, ending, 500_000);
        assertTrue(pause >= 0 && pause <= OverloadFixture.SETTINGS.limits().maxRetryAfterUs(), "pause " + pause);
        assertTrue(
                ending == OverloadController.Outcome.REJECTED || pause == 0,
                "only refusals are told when to come back");
    }

    private static void check(OverloadController.Stats f) {
        assertTrue(f.rememberedStatements() <= f.maxRememberedStatements());
        assertTrue(f.capacityCores() >= 0 && f.admittedWorkUsPerS() >= 0 && f.queuedWorkUs() >= 0);
        assertTrue(f.complianceShare() > 0
                && f.complianceShare() <= 1
                && f.rejectedReturnShare() > 0
                && f.rejectedReturnShare() <= 1);
    }

    /** In calm nothing is turned away, and a refusal says what the decision module advises. */
    @Test
    void inCalmNothingIsTurnedAway() {
        OverloadController storm = storm(1);
        for (long now = 0; now < 30_000_000; now += 20_000) {
            OverloadController.TrackedQuery a = storm.queryArrived(now, now, 0, 200_000);
            assertFalse(a.isSheddable());
            storm.attemptStarted(now, a);
            assertEquals(0, storm.connectionOpened(now));
            boolean refuse = now % 1_000_000 == 0;
            assertEquals(
                    refuse ? 500_000 : 0,
                    storm.queryEnded(
                            now,
                            a,
                            refuse ? OverloadController.Outcome.REJECTED : OverloadController.Outcome.SERVED,
                            500_000));
            storm.tick(now);
        }
        assertEquals(OverloadPhase.CALM, storm.phase());
    }

    /** A flood of connections without a query, in a storm: those over the bound are sent away with a pause. */
    @Test
    void aConnectionFloodInAStormIsBounded() {
        OverloadController storm = storm(2);
        long now = stormy(storm);
        int taken = 0;
        for (int i = 0; i < 5000; i++) {
            now += 200;
            taken += storm.connectionOpened(now) == 0 ? 1 : 0;
        }
        assertTrue(taken <= 2 * ON.connectionLimits().minPerS() + 1, "taken in a second: " + taken);
        assertTrue(taken >= ON.connectionLimits().minPerS() / 2, "taken in a second: " + taken);
    }

    /** All engines refuse connections though the list names them; what is refused comes back. Returns the time. */
    private static long stormy(OverloadController storm) {
        long now = 0;
        for (int i = 0; i < 1000; i++) {
            now += 10_000;
            OverloadController.TrackedQuery a = storm.queryArrived(now, i, 0, 200_000);
            storm.attemptEnded("a", AttemptResult.CONNECT_FAILED);
            storm.attemptEnded("b", AttemptResult.CONNECT_FAILED);
            storm.queryEnded(now, a, OverloadController.Outcome.REJECTED, 500_000);
            storm.tick(now);
        }
        assertEquals(OverloadPhase.STORM, storm.phase());
        return now;
    }

    /** Clients that all wait as told, and clients of which none does: what is learnt follows. */
    @Test
    void theShareThatHonoursAdviceIsLearnt() {
        for (boolean honours : new boolean[] {true, false}) {
            OverloadController storm = storm(3);
            long now = stormy(storm);
            for (int i = 0; i < 400; i++) {
                now += 20_000;
                OverloadController.TrackedQuery a = storm.queryArrived(now, 100_000 + i, 0, 200_000);
                long pause = storm.queryEnded(now, a, OverloadController.Outcome.REJECTED, 500_000);
                assertTrue(pause > 0);
                storm.queryArrived(now + (honours ? pause : pause / 2), 100_000 + i, 0, 200_000);
                storm.tick(now);
            }
            double learnt = storm.stats(now).complianceShare();
            assertTrue(honours ? learnt > 0.9 : learnt < 0.2, "learnt " + learnt);
        }
    }
}
