package sandpaddle.fleet.outage.phase;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.outage.margin.WindowOutcome;
import sandpaddle.fleet.outage.phase.Evidence.Link;
import sandpaddle.fleet.outage.schedule.Schedule;

/** The wall clock is set, or the schedule is changed, before and during an outage window. */
class ZoneClockTest extends ZonePhaseFixture {
    @Test
    void staysConnectedWhenClockIsSetForwardIntoWindow() {
        runUntil("09:00");
        wallMs = at("12:30");
        update();
        runUntil("12:50");
        assertFalse(transitions.toString().contains("ISOLATED"), transitions.toString());
        assertEquals(1, zone.clockSteps());
        wallMs = at("20:00");
        update();
        runUntil("20:30");
        assertEquals(Phase.CONNECTED, zone.phase());
        assertTrue(outcomes.stream().allMatch(WindowOutcome::unreliable), outcomes.toString());
    }

    @Test
    void staysIsolatedWhenClockIsSetBackDuringOutage() {
        runUntil("12:00");
        setLink(Link.UNREACHABLE);
        runUntil("12:30");
        wallMs = at("07:00");
        update();
        runUntil("07:10");
        assertEquals(Phase.ISOLATED, zone.phase());
        wallMs = at("22:00");
        update();
        runUntil("22:10");
        assertEquals(Phase.ISOLATED, zone.phase());
        setLink(Link.REACHABLE);
        runUntil("22:30");
        assertEquals(Phase.CONNECTED, zone.phase());
        assertTrue(outcomes.stream().allMatch(WindowOutcome::unreliable), outcomes.toString());
    }

    @Test
    void confirmationTimesIgnoreWallClock() {
        runUntil("12:00");
        setLink(Link.UNREACHABLE);
        wallMs += 3_600_000;
        update();
        assertEquals(Phase.FILLING, zone.phase(), "a clock step does not age the evidence");
        nowUs += 2_000_000;
        update();
        assertEquals(Phase.ISOLATED, zone.phase());
    }

    @Test
    void scheduleChangeDuringOutageMovesExpectedReturnOnly() {
        runUntil("12:00");
        setLink(Link.UNREACHABLE);
        runUntil("12:30");
        zone.reschedule(schedule("12:00", "PT3H"));
        runUntil("12:31");
        assertEquals(at("15:01"), zone.expectedReturnMs(nowUs, wallMs, 1000));
        zone.reschedule(Schedule.NONE);
        runUntil("12:32");
        assertEquals(Phase.ISOLATED, zone.phase());
        assertEquals(at("15:01"), zone.expectedReturnMs(nowUs, wallMs, 1000), "last known planned end and margin");
        setLink(Link.REACHABLE);
        runUntil("16:00");
        assertEquals(0, outcomes.get(0).startDelayMs());
        assertEquals(-(2 * 60 + 28) * 60_000, outcomes.get(0).endDelayMs());
    }

    @Test
    void returnsToConnectedWhenWindowIsMovedThenWithdrawn() {
        runUntil("11:45");
        zone.reschedule(schedule("14:30", "PT1H"));
        runUntil("11:46");
        zone.reschedule(Schedule.NONE);
        runUntil("11:50");
        assertTransitions("EXPECTING WINDOW_NEARS", "FILLING FILL_DUE", "CONNECTED WINDOW_GONE");
        assertEquals(List.of(), outcomes, "a withdrawn window is not missed");
    }

    @Test
    void isolatesByEvidenceAndLearnsNothingWhenStartedInWindow() {
        wallMs = at("12:30");
        setLink(Link.UNREACHABLE);
        runUntil("12:31");
        assertEquals(Phase.ISOLATED, zone.phase());
        assertEquals(at("13:01"), zone.expectedReturnMs(nowUs, wallMs, 1000));
        runUntil("13:00");
        setLink(Link.REACHABLE);
        runUntil("14:00");
        assertTrue(outcomes.size() == 1 && outcomes.get(0).unreliable(), outcomes.toString());
    }
}
