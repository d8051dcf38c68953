package sandpaddle.fleet.outage.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.content.Candidate;
import sandpaddle.fleet.content.ResultId;
import sandpaddle.fleet.content.SampleResults;
import sandpaddle.fleet.outage.schedule.TimeRange;

class PlanExecutorTest {
    private static final long HOUR = 3_600_000;
    private final PlanExecutor planExecutor = new PlanExecutor();

    private static Fetch fetch(int n, long beginAt) {
        return new Fetch(candidate(n, 400_000), beginAt, 1);
    }

    private static Candidate candidate(int n, long work) {
        return new Candidate(SampleResults.key(n), n, Set.of(), 100, work, HOUR, 1, -1);
    }

    @Test
    void beginsInTimeWithinWhatLiveCapacityLeaves() {
        planExecutor.plan(new Plan(List.of(fetch(1, 0), fetch(2, 0), fetch(3, 0), fetch(4, 9000)), 0, 0));
        Allowance two = new Allowance(2, 1_000_000);
        assertEquals(2, planExecutor.next(0, 10, two).size());
        assertEquals(0, planExecutor.next(500_000, 510, two).size(), "two are running");
        planExecutor.ended(SampleResults.key(1).id(), true);
        assertEquals(1, planExecutor.next(500_000, 510, two).size());
        planExecutor.ended(SampleResults.key(2).id(), true);
        planExecutor.ended(SampleResults.key(3).id(), true);
        assertEquals(0, planExecutor.next(2_000_000, 2010, two).size(), "the fourth is not due");
        assertEquals(1, planExecutor.next(9_000_000, 9000, two).size());
    }

    @Test
    void pausesWhileLiveTrafficOrAStormNeedsTheRoomAndDoesNotMakeUpInABurst() {
        List<Fetch> all = new ArrayList<>();
        for (int n = 0; n < 100; n++) {
            all.add(fetch(n, 0));
        }
        planExecutor.plan(new Plan(all, 0, 0));
        assertEquals(0, planExecutor.next(0, 0, Allowance.NONE).size());
        assertEquals(0, planExecutor.next(60_000_000, 60_000, Allowance.NONE).size());
        assertEquals(60_000_000, planExecutor.pausedUs());
        int begun = 0;
        for (int s = 61; s < 71; s++) {
            begun += planExecutor
                    .next(s * 1_000_000L, s * 1000L, new Allowance(1000, 1_000_000))
                    .size();
        }
        assertTrue(begun >= 24 && begun <= 28, begun + " fetches of 0.4 s in 10 s of one core");
    }

    @Test
    void whatFailedIsTriedOnceMoreBehindTheOthers() {
        planExecutor.plan(new Plan(List.of(fetch(1, 0), fetch(2, 0)), 0, 0));
        Allowance one = new Allowance(1, 10_000_000);
        assertEquals(1, planExecutor.next(0, 0, one).get(0).what().fingerprint());
        planExecutor.ended(SampleResults.key(1).id(), false);
        assertEquals(2, planExecutor.next(1_000_000, 0, one).get(0).what().fingerprint());
        planExecutor.ended(SampleResults.key(2).id(), true);
        assertEquals(1, planExecutor.next(2_000_000, 0, one).get(0).what().fingerprint());
        planExecutor.ended(SampleResults.key(1).id(), false);
        assertEquals(0, planExecutor.next(3_000_000, 0, one).size());
    }

    @Test
    void replanningBeginsNothingTwiceAndStoppingBeginsNothing() {
        Plan plan = new Plan(List.of(fetch(1, 0), fetch(2, 0)), 0, 0);
        planExecutor.plan(plan);
        Allowance one = new Allowance(1, 10_000_000);
        planExecutor.next(0, 0, one);
        planExecutor.plan(plan);
        assertEquals(1, planExecutor.waiting());
        planExecutor.stop();
        planExecutor.ended(SampleResults.key(1).id(), true);
        assertEquals(0, planExecutor.next(1_000_000, 0, one).size());
        assertEquals(0, planExecutor.running());
    }

    @Test
    void asksAreExpectedAtTheirTimeOfDayAndFade() {
        AskHistory history = new AskHistory(0.3);
        for (int day = 0; day < 5; day++) {
            for (int i = 0; i < 20; i++) {
                history.asked(day * 24 * HOUR + 9 * HOUR + i * 60_000, 1);
                history.asked(day * 24 * HOUR + 15 * HOUR, 2);
            }
        }
        long next = 5 * 24 * HOUR;
        TimeRange nine = new TimeRange(next + 9 * HOUR, next + 10 * HOUR);
        double own = history.expected(1, nine);
        assertTrue(own > 9 && own < 12, own + ": half of it is told by its own hour");
        double beside = history.expected(1, new TimeRange(next + 8 * HOUR, next + 9 * HOUR));
        assertTrue(beside > 3 && beside < 5, beside + " in the hour before");
        assertTrue(history.expected(1, new TimeRange(next + 15 * HOUR, next + 16 * HOUR)) < 0.5);
        for (TimeRange s : List.of(nine, new TimeRange(next + 8 * HOUR + 1000, next + 11 * HOUR + 5000))) {
            Planner.Forecast all = history.forecast(s);
            assertEquals(history.expected(1, s), all.asks(1, s), 1e-6);
            TimeRange part = new TimeRange(s.from(), s.from() + HOUR / 3);
            assertEquals(history.expected(2, part), all.asks(2, part), 1e-6);
        }
        for (int day = 5; day < 15; day++) {
            history.asked(day * 24 * HOUR + 9 * HOUR, 3);
        }
        next = 15 * 24 * HOUR;
        assertTrue(history.expected(1, new TimeRange(next + 9 * HOUR, next + 10 * HOUR)) < 0.5, "it has faded");
        assertEquals(0.5, history.expected(3, new TimeRange(next + 9 * HOUR, next + 10 * HOUR)), 0.1);
    }

    @Test
    void aClockThatWasFarAheadDoesNotMakeManyDaysOne() {
        AskHistory history = new AskHistory(0.3);
        history.asked(5000 * 24 * HOUR + 9 * HOUR, 1);
        for (int day = 0; day < 20; day++) {
            history.asked(day * 24 * HOUR + 9 * HOUR, 1);
        }
        long next = 20 * 24 * HOUR + 9 * HOUR;
        assertTrue(history.expected(1, new TimeRange(next, next + HOUR)) < 0.7);
    }

    @Test
    void frequentStatementsAreKnownAmongManyRareOnes() {
        AskHistory history = new AskHistory(0.3);
        for (int i = 0; i < 200_000; i++) {
            history.asked(9 * HOUR, i % 10 == 0 ? 7 : 1000 + i);
        }
        assertEquals(10_000, history.expected(7, new TimeRange(33 * HOUR, 34 * HOUR)), 200_000 * 3.5 / AskHistory.MAP);
    }

    @Test
    void theCatalogueIsBoundedAndHearsNeighbours() {
        Catalogue catalogue = new Catalogue(10, 1_000_000);
        for (int n = 0; n < 100; n++) {
            catalogue.served(candidate(n, 1000));
        }
        assertEquals(10, catalogue.size());
        for (int i = 0; i < 50; i++) {
            catalogue.served(candidate(99, 2000));
        }
        catalogue.wanted("b", candidate(98, 1), 6);
        catalogue.wanted("b", candidate(98, 1), 8);
        Candidate c = catalogue.candidates(id -> -1).stream()
                .filter(x -> x.fingerprint() == 99)
                .findFirst()
                .orElseThrow();
        assertEquals(2000, c.workUs(), 1);
        TimeRange window = new TimeRange(0, 2 * HOUR);
        Planner.Forecast f = catalogue.forecast(new AskHistory(0.3).forecast(window), window);
        assertEquals(4, f.asks(98, new TimeRange(0, HOUR)), 1e-9);
        catalogue.forget("b");
        assertEquals(
                0,
                catalogue.forecast(new AskHistory(0.3).forecast(window), window).asks(98, window));
        assertEquals(0, new Catalogue(10, 100).size());
        Catalogue small = new Catalogue(1000, 1000);
        for (int n = 0; n < 100; n++) {
            small.served(candidate(n, 1000));
        }
        assertTrue(small.bytes() <= 1000 && small.size() > 0);
    }

    @Test
    void ownersAreSpreadAndAChangeMovesOnlyWhatItMust() {
        Set<String> live = new TreeSet<>(List.of("gw-1", "gw-2", "gw-3", "gw-4", "gw-5"));
        Set<String> left = new TreeSet<>(live);
        left.remove("gw-3");
        TreeMap<String, Integer> first = new TreeMap<>();
        for (int n = 0; n < 2000; n++) {
            ResultId id = SampleResults.key(n).id();
            List<String> owners = ReplicaOwners.of(id, live);
            first.merge(owners.get(0), 1, Integer::sum);
            assertEquals(ReplicaOwners.COPIES, new TreeSet<>(owners).size());
            List<String> after = ReplicaOwners.of(id, left);
            assertTrue(
                    owners.contains("gw-3")
                            ? after.contains(owners.get(0)) || after.contains(owners.get(1))
                            : after.equals(owners));
            long senders = left.stream()
                    .filter(g -> !ReplicaOwners.afterChange(id, live, left, g).isEmpty())
                    .count();
            assertEquals(owners.contains("gw-3") ? 1 : 0, senders);
        }
        first.values().forEach(n -> assertTrue(n > 300 && n < 500, first.toString()));
        assertTrue(ReplicaOwners.of(SampleResults.key(1).id(), Set.of("only")).equals(List.of("only")));
    }
}
