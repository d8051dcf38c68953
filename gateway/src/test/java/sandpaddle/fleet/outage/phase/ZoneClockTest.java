package sandpaddle.fleet.outage.phase;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.outage.margin.WindowOutcome;
import sandpaddle.fleet.outage.phase.Evidence.Link;
import sandpaddle.fleet.outage.schedule.Schedule;

/** A zone whose clock is set, or whose schedule changes, before its window and in it. */
class ZoneClockTest extends ZoneStory {
    @Test
    void aClockSetForwardIntoTheWindowIsolatesNobody() {
        until("09:00");
        wall = at("12:30");
        turn();
        until("12:50");
        assertFalse(moves.toString().contains("ISOLATED"), moves.toString());
        assertEquals(1, zone.clockSteps());
        wall = at("20:00");
        turn();
        until("20:30");
        assertEquals(Phase.CONNECTED, zone.phase());
        assertTrue(endings.stream().allMatch(WindowOutcome::doubtful), endings.toString());
    }

    @Test
    void aClockSetBackInAnOutageDoesNotEndIt() {
        until("12:00");
        link(Link.UNREACHABLE);
        until("12:30");
        wall = at("07:00");
        turn();
        until("07:10");
        assertEquals(Phase.ISOLATED, zone.phase());
        wall = at("22:00");
        turn();
        until("22:10");
        assertEquals(Phase.ISOLATED, zone.phase());
        link(Link.REACHABLE);
        until("22:30");
        assertEquals(Phase.CONNECTED, zone.phase());
        assertTrue(endings.stream().allMatch(WindowOutcome::doubtful), endings.toString());
    }

    @Test
    void dwellTimesDoNotFollowTheWallClock() {
        until("12:00");
        link(Link.UNREACHABLE);
        wall += 3_600_000;
        turn();
        assertEquals(Phase.FILLING, zone.phase(), "the evidence is no older for it");
        now += 2_000_000;
        turn();
        assertEquals(Phase.ISOLATED, zone.phase());
    }

    @Test
    void aScheduleChangedInTheMiddleMovesTheReturnAndNotTheLoss() {
        until("12:00");
        link(Link.UNREACHABLE);
        until("12:30");
        zone.reschedule(schedule("12:00", "PT3H"));
        until("12:31");
        assertEquals(at("15:01"), zone.returnAt(now, wall, 1000));
        zone.reschedule(Schedule.NONE);
        until("12:32");
        assertEquals(Phase.ISOLATED, zone.phase());
        assertEquals(at("15:01"), zone.returnAt(now, wall, 1000), "the last that was known");
        link(Link.REACHABLE);
        until("16:00");
        assertEquals(0, endings.get(0).startLateMs());
        assertEquals(-(2 * 60 + 28) * 60_000, endings.get(0).endLateMs());
    }

    @Test
    void aWindowWithdrawnOrMovedBeforeItsLoss() {
        until("11:45");
        zone.reschedule(schedule("14:30", "PT1H"));
        until("11:46");
        zone.reschedule(Schedule.NONE);
        until("11:50");
        went("EXPECTING WINDOW_NEARS", "FILLING FILL_DUE", "CONNECTED WINDOW_GONE");
        assertEquals(List.of(), endings, "what was withdrawn was not missed");
    }

    @Test
    void aProcessThatStartsInTheWindowIsolatesByEvidenceAndLearnsNothing() {
        wall = at("12:30");
        link(Link.UNREACHABLE);
        until("12:31");
        assertEquals(Phase.ISOLATED, zone.phase());
        assertEquals(at("13:01"), zone.returnAt(now, wall, 1000));
        until("13:00");
        link(Link.REACHABLE);
        until("14:00");
        assertTrue(endings.size() == 1 && endings.get(0).doubtful(), endings.toString());
    }
}
