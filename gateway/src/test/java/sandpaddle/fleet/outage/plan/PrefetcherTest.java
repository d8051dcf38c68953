package sandpaddle.fleet.outage.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.content.Candidate;
import sandpaddle.fleet.content.ResultId;
import sandpaddle.fleet.content.SampleResults;
import sandpaddle.fleet.outage.phase.Phase;
import sandpaddle.fleet.outage.schedule.TimeRange;

/** Three gateways of one zone; each statement is requested at one of them only. */
class PrefetcherTest {
    private static final long HOUR_MS = 3_600_000;
    private static final TimeRange OUTAGE = new TimeRange(36 * HOUR_MS, 38 * HOUR_MS);
    private static final List<String> GATEWAYS = List.of("a", "b", "c");

    private final Map<String, Prefetcher> gateways = new TreeMap<>();
    private final Set<Long> fetched = new HashSet<>();
    private final Map<ResultId, Long> storedAtMs = new HashMap<>();

    private static Candidate candidate(int n) {
        return new Candidate(SampleResults.key(n), n, Set.of(), 100, 10_000, 5 * HOUR_MS, 1, -1);
    }

    private void createGateways(int statements) {
        for (String name : GATEWAYS) {
            gateways.put(
                    name,
                    new Prefetcher(
                            name,
                            new PrefetchBudget(1_000_000, 1_000_000, 0.9, 10_000),
                            60_000_000,
                            new DemandHistory(0.3),
                            new Candidates(1000, 1_000_000)));
        }
        for (int n = 0; n < statements; n++) {
            Prefetcher prefetcher = gateways.get(GATEWAYS.get(n % 3));
            prefetcher.recordRequest(12 * HOUR_MS, n);
            prefetcher.recordAnswer(candidate(n));
        }
    }

    private void startFetches(Phase phase, List<String> liveGateways, long wallMs) {
        gateways.forEach((name, prefetcher) -> {
            for (Fetch fetch : prefetcher.startDueFetches(
                    wallMs * 1000,
                    wallMs,
                    new Prefetcher.ZoneState(phase, Optional.of(OUTAGE), liveGateways),
                    new FetchLimit(10, 1_000_000),
                    id -> storedAtMs.getOrDefault(id, -1L))) {
                assertTrue(fetched.add(fetch.candidate().fingerprint()), "fetched twice");
                storedAtMs.put(fetch.candidate().key().id(), wallMs);
                prefetcher.fetchEnded(fetch.candidate().key().id(), true);
            }
        });
    }

    private void exchangeDemandReports() {
        gateways.forEach((from, prefetcher) -> prefetcher
                .demandReports(OUTAGE, GATEWAYS)
                .forEach(report ->
                        gateways.get(report.recipient()).receiveDemand(from, report.candidate(), report.demand())));
    }

    @Test
    void fetchesEachAnswerOnceAcrossGateways() {
        createGateways(60);
        startFetches(Phase.EXPECTING, GATEWAYS, OUTAGE.startMs() - HOUR_MS);
        exchangeDemandReports();
        assertEquals(0, fetched.size());
        for (long wallMs = OUTAGE.startMs() - HOUR_MS / 2; wallMs < OUTAGE.startMs() - 10_000; wallMs += 1000) {
            startFetches(Phase.FILLING, GATEWAYS, wallMs);
        }
        assertEquals(60, fetched.size(), "all answers are fetched before the loss");
    }

    @Test
    void continuesFetchingAfterDelayedOnset() {
        createGateways(60);
        startFetches(Phase.EXPECTING, GATEWAYS, OUTAGE.startMs() - HOUR_MS);
        exchangeDemandReports();
        startFetches(Phase.FILLING, GATEWAYS, OUTAGE.startMs() + 600_000);
        assertTrue(fetched.size() >= 3, "fetches start immediately");
        for (int second = 1; second < 10; second++) {
            startFetches(Phase.FILLING, GATEWAYS, OUTAGE.startMs() + 600_000 + second * 1000);
        }
        assertEquals(60, fetched.size());
    }

    @Test
    void fetchesOnlyOwnDemandWithoutDemandReports() {
        createGateways(60);
        for (long wallMs = OUTAGE.startMs() - 50_000; wallMs < OUTAGE.startMs() - 5000; wallMs += 1000) {
            startFetches(Phase.FILLING, GATEWAYS, wallMs);
        }
        long ownedByRequester = java.util.stream.IntStream.range(0, 60)
                .filter(n -> ReplicaOwners.isFetcher(SampleResults.key(n).id(), GATEWAYS, GATEWAYS.get(n % 3)))
                .count();
        assertEquals(ownedByRequester, fetched.size());
    }

    @Test
    void discardsNeighbourDemandAfterWindow() {
        createGateways(60);
        startFetches(Phase.EXPECTING, GATEWAYS, OUTAGE.startMs() - HOUR_MS);
        exchangeDemandReports();
        startFetches(Phase.CONNECTED, GATEWAYS, OUTAGE.endMs());
        for (long wallMs = OUTAGE.startMs() - 50_000; wallMs < OUTAGE.startMs() - 5000; wallMs += 1000) {
            startFetches(Phase.FILLING, GATEWAYS, wallMs);
        }
        assertTrue(fetched.size() < 60 / 2, fetched.size() + " fetched");
    }

    @Test
    void startsNoFetchOnceZoneIsIsolated() {
        createGateways(60);
        startFetches(Phase.FILLING, GATEWAYS, OUTAGE.startMs() - 10_500);
        int fetchedBeforeIsolation = fetched.size();
        for (long wallMs = OUTAGE.startMs(); wallMs < OUTAGE.startMs() + 60_000; wallMs += 1000) {
            startFetches(Phase.ISOLATED, GATEWAYS, wallMs);
        }
        assertEquals(fetchedBeforeIsolation, fetched.size());
    }
}
