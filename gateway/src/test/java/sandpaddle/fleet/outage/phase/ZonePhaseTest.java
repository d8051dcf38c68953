package sandpaddle.fleet.outage.phase;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.outage.margin.WindowOutcome;
import sandpaddle.fleet.outage.phase.Evidence.Link;

/** A zone whose window goes in each way that windows go. */
class ZonePhaseTest extends ZoneStory {
    @Test
    void anOutageInTime() {
        until("11:29");
        went("EXPECTING WINDOW_NEARS", "FILLING FILL_DUE");
        assertEquals(Optional.of(at("11:59")), zone.lossAt());
        until("12:00");
        link(Link.UNREACHABLE);
        until("12:30");
        assertEquals(Phase.ISOLATED, zone.phase());
        assertEquals(at("13:01"), zone.returnAt(now, wall, 1000));
        until("13:00");
        link(Link.REACHABLE);
        until("14:00");
        went(
                "EXPECTING WINDOW_NEARS",
                "FILLING FILL_DUE",
                "ISOLATED LOST_EXPECTED",
                "RETURNING BACK",
                "CONNECTED SETTLED");
        assertEquals(List.of(new WindowOutcome("ship", Set.of("r0"), false, false, 0, 0)), endings);
    }

    @Test
    void anEarlyOneIsLearntAndCoveredNextTime() {
        until("11:50");
        link(Link.UNREACHABLE);
        until("13:00");
        link(Link.REACHABLE);
        until("14:00");
        assertEquals("ISOLATED LOST_EARLY", moves.get(2));
        assertEquals(-10 * 60_000, endings.get(0).startLateMs());
        endings.forEach(margins::learn);
        ZonePhase next = zone(schedule("12:00", "PT1H"));
        next.turn(now, at("11:00"), evidence);
        assertEquals(Optional.of(at("11:50")), next.lossAt());
    }

    @Test
    void aLateOneIsFilledForUntilItComes() {
        until("12:20");
        assertEquals(Phase.FILLING, zone.phase());
        link(Link.UNREACHABLE);
        until("13:10");
        link(Link.REACHABLE);
        until("14:00");
        assertEquals(20 * 60_000, endings.get(0).startLateMs());
        assertEquals(10 * 60_000, endings.get(0).endLateMs());
    }

    @Test
    void aMissedOneIsolatesNobody() {
        until("14:00");
        went("EXPECTING WINDOW_NEARS", "FILLING FILL_DUE", "CONNECTED WINDOW_GONE");
        assertTrue(endings.get(0).missed());
    }

    @Test
    void aProlongedOneLastsUntilTheLinkIsBack() {
        until("12:00");
        link(Link.UNREACHABLE);
        until("15:01");
        assertEquals(Phase.ISOLATED, zone.phase());
        assertEquals(wall + 2 * 3_600_000, zone.returnAt(now, wall, 1000), "as long again as it has overrun");
        link(Link.REACHABLE);
        until("16:00");
        assertEquals(2 * 3_600_000 + 60_000, endings.get(0).endLateMs());
    }

    @Test
    void anUnannouncedOneTakesLongerEvidence() {
        link(Link.UNREACHABLE);
        until("06:00");
        now += 9_000_000;
        wall += 9000;
        turn();
        went();
        now += 1_000_000;
        wall += 1000;
        turn();
        went("ISOLATED LOST_UNANNOUNCED");
        link(Link.UNKNOWN);
        until("06:30");
        went("ISOLATED LOST_UNANNOUNCED");
        link(Link.REACHABLE);
        until("07:00");
        went("ISOLATED LOST_UNANNOUNCED", "RETURNING BACK", "CONNECTED SETTLED");
        assertEquals(List.of(), endings);
    }

    @Test
    void aBreakBeforeTheWindowIsNotTheWindows() {
        until("11:00");
        link(Link.UNREACHABLE);
        until("11:05");
        link(Link.REACHABLE);
        until("12:02");
        link(Link.UNREACHABLE);
        until("13:00");
        link(Link.REACHABLE);
        until("14:00");
        assertEquals(1, endings.size());
        assertEquals(120_000, endings.get(0).startLateMs());
    }

    @Test
    void aLinkThatFlapsStaysOneOutage() {
        until("12:00");
        link(Link.UNREACHABLE);
        until("12:59");
        link(Link.REACHABLE);
        until("13:00");
        link(Link.UNREACHABLE);
        until("13:05");
        link(Link.REACHABLE);
        until("14:00");
        assertTrue(moves.contains("ISOLATED LOST_AGAIN"), moves.toString());
        assertEquals(1, endings.size());
        assertEquals(5 * 60_000, endings.get(0).endLateMs());
    }

    @Test
    void overlappingWindowsAreOneOutage() {
        zone = zone(schedule("12:00", "PT1H", "12:30", "PT1H30M"));
        until("12:00");
        link(Link.UNREACHABLE);
        until("13:30");
        assertEquals(at("14:01"), zone.returnAt(now, wall, 1000));
        link(Link.REACHABLE);
        until("15:00");
        assertEquals(Set.of("r0", "r1"), endings.get(0).rules());
    }

    @Test
    void oneThatLastsIntoTheNextWindowTeachesNothing() {
        zone = zone(schedule("12:00", "PT1H", "14:00", "PT1H"));
        until("12:00");
        link(Link.UNREACHABLE);
        until("14:30");
        assertEquals(at("15:01"), zone.returnAt(now, wall, 1000));
        until("15:00");
        link(Link.REACHABLE);
        until("16:00");
        assertTrue(endings.stream().allMatch(WindowOutcome::doubtful), endings.toString());
    }
}
