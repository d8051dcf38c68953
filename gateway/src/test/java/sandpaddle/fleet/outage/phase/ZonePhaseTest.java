package sandpaddle.fleet.outage.phase;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.outage.margin.WindowOutcome;
import sandpaddle.fleet.outage.phase.Evidence.Link;

/** An outage window with each possible course: on time, early, late, missed, prolonged, unannounced or interrupted. */
class ZonePhaseTest extends ZonePhaseFixture {
    @Test
    void passesAllPhasesForOutageOnSchedule() {
        runUntil("11:29");
        assertTransitions("EXPECTING WINDOW_NEARS", "FILLING FILL_DUE");
        assertEquals(Optional.of(at("11:59")), zone.expectedLossMs());
        runUntil("12:00");
        setLink(Link.UNREACHABLE);
        runUntil("12:30");
        assertEquals(Phase.ISOLATED, zone.phase());
        assertEquals(at("13:01"), zone.expectedReturnMs(nowUs, wallMs, 1000));
        runUntil("13:00");
        setLink(Link.REACHABLE);
        runUntil("14:00");
        assertTransitions(
                "EXPECTING WINDOW_NEARS",
                "FILLING FILL_DUE",
                "ISOLATED LOST_EXPECTED",
                "RETURNING BACK",
                "CONNECTED SETTLED");
        assertEquals(List.of(new WindowOutcome("ship", Set.of("r0"), false, false, 0, 0)), outcomes);
    }

    @Test
    void marginCoversEarlyLossNextTime() {
        runUntil("11:50");
        setLink(Link.UNREACHABLE);
        runUntil("13:00");
        setLink(Link.REACHABLE);
        runUntil("14:00");
        assertEquals("ISOLATED LOST_EARLY", transitions.get(2));
        assertEquals(-10 * 60_000, outcomes.get(0).startDelayMs());
        outcomes.forEach(margins::learn);
        ZonePhase next = createZone(schedule("12:00", "PT1H"));
        next.update(nowUs, at("11:00"), evidence);
        assertEquals(Optional.of(at("11:50")), next.expectedLossMs());
    }

    @Test
    void keepsPrefetchingUntilDelayedOnset() {
        runUntil("12:20");
        assertEquals(Phase.FILLING, zone.phase());
        setLink(Link.UNREACHABLE);
        runUntil("13:10");
        setLink(Link.REACHABLE);
        runUntil("14:00");
        assertEquals(20 * 60_000, outcomes.get(0).startDelayMs());
        assertEquals(10 * 60_000, outcomes.get(0).endDelayMs());
    }

    @Test
    void staysConnectedWhenWindowPassesWithoutLoss() {
        runUntil("14:00");
        assertTransitions("EXPECTING WINDOW_NEARS", "FILLING FILL_DUE", "CONNECTED WINDOW_GONE");
        assertTrue(outcomes.get(0).missed());
    }

    @Test
    void staysIsolatedPastPlannedEndUntilLinkReturns() {
        runUntil("12:00");
        setLink(Link.UNREACHABLE);
        runUntil("15:01");
        assertEquals(Phase.ISOLATED, zone.phase());
        assertEquals(
                wallMs + 2 * 3_600_000, zone.expectedReturnMs(nowUs, wallMs, 1000), "as long again as the overrun");
        setLink(Link.REACHABLE);
        runUntil("16:00");
        assertEquals(2 * 3_600_000 + 60_000, outcomes.get(0).endDelayMs());
    }

    @Test
    void requiresLongerEvidenceForUnannouncedLoss() {
        setLink(Link.UNREACHABLE);
        runUntil("06:00");
        nowUs += 9_000_000;
        wallMs += 9000;
        update();
        assertTransitions();
        nowUs += 1_000_000;
        wallMs += 1000;
        update();
        assertTransitions("ISOLATED LOST_UNANNOUNCED");
        setLink(Link.UNKNOWN);
        runUntil("06:30");
        assertTransitions("ISOLATED LOST_UNANNOUNCED");
        setLink(Link.REACHABLE);
        runUntil("07:00");
        assertTransitions("ISOLATED LOST_UNANNOUNCED", "RETURNING BACK", "CONNECTED SETTLED");
        assertEquals(List.of(), outcomes);
    }

    @Test
    void ignoresInterruptionBeforeWindow() {
        runUntil("11:00");
        setLink(Link.UNREACHABLE);
        runUntil("11:05");
        setLink(Link.REACHABLE);
        runUntil("12:02");
        setLink(Link.UNREACHABLE);
        runUntil("13:00");
        setLink(Link.REACHABLE);
        runUntil("14:00");
        assertEquals(1, outcomes.size());
        assertEquals(120_000, outcomes.get(0).startDelayMs());
    }

    @Test
    void treatsFlappingLinkAsOneOutage() {
        runUntil("12:00");
        setLink(Link.UNREACHABLE);
        runUntil("12:59");
        setLink(Link.REACHABLE);
        runUntil("13:00");
        setLink(Link.UNREACHABLE);
        runUntil("13:05");
        setLink(Link.REACHABLE);
        runUntil("14:00");
        assertTrue(transitions.contains("ISOLATED LOST_AGAIN"), transitions.toString());
        assertEquals(1, outcomes.size());
        assertEquals(5 * 60_000, outcomes.get(0).endDelayMs());
    }

    @Test
    void mergesOverlappingWindowsIntoOneOutage() {
        zone = createZone(schedule("12:00", "PT1H", "12:30", "PT1H30M"));
        runUntil("12:00");
        setLink(Link.UNREACHABLE);
        runUntil("13:30");
        assertEquals(at("14:01"), zone.expectedReturnMs(nowUs, wallMs, 1000));
        setLink(Link.REACHABLE);
        runUntil("15:00");
        assertEquals(Set.of("r0", "r1"), outcomes.get(0).rules());
    }

    @Test
    void learnsNothingFromOutageLastingIntoNextWindow() {
        zone = createZone(schedule("12:00", "PT1H", "14:00", "PT1H"));
        runUntil("12:00");
        setLink(Link.UNREACHABLE);
        runUntil("14:30");
        assertEquals(at("15:01"), zone.expectedReturnMs(nowUs, wallMs, 1000));
        runUntil("15:00");
        setLink(Link.REACHABLE);
        runUntil("16:00");
        assertTrue(outcomes.stream().allMatch(WindowOutcome::unreliable), outcomes.toString());
    }
}
