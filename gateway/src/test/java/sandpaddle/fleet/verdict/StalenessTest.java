package sandpaddle.fleet.verdict;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.verdict.watch.AttemptOutcome;

/**
 * Staleness bounds of verdicts: two report intervals, two link delays and one evaluation while connected; the lease
 * while partitioned.
 */
class StalenessTest {
    private static final long STALENESS_BOUND_US = 3 * VirtualFleet.TICK_US + 2 * 41_000;

    private static void recordOutcomes(
            VirtualFleet fleet, String gateway, String engine, AttemptOutcome outcome, int count) {
        for (int i = 0; i < count; i++) {
            fleet.gateways
                    .get(gateway)
                    .observer()
                    .attemptEnded(fleet.localTimeUs(gateway), engine, outcome, 10_000, 10_000);
        }
    }

    /** Returns the times until each gateway has a verdict, over random starts, reporters and engines. */
    private static List<Long> disseminationTimesUs(double frameLossProbability, int rounds) {
        VirtualFleet fleet = new VirtualFleet(100, 4, 5, VerdictSettings.DEFAULT, 71);
        fleet.frameLossProbability = frameLossProbability;
        fleet.updateEngines(VirtualFleet.listedEngines(12, 4));
        List<Long> timesUs = new ArrayList<>();
        fleet.runUntil(1_000_000);
        for (int round = 0; round < rounds; round++) {
            String engine = "e" + round % 12;
            fleet.runUntil(fleet.nowUs + fleet.random.nextLong(50_000));
            int firstReporter = fleet.random.nextInt(100);
            int secondReporter = (firstReporter + 1 + 4 * fleet.random.nextInt(24)) % 100;
            recordOutcomes(fleet, VirtualFleet.name(firstReporter), engine, AttemptOutcome.FAILED, 3);
            recordOutcomes(fleet, VirtualFleet.name(secondReporter), engine, AttemptOutcome.FAILED, 3);
            Map<String, Long> knownAfterUs = new HashMap<>();
            long startUs = fleet.nowUs;
            while (fleet.nowUs < startUs + 1_500_000 && knownAfterUs.size() < 100) {
                fleet.runUntil(fleet.nowUs + 5_000);
                fleet.gateways.keySet().stream()
                        .filter(gateway -> fleet.ejects(gateway, engine))
                        .forEach(gateway -> knownAfterUs.putIfAbsent(gateway, fleet.nowUs - startUs));
            }
            assertEquals(100, knownAfterUs.size(), "known to all within 1.5 s");
            timesUs.addAll(knownAfterUs.values());
            recordOutcomes(fleet, VirtualFleet.name(firstReporter), engine, AttemptOutcome.ANSWERED, 3);
            recordOutcomes(fleet, VirtualFleet.name(secondReporter), engine, AttemptOutcome.ANSWERED, 3);
            fleet.runUntil(fleet.nowUs + 400_000);
        }
        timesUs.sort(null);
        System.out.printf(
                "verdict known after, ms, 100 gateways, loss %.3f: p50 %d, p99 %d, p99.9 %d, max %d (n %d);"
                        + " a gateway sends %.1f kB/s%n",
                frameLossProbability,
                quantileMs(timesUs, 0.5),
                quantileMs(timesUs, 0.99),
                quantileMs(timesUs, 0.999),
                quantileMs(timesUs, 1),
                timesUs.size(),
                fleet.bytesSent / 1e3 / 100 / (fleet.nowUs / 1e6));
        return timesUs;
    }

    private static long quantileMs(List<Long> sortedUs, double quantile) {
        return sortedUs.get((int) Math.min(sortedUs.size() - 1, quantile * sortedUs.size())) / 1000;
    }

    @Test
    void everyGatewayHasTheVerdictWithinTheBoundWithoutLoss() {
        List<Long> timesUs = disseminationTimesUs(0, 3);
        assertTrue(
                timesUs.get(timesUs.size() - 1) <= STALENESS_BOUND_US + 5_000,
                "max " + timesUs.get(timesUs.size() - 1) + " us");
    }

    @Test
    void disseminationP999IsUnderHalfASecondWithLossAndReconnects() {
        assertTrue(quantileMs(disseminationTimesUs(0.005, 8), 0.999) <= 500);
    }

    @Test
    void verdictEndsWithItsLeaseWhilePartitionedAndReturnsWithTheLink() {
        VirtualFleet fleet = new VirtualFleet(6, 3, 3, VerdictSettings.DEFAULT, 5);
        fleet.updateEngines(VirtualFleet.listedEngines(8, 3));
        fleet.runUntil(500_000);
        for (long step = 0; step < 20; step++) {
            recordOutcomes(fleet, "g000", "e1", AttemptOutcome.FAILED, 2);
            recordOutcomes(fleet, "g001", "e1", AttemptOutcome.FAILED, 2);
            fleet.runUntil(fleet.nowUs + 100_000);
        }
        assertTrue(fleet.ejects("g005", "e1"));
        fleet.isPartitioned = (from, to) -> from.equals("g005") || to.equals("g005");
        long partitionedAtUs = fleet.nowUs;
        long lastEjectedUs = partitionedAtUs;
        while (fleet.nowUs < partitionedAtUs + 6_000_000) {
            recordOutcomes(fleet, "g000", "e1", AttemptOutcome.FAILED, 1);
            recordOutcomes(fleet, "g001", "e1", AttemptOutcome.FAILED, 1);
            fleet.runUntil(fleet.nowUs + 50_000);
            lastEjectedUs = fleet.ejects("g005", "e1") ? fleet.nowUs : lastEjectedUs;
        }
        assertTrue(
                lastEjectedUs - partitionedAtUs <= VerdictSettings.DEFAULT.evidenceLeaseUs(),
                "ejected for another " + (lastEjectedUs - partitionedAtUs) + " us");
        assertTrue(fleet.ejects("g004", "e1"), "the other gateways keep the verdict");
        fleet.isPartitioned = (from, to) -> false;
        fleet.reconnect();
        recordOutcomes(fleet, "g000", "e1", AttemptOutcome.FAILED, 1);
        recordOutcomes(fleet, "g001", "e1", AttemptOutcome.FAILED, 1);
        fleet.runUntil(fleet.nowUs + STALENESS_BOUND_US);
        assertTrue(fleet.ejects("g005", "e1"), "known again after the partition");
    }

    /** A message that is delayed by more than the lease must not cause a verdict. */
    @Test
    void evidenceDelayedBeyondItsLeaseIsIgnored() {
        VirtualFleet fleet = new VirtualFleet(3, 3, 3, VerdictSettings.DEFAULT, 6);
        fleet.updateEngines(VirtualFleet.listedEngines(8, 3));
        fleet.runUntil(1_000_000);
        recordOutcomes(fleet, "g000", "e1", AttemptOutcome.FAILED, 3);
        recordOutcomes(fleet, "g001", "e1", AttemptOutcome.FAILED, 3);
        long observedAtUs = fleet.nowUs;
        fleet.maxDelayUs = 8_000_000;
        while (fleet.nowUs < observedAtUs + 12_000_000) {
            fleet.runUntil(fleet.nowUs + 20_000);
            boolean isExpired = fleet.nowUs - observedAtUs > VerdictSettings.DEFAULT.evidenceLeaseUs();
            assertTrue(!isExpired || !fleet.ejects("g002", "e1"), "after " + (fleet.nowUs - observedAtUs) + " us");
        }
    }
}
