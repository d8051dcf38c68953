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

/** Three gateways of a zone; each statement is asked at one of them only. */
class PrefetcherTest {
    private static final long HOUR = 3_600_000;
    private static final TimeRange OUTAGE = new TimeRange(36 * HOUR, 38 * HOUR);
    private static final List<String> LIVE = List.of("a", "b", "c");

    private final Map<String, Prefetcher> gateways = new TreeMap<>();
    private final Set<Long> fetched = new HashSet<>();
    private final Map<ResultId, Long> at = new HashMap<>();

    private static Candidate candidate(int n) {
        return new Candidate(SampleResults.key(n), n, Set.of(), 100, 10_000, 5 * HOUR, 1, -1);
    }

    private void learn(int statements) {
        for (String name : LIVE) {
            gateways.put(
                    name,
                    new Prefetcher(
                            name,
                            new Budget(1_000_000, 1_000_000, 0.9, 10_000),
                            60_000_000,
                            new AskHistory(0.3),
                            new Catalogue(1000, 1_000_000)));
        }
        for (int n = 0; n < statements; n++) {
            Prefetcher p = gateways.get(LIVE.get(n % 3));
            p.asked(12 * HOUR, n);
            p.served(candidate(n));
        }
    }

    private void turn(Phase phase, List<String> live, long wall) {
        gateways.forEach((name, p) -> {
            for (Fetch f : p.turn(
                    wall * 1000,
                    wall,
                    new Prefetcher.View(phase, Optional.of(OUTAGE), live),
                    new Allowance(10, 1_000_000),
                    id -> at.getOrDefault(id, -1L))) {
                assertTrue(fetched.add(f.what().fingerprint()), "fetched twice");
                at.put(f.what().key().id(), wall);
                p.ended(f.what().key().id(), true);
            }
        });
    }

    private void tell() {
        gateways.forEach((from, p) ->
                p.wants(OUTAGE, LIVE).forEach(w -> gateways.get(w.to()).wanted(from, w.what(), w.asks())));
    }

    @Test
    void whatAnyOfThemIsAskedIsFetchedByOneOfThem() {
        learn(60);
        turn(Phase.EXPECTING, LIVE, OUTAGE.from() - HOUR);
        tell();
        assertEquals(0, fetched.size());
        for (long wall = OUTAGE.from() - HOUR / 2; wall < OUTAGE.from() - 10_000; wall += 1000) {
            turn(Phase.FILLING, LIVE, wall);
        }
        assertEquals(60, fetched.size(), "all are there before the loss, and none was fetched long before");
    }

    @Test
    void aLossThatIsLateIsFilledForUntilItComes() {
        learn(60);
        turn(Phase.EXPECTING, LIVE, OUTAGE.from() - HOUR);
        tell();
        turn(Phase.FILLING, LIVE, OUTAGE.from() + 600_000);
        assertTrue(fetched.size() >= 3, "begun at once");
        for (int s = 1; s < 10; s++) {
            turn(Phase.FILLING, LIVE, OUTAGE.from() + 600_000 + s * 1000);
        }
        assertEquals(60, fetched.size());
    }

    @Test
    void withoutWantsOnlyWhatIsAskedAtItsOwnerIs() {
        learn(60);
        for (long wall = OUTAGE.from() - 50_000; wall < OUTAGE.from() - 5000; wall += 1000) {
            turn(Phase.FILLING, LIVE, wall);
        }
        long own = java.util.stream.IntStream.range(0, 60)
                .filter(n -> ReplicaOwners.asks(SampleResults.key(n).id(), LIVE, LIVE.get(n % 3)))
                .count();
        assertEquals(own, fetched.size());
    }

    @Test
    void whatNeighboursExpectedIsForgottenAfterTheWindow() {
        learn(60);
        turn(Phase.EXPECTING, LIVE, OUTAGE.from() - HOUR);
        tell();
        turn(Phase.CONNECTED, LIVE, OUTAGE.to());
        for (long wall = OUTAGE.from() - 50_000; wall < OUTAGE.from() - 5000; wall += 1000) {
            turn(Phase.FILLING, LIVE, wall);
        }
        assertTrue(fetched.size() < 60 / 2, fetched.size() + " fetched");
    }

    @Test
    void nothingIsBegunOnceTheZoneIsCutOff() {
        learn(60);
        turn(Phase.FILLING, LIVE, OUTAGE.from() - 10_500);
        int before = fetched.size();
        for (long wall = OUTAGE.from(); wall < OUTAGE.from() + 60_000; wall += 1000) {
            turn(Phase.ISOLATED, LIVE, wall);
        }
        assertEquals(before, fetched.size());
    }
}
