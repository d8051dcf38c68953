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
    private static final long HOUR_MS = 3_600_000;
    private final PlanExecutor planExecutor = new PlanExecutor();

    private static Fetch fetch(int number, long startAtMs) {
        return new Fetch(candidate(number, 400_000), startAtMs, 1);
    }

    private static Candidate candidate(int number, long workUs) {
        return new Candidate(SampleResults.key(number), number, Set.of(), 100, workUs, HOUR_MS, 1, -1);
    }

    @Test
    void startsDueFetchesWithinLimit() {
        planExecutor.setPlan(new Plan(List.of(fetch(1, 0), fetch(2, 0), fetch(3, 0), fetch(4, 9000)), 0, 0));
        FetchLimit limit = new FetchLimit(2, 1_000_000);
        assertEquals(2, planExecutor.startDueFetches(0, 10, limit).size());
        assertEquals(0, planExecutor.startDueFetches(500_000, 510, limit).size(), "two fetches are running");
        planExecutor.fetchEnded(SampleResults.key(1).id(), true);
        assertEquals(1, planExecutor.startDueFetches(500_000, 510, limit).size());
        planExecutor.fetchEnded(SampleResults.key(2).id(), true);
        planExecutor.fetchEnded(SampleResults.key(3).id(), true);
        assertEquals(0, planExecutor.startDueFetches(2_000_000, 2010, limit).size(), "the fourth fetch is not due");
        assertEquals(1, planExecutor.startDueFetches(9_000_000, 9000, limit).size());
    }

    @Test
    void resumesWithoutBurstAfterThrottling() {
        List<Fetch> all = new ArrayList<>();
        for (int n = 0; n < 100; n++) {
            all.add(fetch(n, 0));
        }
        planExecutor.setPlan(new Plan(all, 0, 0));
        assertEquals(0, planExecutor.startDueFetches(0, 0, FetchLimit.NONE).size());
        assertEquals(
                0,
                planExecutor
                        .startDueFetches(60_000_000, 60_000, FetchLimit.NONE)
                        .size());
        assertEquals(60_000_000, planExecutor.throttledUs());
        int started = 0;
        for (int second = 61; second < 71; second++) {
            started += planExecutor
                    .startDueFetches(second * 1_000_000L, second * 1000L, new FetchLimit(1000, 1_000_000))
                    .size();
        }
        assertTrue(started >= 24 && started <= 28, started + " fetches of 0.4 s in 10 s of one core");
    }

    @Test
    void retriesFailedFetchOnceAfterOthers() {
        planExecutor.setPlan(new Plan(List.of(fetch(1, 0), fetch(2, 0)), 0, 0));
        FetchLimit limit = new FetchLimit(1, 10_000_000);
        assertEquals(
                1, planExecutor.startDueFetches(0, 0, limit).get(0).candidate().fingerprint());
        planExecutor.fetchEnded(SampleResults.key(1).id(), false);
        assertEquals(
                2,
                planExecutor
                        .startDueFetches(1_000_000, 0, limit)
                        .get(0)
                        .candidate()
                        .fingerprint());
        planExecutor.fetchEnded(SampleResults.key(2).id(), true);
        assertEquals(
                1,
                planExecutor
                        .startDueFetches(2_000_000, 0, limit)
                        .get(0)
                        .candidate()
                        .fingerprint());
        planExecutor.fetchEnded(SampleResults.key(1).id(), false);
        assertEquals(0, planExecutor.startDueFetches(3_000_000, 0, limit).size());
    }

    @Test
    void keepsRunningFetchesOnNewPlanAndStartsNoneAfterStop() {
        Plan plan = new Plan(List.of(fetch(1, 0), fetch(2, 0)), 0, 0);
        planExecutor.setPlan(plan);
        FetchLimit limit = new FetchLimit(1, 10_000_000);
        planExecutor.startDueFetches(0, 0, limit);
        planExecutor.setPlan(plan);
        assertEquals(1, planExecutor.waitingCount());
        planExecutor.stop();
        planExecutor.fetchEnded(SampleResults.key(1).id(), true);
        assertEquals(0, planExecutor.startDueFetches(1_000_000, 0, limit).size());
        assertEquals(0, planExecutor.runningCount());
    }

    @Test
    void forecastFollowsTimeOfDayAndDecays() {
        DemandHistory history = new DemandHistory(0.3);
        for (int day = 0; day < 5; day++) {
            for (int i = 0; i < 20; i++) {
                history.recordRequest(day * 24 * HOUR_MS + 9 * HOUR_MS + i * 60_000, 1);
                history.recordRequest(day * 24 * HOUR_MS + 15 * HOUR_MS, 2);
            }
        }
        long next = 5 * 24 * HOUR_MS;
        TimeRange nineToTen = new TimeRange(next + 9 * HOUR_MS, next + 10 * HOUR_MS);
        double sameHour = history.expectedDemand(1, nineToTen);
        assertTrue(
                sameHour > 9 && sameHour < 12, sameHour + " requests in the same hour, which has half of the weight");
        double adjacentHour = history.expectedDemand(1, new TimeRange(next + 8 * HOUR_MS, next + 9 * HOUR_MS));
        assertTrue(adjacentHour > 3 && adjacentHour < 5, adjacentHour + " requests in the hour before");
        assertTrue(history.expectedDemand(1, new TimeRange(next + 15 * HOUR_MS, next + 16 * HOUR_MS)) < 0.5);
        for (TimeRange range :
                List.of(nineToTen, new TimeRange(next + 8 * HOUR_MS + 1000, next + 11 * HOUR_MS + 5000))) {
            Planner.Forecast forecast = history.forecast(range);
            assertEquals(history.expectedDemand(1, range), forecast.demand(1, range), 1e-6);
            TimeRange part = new TimeRange(range.startMs(), range.startMs() + HOUR_MS / 3);
            assertEquals(history.expectedDemand(2, part), forecast.demand(2, part), 1e-6);
        }
        for (int day = 5; day < 15; day++) {
            history.recordRequest(day * 24 * HOUR_MS + 9 * HOUR_MS, 3);
        }
        next = 15 * 24 * HOUR_MS;
        assertTrue(
                history.expectedDemand(1, new TimeRange(next + 9 * HOUR_MS, next + 10 * HOUR_MS)) < 0.5,
                "the earlier demand has decayed");
        assertEquals(0.5, history.expectedDemand(3, new TimeRange(next + 9 * HOUR_MS, next + 10 * HOUR_MS)), 0.1);
    }

    @Test
    void countsDaysSeparatelyAfterClockWasFarAhead() {
        DemandHistory history = new DemandHistory(0.3);
        history.recordRequest(5000 * 24 * HOUR_MS + 9 * HOUR_MS, 1);
        for (int day = 0; day < 20; day++) {
            history.recordRequest(day * 24 * HOUR_MS + 9 * HOUR_MS, 1);
        }
        long next = 20 * 24 * HOUR_MS + 9 * HOUR_MS;
        assertTrue(history.expectedDemand(1, new TimeRange(next, next + HOUR_MS)) < 0.7);
    }

    @Test
    void estimatesFrequentStatementAmongManyRareOnes() {
        DemandHistory history = new DemandHistory(0.3);
        for (int i = 0; i < 200_000; i++) {
            history.recordRequest(9 * HOUR_MS, i % 10 == 0 ? 7 : 1000 + i);
        }
        assertEquals(
                10_000,
                history.expectedDemand(7, new TimeRange(33 * HOUR_MS, 34 * HOUR_MS)),
                200_000 * 3.5 / DemandHistory.MAX_MAP_SIZE);
    }

    @Test
    void candidatesAreBoundedAndIncludeNeighbourDemand() {
        Candidates candidates = new Candidates(10, 1_000_000);
        for (int n = 0; n < 100; n++) {
            candidates.recordAnswer(candidate(n, 1000));
        }
        assertEquals(10, candidates.size());
        for (int i = 0; i < 50; i++) {
            candidates.recordAnswer(candidate(99, 2000));
        }
        candidates.recordDemand("b", candidate(98, 1), 6);
        candidates.recordDemand("b", candidate(98, 1), 8);
        Candidate candidate = candidates.list(id -> -1).stream()
                .filter(known -> known.fingerprint() == 99)
                .findFirst()
                .orElseThrow();
        assertEquals(2000, candidate.workUs(), 1);
        TimeRange window = new TimeRange(0, 2 * HOUR_MS);
        Planner.Forecast forecast = candidates.forecast(new DemandHistory(0.3).forecast(window), window);
        assertEquals(4, forecast.demand(98, new TimeRange(0, HOUR_MS)), 1e-9);
        candidates.removeDemandOf("b");
        assertEquals(
                0,
                candidates
                        .forecast(new DemandHistory(0.3).forecast(window), window)
                        .demand(98, window));
        assertEquals(0, new Candidates(10, 100).size());
        Candidates small = new Candidates(1000, 1000);
        for (int n = 0; n < 100; n++) {
            small.recordAnswer(candidate(n, 1000));
        }
        assertTrue(small.bytes() <= 1000 && small.size() > 0);
    }

    @Test
    void spreadsOwnersAndMovesOnlyAnswersOfRemovedGateway() {
        Set<String> gateways = new TreeSet<>(List.of("gw-1", "gw-2", "gw-3", "gw-4", "gw-5"));
        Set<String> remaining = new TreeSet<>(gateways);
        remaining.remove("gw-3");
        TreeMap<String, Integer> firstOwnerCounts = new TreeMap<>();
        for (int n = 0; n < 2000; n++) {
            ResultId id = SampleResults.key(n).id();
            List<String> owners = ReplicaOwners.of(id, gateways);
            firstOwnerCounts.merge(owners.get(0), 1, Integer::sum);
            assertEquals(ReplicaOwners.REPLICA_COUNT, new TreeSet<>(owners).size());
            List<String> after = ReplicaOwners.of(id, remaining);
            assertTrue(
                    owners.contains("gw-3")
                            ? after.contains(owners.get(0)) || after.contains(owners.get(1))
                            : after.equals(owners));
            long senders = remaining.stream()
                    .filter(g -> !ReplicaOwners.replicationTargetsAfterChange(id, gateways, remaining, g)
                            .isEmpty())
                    .count();
            assertEquals(owners.contains("gw-3") ? 1 : 0, senders);
        }
        firstOwnerCounts.values().forEach(n -> assertTrue(n > 300 && n < 500, firstOwnerCounts.toString()));
        assertTrue(ReplicaOwners.of(SampleResults.key(1).id(), Set.of("only")).equals(List.of("only")));
    }
}
