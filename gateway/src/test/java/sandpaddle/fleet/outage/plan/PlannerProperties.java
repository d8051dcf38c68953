package sandpaddle.fleet.outage.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import sandpaddle.fleet.content.Candidate;
import sandpaddle.fleet.content.SampleResults;
import sandpaddle.fleet.outage.schedule.TimeRange;

class PlannerProperties {
    private static final long LOSS_MS = 10_000_000;
    private static final long HOUR_MS = 3_600_000;
    private static final TimeRange OUTAGE = new TimeRange(LOSS_MS, LOSS_MS + 3_600_000);
    private static final Planner.Forecast FINGERPRINT_PER_HOUR =
            (fingerprint, range) -> fingerprint * (range.endMs() - range.startMs()) / 3.6e6;

    private static Candidate candidate(
            int number, long demand, long size, long workUs, long maxAgeMs, long storedAtMs) {
        return new Candidate(SampleResults.key(number), demand, Set.of(), size, workUs, maxAgeMs, 1, storedAtMs);
    }

    private static List<Candidate> randomCandidates(Random random, int count) {
        List<Candidate> all = new ArrayList<>();
        for (int n = 0; n < count; n++) {
            all.add(candidate(
                    n,
                    random.nextInt(100),
                    1 + random.nextInt(50),
                    1_000_000L * (1 + random.nextInt(30)),
                    60_000L * (10 + random.nextInt(200)),
                    random.nextInt(3) > 0 ? -1 : LOSS_MS - 60_000L * random.nextInt(200)));
        }
        return all;
    }

    @Property(tries = 300, seed = "11")
    void planRespectsBudgetsAndDeadline(@ForAll long seed) {
        Random random = new Random(seed);
        long wallMs = LOSS_MS - 60_000L * (1 + random.nextInt(60));
        PrefetchBudget budget =
                new PrefetchBudget(100 + random.nextInt(1000), 100_000 + random.nextInt(1_000_000), 0.8, 30_000);
        Plan plan = Planner.plan(wallMs, OUTAGE, randomCandidates(random, 60), budget, FINGERPRINT_PER_HOUR);
        long bytes = 0;
        double workUs = 0;
        long previousStartMs = wallMs;
        Set<Object> fetchedKeys = new HashSet<>();
        for (Fetch fetch : plan.fetches()) {
            bytes += fetch.candidate().cachedRequestedAtMs() < 0
                    ? fetch.candidate().size()
                    : 0;
            workUs += fetch.candidate().workUs();
            assertTrue(fetch.startAtMs() >= previousStartMs, "starts before the previous fetch or in the past");
            assertTrue(fetchedKeys.add(fetch.candidate().key()));
            assertTrue(fetch.marginalValue() > 0);
            previousStartMs = fetch.startAtMs();
        }
        assertTrue(bytes <= budget.bytes());
        assertTrue(workUs <= budget.workUs(LOSS_MS - budget.safetyMs() - wallMs));
        double remainingWorkUs = workUs;
        for (Fetch fetch : plan.fetches()) { // the remaining work fits into the time left at each start
            assertTrue(fetch.startAtMs() + budget.durationMs(remainingWorkUs)
                    <= LOSS_MS - budget.safetyMs() + plan.fetches().size() + 1);
            remainingWorkUs -= fetch.candidate().workUs();
        }
    }

    /** Compares the plan with every subset; maximum ages are long enough that the order of fetches does not matter. */
    @Property(tries = 200, seed = "12")
    void planReachesQuarterOfOptimalValue(@ForAll long seed) {
        Random random = new Random(seed);
        List<Candidate> all = new ArrayList<>();
        for (int n = 0; n < 9; n++) {
            all.add(candidate(
                    n,
                    1 + random.nextInt(1000),
                    1 + random.nextInt(100),
                    1_000_000L * (1 + random.nextInt(100)),
                    100 * 3_600_000L,
                    -1));
        }
        PrefetchBudget budget = new PrefetchBudget(120, 1_000_000, 1, 0);
        Plan plan = Planner.plan(LOSS_MS - 120_000, OUTAGE, all, budget, FINGERPRINT_PER_HOUR);
        double best = 0;
        for (int set = 0; set < 1 << all.size(); set++) {
            long bytes = 0;
            long workUs = 0;
            double value = 0;
            for (int n = 0; n < all.size(); n++) {
                if ((set >> n & 1) == 1) {
                    bytes += all.get(n).size();
                    workUs += all.get(n).workUs();
                    value += all.get(n).fingerprint();
                }
            }
            best = bytes <= 120 && workUs <= 120_000_000 ? Math.max(best, value) : best;
        }
        assertTrue(plan.expectedValue() >= best / 4, plan.expectedValue() + " of " + best);
        assertTrue(plan.expectedValue() <= best + 1e-6);
    }

    @Example
    void fetchesShortestMaxAgeLastAndSkipsFreshCopies() {
        List<Candidate> all = List.of(
                candidate(1, 10, 10, 30_000_000, 70 * 60_000, -1),
                candidate(2, 10, 10, 30_000_000, 9 * 3_600_000, -1),
                candidate(3, 10, 10, 30_000_000, 3 * 3_600_000, -1),
                candidate(4, 10, 10, 30_000_000, 9 * 3_600_000, LOSS_MS - 3_600_000),
                candidate(5, 10, 10, 30_000_000, 9 * 3_600_000, LOSS_MS - 9 * 3_600_000));
        Plan plan = Planner.plan(
                LOSS_MS - 1_800_000, OUTAGE, all, new PrefetchBudget(1000, 1_000_000, 1, 0), FINGERPRINT_PER_HOUR);
        List<Object> order = plan.fetches().stream()
                .<Object>map(fetch -> fetch.candidate().key())
                .toList();
        assertEquals(Set.of(SampleResults.key(2), SampleResults.key(5)), new HashSet<>(order.subList(0, 2)));
        assertEquals(List.of(SampleResults.key(3), SampleResults.key(1)), order.subList(2, 4));
        assertEquals(LOSS_MS - 30_000, plan.fetches().get(3).startAtMs());
        assertEquals(50, plan.expectedValue(), 1e-6);
    }

    @Example
    void choosesOneLargeCandidateOverManyDenserOnes() {
        List<Candidate> all = new ArrayList<>(List.of(candidate(0, 1000, 100, 1, 100 * 3_600_000L, -1)));
        for (int n = 1; n < 50; n++) {
            all.add(candidate(n, 11, 1, 1, 100 * 3_600_000L, -1)); // denser, but with half of the value in total
        }
        Plan plan = Planner.plan(
                LOSS_MS - 60_000, OUTAGE, all, new PrefetchBudget(100, 1_000_000, 1, 0), FINGERPRINT_PER_HOUR);
        assertEquals(1000, plan.expectedValue(), 1e-6);
    }

    @Example
    void schedulesHighestMarginalValueImmediatelyOnDelayedOnset() {
        List<Candidate> all = List.of(
                candidate(1, 10, 10, 1_000_000, HOUR_MS, -1),
                candidate(2, 90, 10, 1_000_000, HOUR_MS, -1),
                candidate(3, 50, 10, 1_000_000, 9 * HOUR_MS, LOSS_MS - 60_000));
        PrefetchBudget budget = new PrefetchBudget(1000, 100_000, 1, 30_000, 60_000);
        for (long wallMs : new long[] {LOSS_MS - 80_000, LOSS_MS, LOSS_MS + 1_800_000}) {
            Plan plan = Planner.plan(
                    wallMs,
                    new TimeRange(Math.max(LOSS_MS, wallMs), OUTAGE.endMs()),
                    all,
                    budget,
                    FINGERPRINT_PER_HOUR);
            assertEquals(
                    List.of(90L, 10L),
                    plan.fetches().stream()
                            .map(fetch -> fetch.candidate().fingerprint())
                            .toList());
            plan.fetches().forEach(fetch -> assertEquals(wallMs, fetch.startAtMs()));
        }
    }

    @Example
    void plansNothingWithoutTimeBytesOrWork() {
        List<Candidate> all = randomCandidates(new Random(1), 20).stream()
                .filter(candidate -> candidate.cachedRequestedAtMs() < 0)
                .toList();
        assertEquals(
                0,
                Planner.plan(LOSS_MS, OUTAGE, all, new PrefetchBudget(1000, 1000, 1, 0), FINGERPRINT_PER_HOUR)
                        .fetches()
                        .size());
        assertEquals(
                0,
                Planner.plan(0, OUTAGE, all, new PrefetchBudget(0, 1000, 1, 0), FINGERPRINT_PER_HOUR)
                        .fetches()
                        .size());
        assertEquals(
                0,
                Planner.plan(0, OUTAGE, all, new PrefetchBudget(1000, 0, 1, 0), FINGERPRINT_PER_HOUR)
                        .fetches()
                        .size());
    }
}
