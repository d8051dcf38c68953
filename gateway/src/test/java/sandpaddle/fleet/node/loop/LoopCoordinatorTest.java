package sandpaddle.fleet.node.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sandpaddle.fleet.node.loop.LoopFixture.IDEMPOTENT;
import static sandpaddle.fleet.node.loop.LoopFixture.NEVER_EXPIRES;
import static sandpaddle.fleet.node.loop.LoopFixture.NOT_IDEMPOTENT;
import static sandpaddle.fleet.node.loop.LoopFixture.query;
import static sandpaddle.fleet.node.loop.LoopFixture.running;
import static sandpaddle.fleet.node.loop.LoopFixture.view;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.decision.event.Event;
import sandpaddle.decision.event.Quota;
import sandpaddle.decision.event.QuotasChanged;
import sandpaddle.fleet.view.FleetView;
import sandpaddle.fleet.view.LimitSlot;
import sandpaddle.query.Answer;
import sandpaddle.query.FleetCoordination;
import sandpaddle.query.ResultSet;

class LoopCoordinatorTest {
    private static final int UNLIMITED = Integer.MAX_VALUE;
    private static final FleetView TWO_RUNNING =
            view(1, NEVER_EXPIRES, List.of(running("l", -1, null, null)), List.of(), new FleetView.SlotQuota(2, 1, 0));

    private static List<Event> quotaOf(int running) {
        return List.of(new QuotasChanged(List.of(new Quota(-1, -1, null, running, UNLIMITED)), 0));
    }

    /** Guards the limit while an engine may still run a withdrawn attempt: it counts until the engine dropped it. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void countsWithdrawnAttemptUntilEngineDropsIt(boolean droppedAtOnce) {
        LoopFixture fixture = new LoopFixture(droppedAtOnce ? 0 : NEVER_EXPIRES);
        assertEquals(quotaOf(2), fixture.turn(TWO_RUNNING));
        assertEquals(List.of(), fixture.coordinator.pollEvents(), "unchanged quotas are not reported again");
        assertTrue(fixture.coordinator.tryStartAttempt(query("t"), IDEMPOTENT, "e"));
        assertTrue(fixture.coordinator.tryStartAttempt(query("t"), IDEMPOTENT, "e"));
        assertFalse(fixture.coordinator.tryStartAttempt(query("t"), IDEMPOTENT, "e"));
        fixture.end(IDEMPOTENT, "t", "e", AttemptResult.CANCELLED, false);
        assertEquals(droppedAtOnce ? List.of() : quotaOf(1), fixture.coordinator.pollEvents());
        assertEquals(droppedAtOnce, fixture.coordinator.tryStartAttempt(query("t"), IDEMPOTENT, "e"));
        assertEquals(2, fixture.usages.current().running(0));
        fixture.end(IDEMPOTENT, "t", "e", AttemptResult.OK, true);
        assertEquals(1, fixture.usages.current().running(0));
    }

    /** The decision module must not receive higher quotas than those that attempts are checked against. */
    @Test
    void reportsAndEnforcesQuotasAfterExpiryAndAfterNewGrant() {
        LoopFixture fixture = new LoopFixture(0);
        fixture.turn(TWO_RUNNING);
        assertFalse(fixture.coordinator.hasAttemptsOverQuota());
        assertEquals(
                quotaOf(1), fixture.turn(view(1, 0, TWO_RUNNING.slots(), List.of(), new FleetView.SlotQuota(2, 1, 0))));
        assertTrue(fixture.coordinator.hasAttemptsOverQuota());
        assertFalse(fixture.coordinator.hasAttemptsOverQuota(), "reported only once");
        assertTrue(fixture.coordinator.tryStartAttempt(query(""), IDEMPOTENT, "e"));
        assertFalse(fixture.coordinator.tryStartAttempt(query(""), IDEMPOTENT, "e"));
        assertEquals(quotaOf(2), fixture.turn(TWO_RUNNING));
        fixture.turn(view(1, NEVER_EXPIRES, TWO_RUNNING.slots(), List.of(), new FleetView.SlotQuota(0, 0, 0)));
        assertFalse(
                fixture.coordinator.hasAttemptsOverQuota(), "under a valid lease, running attempts end by themselves");
    }

    /** Guards attempts that must not run twice, and attempts that the quotas still cover: neither are withdrawn. */
    @Test
    void withdrawsOnlyLatestIdempotentAttemptsAfterLeaseExpired() {
        SplittableRandom random = new SplittableRandom(7);
        int withdrawnInTotal = 0;
        for (int trial = 0; trial < 200; trial++) {
            LoopFixture fixture = new LoopFixture(0);
            List<LimitSlot> slots = List.of(
                    running("all", -1, null, null), running("e", -1, null, "e"), running("t", IDEMPOTENT, "t", null));
            fixture.turn(view(
                    1,
                    NEVER_EXPIRES,
                    slots,
                    List.of(),
                    new FleetView.SlotQuota(99, 0, 0),
                    new FleetView.SlotQuota(99, 0, 0),
                    new FleetView.SlotQuota(99, 0, 0)));
            List<FleetCoordination.InFlightAttempt> attempts = new ArrayList<>();
            for (int i = random.nextInt(12); i > 0; i--) {
                attempts.add(new FleetCoordination.InFlightAttempt(
                        "q" + i,
                        random.nextInt(2),
                        random.nextBoolean() ? "t" : "u",
                        random.nextBoolean() ? "e" : "f"));
                FleetCoordination.InFlightAttempt attempt = attempts.get(attempts.size() - 1);
                assertTrue(fixture.coordinator.tryStartAttempt(
                        query(attempt.tenant()), attempt.classIndex(), attempt.engine()));
            }
            long[] floors = {random.nextInt(9), random.nextInt(5), random.nextInt(4)};
            fixture.turn(view(
                    1,
                    0,
                    slots,
                    List.of(),
                    new FleetView.SlotQuota(99, floors[0], 0),
                    new FleetView.SlotQuota(99, floors[1], 0),
                    new FleetView.SlotQuota(99, floors[2], 0)));
            List<String> withdrawn = fixture.coordinator.attemptsOverQuota(attempts);
            List<FleetCoordination.InFlightAttempt> kept = new ArrayList<>(attempts);
            for (String id : withdrawn) { // in the order of selection: each was over quota when it was selected
                FleetCoordination.InFlightAttempt attempt = attempts.stream()
                        .filter(candidate -> candidate.id().equals(id))
                        .findFirst()
                        .orElseThrow();
                assertEquals(IDEMPOTENT, attempt.classIndex());
                assertTrue(isOver(attempt, kept, slots, floors), id + " of " + attempts);
                assertTrue(
                        kept.subList(kept.indexOf(attempt) + 1, kept.size()).stream()
                                .noneMatch(later ->
                                        later.classIndex() == IDEMPOTENT && isOver(later, kept, slots, floors)),
                        "latest first");
                kept.remove(attempt);
            }
            assertTrue(kept.stream()
                    .noneMatch(attempt -> attempt.classIndex() == IDEMPOTENT && isOver(attempt, kept, slots, floors)));
            withdrawnInTotal += withdrawn.size();
        }
        assertTrue(withdrawnInTotal > 100, "too few attempts were withdrawn in all trials: " + withdrawnInTotal);
    }

    private static boolean isOver(
            FleetCoordination.InFlightAttempt attempt,
            List<FleetCoordination.InFlightAttempt> runningAttempts,
            List<LimitSlot> slots,
            long[] floors) {
        for (int i = 0; i < floors.length; i++) {
            LimitSlot slot = slots.get(i);
            long count = runningAttempts.stream()
                    .filter(candidate -> slot.covers(candidate.classIndex(), candidate.tenant(), candidate.engine()))
                    .count();
            if (slot.covers(attempt.classIndex(), attempt.tenant(), attempt.engine()) && count > floors[i]) {
                return true;
            }
        }
        return false;
    }

    @Test
    void engineWithoutSlotInPerKeyLimitRunsNothing() {
        LoopFixture fixture = new LoopFixture(0);
        fixture.coordinator.engineListReceived(new EngineListReceived(EngineListKind.FULL, List.of(up("e"), up("f"))));
        List<Event> events = fixture.turn(view(
                1,
                NEVER_EXPIRES,
                List.of(running("x|e", -1, null, "e")),
                List.of(running("x", -1, null, LimitSlot.EACH)),
                new FleetView.SlotQuota(3, 3, 0)));
        assertEquals(
                List.of(new QuotasChanged(
                        List.of(new Quota(-1, -1, "e", 3, UNLIMITED), new Quota(-1, -1, "f", 0, UNLIMITED)), 0)),
                events);
        assertFalse(fixture.coordinator.tryStartAttempt(query(""), IDEMPOTENT, "f"));
        assertTrue(fixture.coordinator.tryStartAttempt(query(""), IDEMPOTENT, "e"));
    }

    private static EngineEntry up(String id) {
        return new EngineEntry(id, 0, 0, 0, EngineStatus.UP, 1, 0);
    }

    /** A token bucket starts empty, so the start is rejected, and the attempt is no longer counted as running. */
    @Test
    void rejectsStartOverRateAndUndoesItsCount() {
        LoopFixture fixture = new LoopFixture(0);
        List<LimitSlot> slots =
                List.of(running("l", -1, null, null), new LimitSlot("r", "", -1, null, null, LimitSlot.Counts.STARTS));
        List<Event> events = fixture.turn(view(
                1,
                NEVER_EXPIRES,
                slots,
                List.of(),
                new FleetView.SlotQuota(5, 5, 0),
                new FleetView.SlotQuota(0, 0, 1000)));
        assertFalse(fixture.coordinator.tryStartAttempt(query(""), NOT_IDEMPOTENT, "e"));
        assertEquals(0, fixture.usages.current().running(0));
        QuotasChanged reported = assertInstanceOf(QuotasChanged.class, events.get(0));
        assertEquals(new Quota(-1, -1, null, UNLIMITED, 0), reported.quotas().get(1));
        assertEquals(LoopFixture.MAX_RETRY_AFTER_US, reported.retryAfterUs(), "rate 0: the maximum Retry-After");
    }

    @Test
    void looksUpStoredAnswersOnlyWhileZoneIsIsolated() {
        LoopFixture fixture = new LoopFixture(0);
        List<Optional<Answer>> answers = new ArrayList<>();
        fixture.turn(TWO_RUNNING);
        assertFalse(fixture.coordinator.tryAnswerWithoutEngine(IDEMPOTENT, query("t"), answers::add));
        fixture.turn(new FleetView(
                1,
                TWO_RUNNING.slots(),
                TWO_RUNNING.quotas(),
                List.of(),
                Long.MIN_VALUE,
                NEVER_EXPIRES,
                List.of(),
                Map.of(),
                new FleetView.Isolation(true, 0, 9)));
        assertTrue(fixture.coordinator.tryAnswerWithoutEngine(IDEMPOTENT, query("t"), answers::add));
        Optional<Answer> found = Optional.of(new Answer.Served(new ResultSet(List.of()), "stored"));
        fixture.lookups.get(0).accept(found); // as another thread does; the answer is delivered in a later turn
        assertEquals(List.of(), answers);
        assertEquals(1, fixture.wakeups);
        fixture.coordinator.pollEvents();
        assertEquals(List.of(found), answers);
    }

    /** A cancelled attempt says nothing about its engine, so it must not become evidence. */
    @ParameterizedTest
    @EnumSource(AttemptResult.class)
    void recordsAttemptEndsAsEvidenceExceptCancellations(AttemptResult result) {
        LoopFixture fixture = new LoopFixture(0);
        fixture.turn(TWO_RUNNING);
        assertTrue(fixture.coordinator.tryStartAttempt(query("t"), IDEMPOTENT, "e"));
        fixture.end(IDEMPOTENT, "t", "e", result, true);
        boolean isNoEvidence = result == AttemptResult.CANCELLED_BEFORE_START || result == AttemptResult.CANCELLED;
        assertEquals(isNoEvidence ? 0 : 1, fixture.loopEvents.size());
        fixture.coordinator.queuedRequestsChanged(IDEMPOTENT, "t", 1);
        assertTrue(fixture.coordinator.isBusy());
        fixture.coordinator.queuedRequestsChanged(IDEMPOTENT, "t", -1);
        assertFalse(fixture.coordinator.isBusy());
        fixture.coordinator.retryStormChanged(true);
        assertTrue(fixture.coordinator.isBusy());
    }
}
