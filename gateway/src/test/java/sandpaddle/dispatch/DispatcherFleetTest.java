package sandpaddle.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import sandpaddle.decision.action.Action;
import sandpaddle.decision.action.FailRequest;
import sandpaddle.decision.action.RejectRequest;
import sandpaddle.decision.action.SendAttempt;
import sandpaddle.decision.event.AttemptEnded;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.RequestReceived;
import sandpaddle.query.Answer;
import sandpaddle.query.AttemptEnd;
import sandpaddle.query.FleetCoordination;
import sandpaddle.query.QueryService;
import sandpaddle.query.ResultSet;

/** The dispatcher with a fleet whose quotas limit it. */
class DispatcherFleetTest {
    private static final AttemptEnd COMPLETED = new AttemptEnd.Completed(new ResultSet(List.of()), null);
    private static final Answer STORED = new Answer.Served(new ResultSet(List.of()), "stored");

    private static SendAttempt send(DispatcherFixture fixture, String trace) {
        return new SendAttempt(fixture.id(trace), "e", 0, false);
    }

    /** Guards the fleet's limits when a quota lapses in the turn in which the module decides. */
    @Test
    void attemptWithoutQuotaIsNotStartedAndItsRequestStaysOpen() {
        DispatcherFixture fixture = new DispatcherFixture();
        fixture.submit("q", 0, "t");
        fixture.turn();
        assertEquals(7, fixture.handled(RequestReceived.class).get(0).tenant());
        fixture.fleet.allowsAttempts = false;
        fixture.turn(send(fixture, "q"));
        assertTrue(fixture.inFlight.isEmpty());
        fixture.turn();
        AttemptEnded unstarted = fixture.handled(AttemptEnded.class).get(0);
        assertEquals(AttemptResult.CANCELLED_BEFORE_START, unstarted.result());
        assertFalse(unstarted.settled());
        assertEquals(List.of(), fixture.fleet.endedAttempts, "the end of an attempt that was not started was reported");
        fixture.fleet.allowsAttempts = true;
        fixture.turn(send(fixture, "q"));
        fixture.inFlight.get("q").listener().onEnd(COMPLETED);
        assertEquals(1, fixture.fleet.startedAttempts);
        assertEquals(1, fixture.fleet.endedAttempts.size());
        assertInstanceOf(Answer.Served.class, fixture.answers.get("q").get(0));
    }

    /** Also checks that the fleet is told whether the engine has confirmed the cancel. */
    @Test
    void attemptsOverQuotaAreCancelledById() {
        DispatcherFixture fixture = new DispatcherFixture();
        for (String trace : List.of("a", "b")) {
            fixture.submit(trace, 0, "t" + trace);
            fixture.turn();
            fixture.turn(send(fixture, trace));
        }
        fixture.fleet.overQuota = List.of(fixture.id("b"), "unknown-1");
        fixture.turn();
        assertEquals(
                List.of(
                        new FleetCoordination.InFlightAttempt(fixture.id("a"), 0, "ta", "e"),
                        new FleetCoordination.InFlightAttempt(fixture.id("b"), 0, "tb", "e")),
                fixture.fleet.reportedInFlight.stream()
                        .sorted(java.util.Comparator.comparing(FleetCoordination.InFlightAttempt::id))
                        .toList());
        assertEquals(List.of(), fixture.inFlight.get("a").cancels());
        assertEquals(List.of(false), fixture.inFlight.get("b").cancels(), "the request still waits for an answer");
        fixture.inFlight.get("b").listener().onEnd(new AttemptEnd.Cancelled());
        assertTrue(fixture.fleet.endedAttempts.get(0).stopped(), "the engine has confirmed the cancel");
        fixture.fleet.endedAttempts.clear();
        fixture.submit("c", 0, "").clientDisconnected();
        fixture.turn();
        fixture.submit("d", 0, "");
        fixture.turn();
        fixture.turn(send(fixture, "d"));
        fixture.advance(Duration.ofSeconds(3));
        fixture.turn();
        fixture.inFlight.get("d").listener().onEnd(new AttemptEnd.Cancelled());
        assertFalse(fixture.fleet.endedAttempts.get(0).stopped(), "the engine's confirmation was not awaited");
    }

    @Test
    void storedAnswerReplacesTheEngineAndWithoutOneTheEngineIsUsed() {
        DispatcherFixture fixture = new DispatcherFixture();
        fixture.fleet.isolated = true;
        fixture.submit("a", 0, "");
        fixture.submit("b", 0, "");
        QueryService.PendingQuery disconnecting = fixture.submit("c", 0, "");
        fixture.turn();
        assertEquals(List.of(), fixture.handled(RequestReceived.class));
        assertFalse(fixture.dispatcher.isIdle());
        fixture.fleet.lookups.get(0).accept(Optional.of(STORED));
        fixture.fleet.lookups.get(1).accept(Optional.empty());
        disconnecting.clientDisconnected();
        fixture.fleet.lookups.get(2).accept(Optional.of(STORED));
        fixture.turn();
        assertEquals(List.of(STORED), fixture.answers.get("a"));
        assertEquals(List.of(), fixture.answers.get("c"));
        assertEquals(1, fixture.handled(RequestReceived.class).size());
        fixture.turn(send(fixture, "b"));
        fixture.inFlight.get("b").listener().onEnd(COMPLETED);
        assertEquals(1, fixture.answers.get("b").size());
        assertTrue(fixture.dispatcher.isIdle());
    }

    /** Guards the limit on pending requests, and exactly one answer to each when the process ends. */
    @Test
    void lookupsCountTowardsTheLimitAndAreAnsweredAtTheEnd() {
        DispatcherFixture fixture = new DispatcherFixture();
        fixture.fleet.isolated = true;
        for (int i = 0; i < DispatcherFixture.MAX_QUEUED; i++) {
            fixture.submit("q" + i, 0, "");
        }
        fixture.submit("over", 0, "");
        assertInstanceOf(Answer.Rejected.class, fixture.answers.get("over").get(0));
        fixture.fleet.lookups.get(0).accept(Optional.empty());
        fixture.submit("late", 0, "");
        assertInstanceOf(Answer.Rejected.class, fixture.answers.get("late").get(0));
        fixture.dispatcher.answerAllAndStop();
        fixture.turn();
        fixture.fleet.lookups.forEach(l -> l.accept(Optional.of(STORED)));
        fixture.answers.values().forEach(a -> assertEquals(1, a.size()));
        assertInstanceOf(Answer.Rejected.class, fixture.answers.get("q3").get(0));
        assertTrue(fixture.dispatcher.isIdle());
    }

    /** Guards the demand reported to the fleet: a request is queued while it is open with no attempt in flight. */
    @Test
    void queuedRequestsAreCountedOnceOverRandomLifecycles() {
        int started = 0;
        for (int seed = 0; seed < 150; seed++) {
            RandomLifecycles lifecycles = new RandomLifecycles(seed);
            for (int step = 0; step < 60; step++) {
                lifecycles.step("q" + step);
                lifecycles.assertQueuedCounts();
            }
            lifecycles.finish(seed % 8 == 0);
            started += lifecycles.fixture.fleet.startedAttempts;
        }
        assertTrue(started > 500, started + " attempts were started; expected more than 500");
    }

    /** Drives requests through random sequences of events. */
    private static final class RandomLifecycles {
        private final SplittableRandom random;
        private final DispatcherFixture fixture = new DispatcherFixture();
        private final Map<String, QueryService.PendingQuery> open = new HashMap<>();
        private final Map<String, String> keys = new TreeMap<>(); // class and tenant by trace id

        RandomLifecycles(int seed) {
            random = new SplittableRandom(seed);
        }

        private boolean isOpen(String trace) {
            return open.containsKey(trace) && fixture.answers.get(trace).isEmpty();
        }

        private String drawTrace() {
            List<String> active = keys.keySet().stream()
                    .filter(trace -> fixture.inFlight.containsKey(trace) || isOpen(trace))
                    .toList();
            return active.isEmpty() ? "" : active.get(random.nextInt(active.size()));
        }

        /**
         * Runs one turn.
         *
         * @param newTrace trace id of the request that it may submit
         */
        void step(String newTrace) {
            String trace = drawTrace();
            switch (random.nextInt(8)) {
                case 0, 1 -> submit(newTrace);
                case 2, 3 -> {
                    fixture.fleet.allowsAttempts = random.nextInt(4) > 0;
                    fixture.turn(isOpen(trace) ? new Action[] {send(fixture, trace)} : new Action[0]);
                }
                case 4 -> endAttempt(trace);
                case 5 -> answer(trace);
                case 6 -> {
                    if (isOpen(trace) && random.nextBoolean()) {
                        open.remove(trace).clientDisconnected();
                    }
                    fixture.turn();
                }
                default -> {
                    fixture.advance(Duration.ofMillis(random.nextInt(300)));
                    fixture.turn();
                }
            }
        }

        private void submit(String trace) {
            int classIndex = random.nextInt(2);
            String tenant = random.nextBoolean() ? "t" : "u";
            keys.put(trace, classIndex + tenant);
            open.put(trace, fixture.submit(trace, classIndex, tenant));
            fixture.turn();
        }

        private void answer(String trace) {
            if (!isOpen(trace)) {
                fixture.turn();
            } else if (fixture.inFlight.containsKey(trace)) {
                fixture.turn(new FailRequest(fixture.id(trace)));
            } else {
                fixture.turn(new RejectRequest(fixture.id(trace), 0));
            }
        }

        private void endAttempt(String trace) {
            DispatcherFixture.FakeAttempt attempt = fixture.inFlight.remove(trace);
            if (attempt != null) {
                List<AttemptEnd> ends = List.of(
                        COMPLETED,
                        new AttemptEnd.Cancelled(),
                        new AttemptEnd.ConnectionLost("x"),
                        new AttemptEnd.Rejected(null));
                attempt.listener().onEnd(ends.get(random.nextInt(4)));
            }
        }

        void assertQueuedCounts() {
            Map<String, Integer> expected = new HashMap<>();
            open.keySet().stream()
                    .filter(trace -> isOpen(trace) && !fixture.inFlight.containsKey(trace))
                    .forEach(trace -> expected.merge(keys.get(trace), 1, Integer::sum));
            Map<String, Integer> actual = new HashMap<>(fixture.fleet.queuedByClassAndTenant);
            actual.values().removeIf(count -> count == 0);
            assertEquals(expected, actual);
        }

        /** Ends all requests, at their deadlines or at the end of the process, and checks that none is left. */
        void finish(boolean atDeadlines) {
            if (atDeadlines) {
                fixture.advance(Duration.ofSeconds(3));
            } else {
                fixture.dispatcher.answerAllAndStop();
            }
            fixture.turn();
            new ArrayList<>(fixture.inFlight.keySet()).forEach(this::endAttempt);
            fixture.turn();
            Map<String, Integer> queued = fixture.fleet.queuedByClassAndTenant;
            assertTrue(queued.values().stream().allMatch(count -> count == 0), queued.toString());
            assertEquals(fixture.fleet.startedAttempts, fixture.fleet.endedAttempts.size());
            assertTrue(fixture.dispatcher.isIdle());
        }
    }
}
