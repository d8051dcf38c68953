package sandpaddle.fleet.node.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sandpaddle.fleet.node.loop.LoopRig.FOR_GOOD;
import static sandpaddle.fleet.node.loop.LoopRig.SAFE;
import static sandpaddle.fleet.node.loop.LoopRig.UNSAFE;
import static sandpaddle.fleet.node.loop.LoopRig.query;
import static sandpaddle.fleet.node.loop.LoopRig.running;
import static sandpaddle.fleet.node.loop.LoopRig.view;

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
    private static final int ANY = Integer.MAX_VALUE;
    private static final FleetView TWO =
            view(1, FOR_GOOD, List.of(running("l", -1, null, null)), List.of(), new FleetView.SlotQuota(2, 1, 0));

    private static List<Event> allows(int running) {
        return List.of(new QuotasChanged(List.of(new Quota(-1, -1, null, running, ANY)), 0));
    }

    /** Guards the limit where an engine may run on what was withdrawn: it counts until the engine has forgotten it. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whatMayRunOnGoesOnCounting(boolean forgotten) {
        LoopRig rig = new LoopRig(forgotten ? 0 : FOR_GOOD);
        assertEquals(allows(2), rig.turn(TWO));
        assertEquals(List.of(), rig.side.pollEvents(), "nothing is told twice");
        assertTrue(rig.side.tryStartAttempt(query("t"), SAFE, "e"));
        assertTrue(rig.side.tryStartAttempt(query("t"), SAFE, "e"));
        assertFalse(rig.side.tryStartAttempt(query("t"), SAFE, "e"));
        rig.end(SAFE, "t", "e", AttemptResult.CANCELLED, false);
        assertEquals(forgotten ? List.of() : allows(1), rig.side.pollEvents());
        assertEquals(forgotten, rig.side.tryStartAttempt(query("t"), SAFE, "e"));
        assertEquals(2, rig.usages.current().running(0));
        rig.end(SAFE, "t", "e", AttemptResult.OK, true);
        assertEquals(1, rig.usages.current().running(0));
    }

    /** What the module hears must not be more than what a send is held to. */
    @Test
    void lapseAndNewSharesAreToldAndHeldTo() {
        LoopRig rig = new LoopRig(0);
        rig.turn(TWO);
        assertFalse(rig.side.hasAttemptsOverQuota());
        assertEquals(allows(1), rig.turn(view(1, 0, TWO.slots(), List.of(), new FleetView.SlotQuota(2, 1, 0))));
        assertTrue(rig.side.hasAttemptsOverQuota());
        assertFalse(rig.side.hasAttemptsOverQuota(), "asked for once");
        assertTrue(rig.side.tryStartAttempt(query(""), SAFE, "e"));
        assertFalse(rig.side.tryStartAttempt(query(""), SAFE, "e"));
        assertEquals(allows(2), rig.turn(TWO));
        rig.turn(view(1, FOR_GOOD, TWO.slots(), List.of(), new FleetView.SlotQuota(0, 0, 0)));
        assertFalse(rig.side.hasAttemptsOverQuota(), "under a lease what runs ends by itself");
    }

    /** Guards what must not run twice, and what the quotas still cover: neither is withdrawn. */
    @Test
    void atALapseJustTheLatestThatMayBeRepeatedAreWithdrawn() {
        SplittableRandom r = new SplittableRandom(7);
        int withdrawnInAll = 0;
        for (int day = 0; day < 200; day++) {
            LoopRig rig = new LoopRig(0);
            List<LimitSlot> slots =
                    List.of(running("all", -1, null, null), running("e", -1, null, "e"), running("t", SAFE, "t", null));
            rig.turn(view(
                    1,
                    FOR_GOOD,
                    slots,
                    List.of(),
                    new FleetView.SlotQuota(99, 0, 0),
                    new FleetView.SlotQuota(99, 0, 0),
                    new FleetView.SlotQuota(99, 0, 0)));
            List<FleetCoordination.InFlightAttempt> attempts = new ArrayList<>();
            for (int i = r.nextInt(12); i > 0; i--) {
                attempts.add(new FleetCoordination.InFlightAttempt(
                        "q" + i, r.nextInt(2), r.nextBoolean() ? "t" : "u", r.nextBoolean() ? "e" : "f"));
                FleetCoordination.InFlightAttempt attempt = attempts.get(attempts.size() - 1);
                assertTrue(rig.side.tryStartAttempt(query(attempt.tenant()), attempt.classIndex(), attempt.engine()));
            }
            long[] floors = {r.nextInt(9), r.nextInt(5), r.nextInt(4)};
            rig.turn(view(
                    1,
                    0,
                    slots,
                    List.of(),
                    new FleetView.SlotQuota(99, floors[0], 0),
                    new FleetView.SlotQuota(99, floors[1], 0),
                    new FleetView.SlotQuota(99, floors[2], 0)));
            List<String> withdrawn = rig.side.attemptsOverQuota(attempts);
            List<FleetCoordination.InFlightAttempt> kept = new ArrayList<>(attempts);
            for (String id : withdrawn) { // in their order: each was needed when it was chosen
                FleetCoordination.InFlightAttempt attempt = attempts.stream()
                        .filter(x -> x.id().equals(id))
                        .findFirst()
                        .orElseThrow();
                assertEquals(SAFE, attempt.classIndex());
                assertTrue(isOver(attempt, kept, slots, floors), id + " of " + attempts);
                assertTrue(
                        kept.subList(kept.indexOf(attempt) + 1, kept.size()).stream()
                                .noneMatch(later -> later.classIndex() == SAFE && isOver(later, kept, slots, floors)),
                        "latest first");
                kept.remove(attempt);
            }
            assertTrue(kept.stream()
                    .noneMatch(attempt -> attempt.classIndex() == SAFE && isOver(attempt, kept, slots, floors)));
            withdrawnInAll += withdrawn.size();
        }
        assertTrue(withdrawnInAll > 100, "the days drawn hold too little: " + withdrawnInAll);
    }

    private static boolean isOver(
            FleetCoordination.InFlightAttempt attempt,
            List<FleetCoordination.InFlightAttempt> all,
            List<LimitSlot> slots,
            long[] floors) {
        for (int i = 0; i < floors.length; i++) {
            LimitSlot slot = slots.get(i);
            long n = all.stream()
                    .filter(x -> slot.covers(x.classIndex(), x.tenant(), x.engine()))
                    .count();
            if (slot.covers(attempt.classIndex(), attempt.tenant(), attempt.engine()) && n > floors[i]) {
                return true;
            }
        }
        return false;
    }

    @Test
    void anEngineOrTenantWithoutItsSlotMayUseNothing() {
        LoopRig rig = new LoopRig(0);
        rig.side.engineListReceived(new EngineListReceived(EngineListKind.FULL, List.of(up("e"), up("f"))));
        List<Event> news = rig.turn(view(
                1,
                FOR_GOOD,
                List.of(running("x|e", -1, null, "e")),
                List.of(running("x", -1, null, LimitSlot.EACH)),
                new FleetView.SlotQuota(3, 3, 0)));
        assertEquals(
                List.of(new QuotasChanged(List.of(new Quota(-1, -1, "e", 3, ANY), new Quota(-1, -1, "f", 0, ANY)), 0)),
                news);
        assertFalse(rig.side.tryStartAttempt(query(""), SAFE, "f"));
        assertTrue(rig.side.tryStartAttempt(query(""), SAFE, "e"));
    }

    private static EngineEntry up(String id) {
        return new EngineEntry(id, 0, 0, 0, EngineStatus.UP, 1, 0);
    }

    /** A rate's bucket starts empty, so a start on it is refused, and its count taken back. */
    @Test
    void aStartThatItsRateDoesNotCoverCountsNowhere() {
        LoopRig rig = new LoopRig(0);
        List<LimitSlot> slots =
                List.of(running("l", -1, null, null), new LimitSlot("r", "", -1, null, null, LimitSlot.Counts.STARTS));
        List<Event> news = rig.turn(view(
                1, FOR_GOOD, slots, List.of(), new FleetView.SlotQuota(5, 5, 0), new FleetView.SlotQuota(0, 0, 1000)));
        assertFalse(rig.side.tryStartAttempt(query(""), UNSAFE, "e"));
        assertEquals(0, rig.usages.current().running(0));
        QuotasChanged told = assertInstanceOf(QuotasChanged.class, news.get(0));
        assertEquals(new Quota(-1, -1, null, ANY, 0), told.quotas().get(1));
        assertEquals(6_000_000, told.retryAfterUs(), "a rate of nothing: the longest pause");
    }

    @Test
    void storedAnswersAreLookedForOnlyInAZoneThatIsCutOff() {
        LoopRig rig = new LoopRig(0);
        List<Optional<Answer>> answers = new ArrayList<>();
        rig.turn(TWO);
        assertFalse(rig.side.tryAnswerWithoutEngine(SAFE, query("t"), answers::add));
        rig.turn(new FleetView(
                1,
                TWO.slots(),
                TWO.quotas(),
                List.of(),
                Long.MIN_VALUE,
                FOR_GOOD,
                List.of(),
                Map.of(),
                new FleetView.Isolation(true, 0, 9)));
        assertTrue(rig.side.tryAnswerWithoutEngine(SAFE, query("t"), answers::add));
        Optional<Answer> found = Optional.of(new Answer.Served(new ResultSet(List.of()), "stored"));
        rig.lookups.get(0).accept(found); // by another thread: it is told in a later turn
        assertEquals(List.of(), answers);
        assertEquals(1, rig.woken);
        rig.side.pollEvents();
        assertEquals(List.of(found), answers);
    }

    /** An end that says nothing of its engine must not be evidence about it. */
    @ParameterizedTest
    @EnumSource(AttemptResult.class)
    void endsAreEvidenceOnlyWhereTheyTellOfTheEngine(AttemptResult result) {
        LoopRig rig = new LoopRig(0);
        rig.turn(TWO);
        assertTrue(rig.side.tryStartAttempt(query("t"), SAFE, "e"));
        rig.end(SAFE, "t", "e", result, true);
        boolean silent = result == AttemptResult.CANCELLED_BEFORE_START || result == AttemptResult.CANCELLED;
        assertEquals(silent ? 0 : 1, rig.heard.size());
        rig.side.queuedRequestsChanged(SAFE, "t", 1);
        assertTrue(rig.side.isBusy());
        rig.side.queuedRequestsChanged(SAFE, "t", -1);
        assertFalse(rig.side.isBusy());
        rig.side.retryStormChanged(true);
        assertTrue(rig.side.isBusy());
    }
}
