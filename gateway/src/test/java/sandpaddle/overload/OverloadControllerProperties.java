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

    private static OverloadController controller(long seed) {
        OverloadController controller = new OverloadController(OverloadFixture.SETTINGS, ON, seed, 0);
        controller.endpointListReceived(
                0,
                EngineListKind.CACHED,
                List.of(
                        OverloadFixture.engine("a", EngineStatus.UP, 0),
                        OverloadFixture.engine("b", EngineStatus.UP, 0)));
        return controller;
    }

    /** Random events in random order: Retry-After stays within its bounds, and no statistic is negative. */
    @Property(seed = "16", tries = 150)
    void retryAfterAndStatisticsStayWithinBounds(@ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        OverloadController controller = controller(seed);
        SplittableRandom random = new SplittableRandom(seed);
        List<OverloadController.TrackedQuery> open = new ArrayList<>();
        long nowUs = 0;
        double failureShare = random.nextDouble();
        for (int i = 0; i < 3000; i++) {
            nowUs += random.nextInt(10) == 0 ? random.nextInt(300_000) : random.nextInt(5000);
            switch (random.nextInt(8)) {
                case 0, 1, 2 ->
                    open.add(controller.queryArrived(
                            nowUs, random.nextInt(200), random.nextInt(3), random.nextInt(1_000_000)));
                case 3, 4 -> end(controller, nowUs, open, random, failureShare);
                case 5 -> {
                    controller.attemptEnded(random.nextBoolean() ? "a" : "b", RESULTS[random.nextInt(RESULTS.length)]);
                    long retryAfterUs = controller.connectionOpened(nowUs);
                    assertTrue(retryAfterUs >= 0
                            && retryAfterUs <= OverloadFixture.SETTINGS.limits().maxRetryAfterUs());
                }
                case 6 ->
                    controller.endpointListReceived(
                            nowUs,
                            EngineListKind.CHANGES,
                            List.of(OverloadFixture.engine(
                                    random.nextBoolean() ? "a" : "e" + random.nextInt(1000),
                                    EngineStatus.values()[random.nextInt(3)],
                                    random.nextBoolean() ? 0 : nowUs)));
                default -> controller.tick(nowUs);
            }
            check(controller.stats(nowUs));
        }
    }

    private static void end(
            OverloadController controller,
            long nowUs,
            List<OverloadController.TrackedQuery> open,
            SplittableRandom random,
            double failureShare) {
        if (open.isEmpty()) {
            return;
        }
        OverloadController.TrackedQuery query = open.remove(random.nextInt(open.size()));
        if (random.nextBoolean()) {
            controller.attemptStarted(nowUs, query);
        }
        OverloadController.Outcome outcome = random.nextDouble() < failureShare
                ? OverloadController.Outcome.values()[1 + random.nextInt(3)]
                : OverloadController.Outcome.SERVED;
        long retryAfterUs = controller.queryEnded(nowUs, query, outcome, 500_000);
        assertTrue(
                retryAfterUs >= 0
                        && retryAfterUs <= OverloadFixture.SETTINGS.limits().maxRetryAfterUs(),
                "Retry-After " + retryAfterUs);
        assertTrue(
                outcome == OverloadController.Outcome.REJECTED || retryAfterUs == 0, "Retry-After without a rejection");
    }

    private static void check(OverloadController.Stats stats) {
        assertTrue(stats.rememberedStatements() <= stats.maxRememberedStatements());
        assertTrue(stats.capacityCores() >= 0 && stats.admittedWorkUsPerS() >= 0 && stats.queuedWorkUs() >= 0);
        assertTrue(stats.complianceShare() > 0
                && stats.complianceShare() <= 1
                && stats.rejectedReturnShare() > 0
                && stats.rejectedReturnShare() <= 1);
    }

    /** In normal operation everything is admitted, and a rejection has the decision module's Retry-After. */
    @Test
    void admitsEverythingInNormalOperation() {
        OverloadController controller = controller(1);
        for (long nowUs = 0; nowUs < 30_000_000; nowUs += 20_000) {
            OverloadController.TrackedQuery query = controller.queryArrived(nowUs, nowUs, 0, 200_000);
            assertFalse(query.isSheddable());
            controller.attemptStarted(nowUs, query);
            assertEquals(0, controller.connectionOpened(nowUs));
            boolean isRejected = nowUs % 1_000_000 == 0;
            assertEquals(
                    isRejected ? 500_000 : 0,
                    controller.queryEnded(
                            nowUs,
                            query,
                            isRejected ? OverloadController.Outcome.REJECTED : OverloadController.Outcome.SERVED,
                            500_000));
            controller.tick(nowUs);
        }
        assertEquals(OverloadPhase.CALM, controller.phase());
    }

    /** A flood of connections without queries during a storm: those over the rate limit are rejected. */
    @Test
    void limitsRateOfNewConnectionsDuringStorm() {
        OverloadController controller = controller(2);
        long nowUs = enterStorm(controller);
        int accepted = 0;
        for (int i = 0; i < 5000; i++) {
            nowUs += 200;
            accepted += controller.connectionOpened(nowUs) == 0 ? 1 : 0;
        }
        assertTrue(accepted <= 2 * ON.connectionLimits().minPerS() + 1, "accepted in a second: " + accepted);
        assertTrue(accepted >= ON.connectionLimits().minPerS() / 2, "accepted in a second: " + accepted);
    }

    /** Enters a storm: all listed engines refuse connections, and all queries are rejected. Returns the time. */
    private static long enterStorm(OverloadController controller) {
        long nowUs = 0;
        for (int i = 0; i < 1000; i++) {
            nowUs += 10_000;
            OverloadController.TrackedQuery query = controller.queryArrived(nowUs, i, 0, 200_000);
            controller.attemptEnded("a", AttemptResult.CONNECT_FAILED);
            controller.attemptEnded("b", AttemptResult.CONNECT_FAILED);
            controller.queryEnded(nowUs, query, OverloadController.Outcome.REJECTED, 500_000);
            controller.tick(nowUs);
        }
        assertEquals(OverloadPhase.STORM, controller.phase());
        return nowUs;
    }

    /** The estimated compliance follows clients that all wait as advised, and clients that never do. */
    @Test
    void learnsShareOfClientsThatComplyWithRetryAfter() {
        for (boolean complies : new boolean[] {true, false}) {
            OverloadController controller = controller(3);
            long nowUs = enterStorm(controller);
            for (int i = 0; i < 400; i++) {
                nowUs += 20_000;
                OverloadController.TrackedQuery query = controller.queryArrived(nowUs, 100_000 + i, 0, 200_000);
                long retryAfterUs = controller.queryEnded(nowUs, query, OverloadController.Outcome.REJECTED, 500_000);
                assertTrue(retryAfterUs > 0);
                controller.queryArrived(nowUs + (complies ? retryAfterUs : retryAfterUs / 2), 100_000 + i, 0, 200_000);
                controller.tick(nowUs);
            }
            double estimate = controller.stats(nowUs).complianceShare();
            assertTrue(complies ? estimate > 0.9 : estimate < 0.2, "compliance share " + estimate);
        }
    }
}
