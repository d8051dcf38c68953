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
    private static final long LOSS = 10_000_000;
    private static final long HOUR = 3_600_000;
    private static final TimeRange OUTAGE = new TimeRange(LOSS, LOSS + 3_600_000);
    private static final Planner.Forecast HOURLY = (f, span) -> f * (span.to() - span.from()) / 3.6e6;

    private static Candidate candidate(int n, long asks, long size, long work, long maxAge, long storedAt) {
        return new Candidate(SampleResults.key(n), asks, Set.of(), size, work, maxAge, 1, storedAt);
    }

    private static List<Candidate> drawn(Random r, int count) {
        List<Candidate> all = new ArrayList<>();
        for (int n = 0; n < count; n++) {
            all.add(candidate(
                    n,
                    r.nextInt(100),
                    1 + r.nextInt(50),
                    1_000_000L * (1 + r.nextInt(30)),
                    60_000L * (10 + r.nextInt(200)),
                    r.nextInt(3) > 0 ? -1 : LOSS - 60_000L * r.nextInt(200)));
        }
        return all;
    }

    @Property(tries = 300, seed = "11")
    void keepsItsBudgetsAndItsTimes(@ForAll long seed) {
        Random r = new Random(seed);
        long wall = LOSS - 60_000L * (1 + r.nextInt(60));
        Budget budget = new Budget(100 + r.nextInt(1000), 100_000 + r.nextInt(1_000_000), 0.8, 30_000);
        Plan plan = Planner.plan(wall, OUTAGE, drawn(r, 60), budget, HOURLY);
        long bytes = 0;
        double work = 0;
        long before = wall;
        Set<Object> once = new HashSet<>();
        for (Fetch f : plan.fetches()) {
            bytes += f.what().cachedRequestedAtMs() < 0 ? f.what().size() : 0;
            work += f.what().workUs();
            assertTrue(f.beginAt() >= before, "begins before the one before it, or in the past");
            assertTrue(once.add(f.what().key()));
            assertTrue(f.gain() > 0);
            before = f.beginAt();
        }
        assertTrue(bytes <= budget.bytes());
        assertTrue(work <= budget.work(LOSS - budget.safetyMs() - wall));
        double after = work;
        for (Fetch f : plan.fetches()) { // what remains to be done from each begin on fits into what is left
            assertTrue(f.beginAt() + budget.millis(after)
                    <= LOSS - budget.safetyMs() + plan.fetches().size() + 1);
            after -= f.what().workUs();
        }
    }

    /** Against every subset; ages long enough that the order costs nothing. */
    @Property(tries = 200, seed = "12")
    void isAtLeastAQuarterOfTheBest(@ForAll long seed) {
        Random r = new Random(seed);
        List<Candidate> all = new ArrayList<>();
        for (int n = 0; n < 9; n++) {
            all.add(candidate(
                    n,
                    1 + r.nextInt(1000),
                    1 + r.nextInt(100),
                    1_000_000L * (1 + r.nextInt(100)),
                    100 * 3_600_000L,
                    -1));
        }
        Budget budget = new Budget(120, 1_000_000, 1, 0);
        Plan plan = Planner.plan(LOSS - 120_000, OUTAGE, all, budget, HOURLY);
        double best = 0;
        for (int set = 0; set < 1 << all.size(); set++) {
            long bytes = 0;
            long work = 0;
            double worth = 0;
            for (int n = 0; n < all.size(); n++) {
                if ((set >> n & 1) == 1) {
                    bytes += all.get(n).size();
                    work += all.get(n).workUs();
                    worth += all.get(n).fingerprint();
                }
            }
            best = bytes <= 120 && work <= 120_000_000 ? Math.max(best, worth) : best;
        }
        assertTrue(plan.worth() >= best / 4, plan.worth() + " of " + best);
        assertTrue(plan.worth() <= best + 1e-6);
    }

    @Example
    void whatAgesFastestIsFetchedLastAndWhatIsFreshNotAtAll() {
        List<Candidate> all = List.of(
                candidate(1, 10, 10, 30_000_000, 70 * 60_000, -1),
                candidate(2, 10, 10, 30_000_000, 9 * 3_600_000, -1),
                candidate(3, 10, 10, 30_000_000, 3 * 3_600_000, -1),
                candidate(4, 10, 10, 30_000_000, 9 * 3_600_000, LOSS - 3_600_000),
                candidate(5, 10, 10, 30_000_000, 9 * 3_600_000, LOSS - 9 * 3_600_000));
        Plan plan = Planner.plan(LOSS - 1_800_000, OUTAGE, all, new Budget(1000, 1_000_000, 1, 0), HOURLY);
        List<Object> order =
                plan.fetches().stream().<Object>map(f -> f.what().key()).toList();
        assertEquals(Set.of(SampleResults.key(2), SampleResults.key(5)), new HashSet<>(order.subList(0, 2)));
        assertEquals(List.of(SampleResults.key(3), SampleResults.key(1)), order.subList(2, 4));
        assertEquals(LOSS - 30_000, plan.fetches().get(3).beginAt());
        assertEquals(50, plan.worth(), 1e-6);
    }

    @Example
    void oneLargeCandidateMayBeWorthMoreThanManySmall() {
        List<Candidate> all = new ArrayList<>(List.of(candidate(0, 1000, 100, 1, 100 * 3_600_000L, -1)));
        for (int n = 1; n < 50; n++) {
            all.add(candidate(n, 11, 1, 1, 100 * 3_600_000L, -1)); // denser, and half of the worth in all
        }
        Plan plan = Planner.plan(LOSS - 60_000, OUTAGE, all, new Budget(100, 1_000_000, 1, 0), HOURLY);
        assertEquals(1000, plan.worth(), 1e-6);
    }

    @Example
    void onceTheLossIsDueWhatGainsMostIsFetchedAtOnceAndNothingTwice() {
        List<Candidate> all = List.of(
                candidate(1, 10, 10, 1_000_000, HOUR, -1),
                candidate(2, 90, 10, 1_000_000, HOUR, -1),
                candidate(3, 50, 10, 1_000_000, 9 * HOUR, LOSS - 60_000));
        Budget budget = new Budget(1000, 100_000, 1, 30_000, 60_000);
        for (long wall : new long[] {LOSS - 80_000, LOSS, LOSS + 1_800_000}) {
            Plan plan = Planner.plan(wall, new TimeRange(Math.max(LOSS, wall), OUTAGE.to()), all, budget, HOURLY);
            assertEquals(
                    List.of(90L, 10L),
                    plan.fetches().stream().map(f -> f.what().fingerprint()).toList());
            plan.fetches().forEach(f -> assertEquals(wall, f.beginAt()));
        }
    }

    @Example
    void nothingIsPlannedWithoutTimeOrRoom() {
        List<Candidate> all = drawn(new Random(1), 20).stream()
                .filter(c -> c.cachedRequestedAtMs() < 0)
                .toList();
        assertEquals(
                0,
                Planner.plan(LOSS, OUTAGE, all, new Budget(1000, 1000, 1, 0), HOURLY)
                        .fetches()
                        .size());
        assertEquals(
                0,
                Planner.plan(0, OUTAGE, all, new Budget(0, 1000, 1, 0), HOURLY)
                        .fetches()
                        .size());
        assertEquals(
                0,
                Planner.plan(0, OUTAGE, all, new Budget(1000, 0, 1, 0), HOURLY)
                        .fetches()
                        .size());
    }
}
