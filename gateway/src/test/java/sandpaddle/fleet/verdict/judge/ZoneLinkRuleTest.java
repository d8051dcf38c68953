package sandpaddle.fleet.verdict.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import sandpaddle.fleet.verdict.ZoneLink;
import sandpaddle.fleet.verdict.ZoneLink.State;
import sandpaddle.fleet.verdict.evidence.Finding;

class ZoneLinkRuleTest {
    private static final String SIX = "a1 a2 a3 a4 b1 b2";

    private static ZoneLink a(VerdictEvaluatorFixture fixture) {
        return fixture.after(0).zones().get("a");
    }

    @Test
    void aZoneIsIsolatedIfHalfOfItsGatewaysReachNothingOutside() {
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture(SIX)
                .reach("b1 b2 a3", Finding.OUTSIDE_REACHABLE)
                .self("a4", Finding.SELF_HEALTHY)
                .reach("a1", Finding.ONLY_OWN_ZONE_REACHABLE);
        assertEquals(State.CONNECTED, a(fixture).state());
        ZoneLink link = a(fixture.reach("a2", Finding.NONE_REACHABLE));
        assertEquals(State.ISOLATED, link.state());
        assertEquals(0.5, link.confidence());
        assertEquals(State.CONNECTED, fixture.after(0).zones().get("b").state());
    }

    /** Also in a zone of two, where one is half. */
    @Test
    void oneGatewayDoesNotIsolateAZoneIfAnotherReachesOutside() {
        assertEquals(
                State.CONNECTED,
                a(new VerdictEvaluatorFixture("a1 a2 b1")
                                .reach("a2 b1", Finding.OUTSIDE_REACHABLE)
                                .reach("a1", Finding.NONE_REACHABLE))
                        .state());
    }

    @Test
    void withoutEvidenceOfOtherZonesAZoneIsIsolated() {
        assertEquals(
                State.ISOLATED,
                a(new VerdictEvaluatorFixture(SIX).reach("a1 a2 a3", Finding.NONE_REACHABLE))
                        .state());
    }

    @Test
    void noEngineReachableFromAnyZoneIsABlackout() {
        assertEquals(
                State.BLACKOUT,
                a(new VerdictEvaluatorFixture(SIX).reach("a1 a2 b1 b2", Finding.NONE_REACHABLE))
                        .state());
    }

    /** Most engines look bad in an isolated zone, so that doubt does not count here; standing still does. */
    @Test
    void stalledGatewaysAreIgnoredButNotThoseWithFailingEngines() {
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture(SIX)
                .reach("b1 a3", Finding.OUTSIDE_REACHABLE)
                .reach("a1 a2", Finding.ONLY_OWN_ZONE_REACHABLE);
        assertEquals(
                State.ISOLATED,
                a(fixture.self("a1 a2", Finding.MOST_ENGINES_FAILING)).state());
        VerdictEvaluatorFixture still = new VerdictEvaluatorFixture(SIX)
                .reach("b1 a3", Finding.OUTSIDE_REACHABLE)
                .reach("a1 a2", Finding.ONLY_OWN_ZONE_REACHABLE);
        assertEquals(State.CONNECTED, a(still.self("a1 a2", Finding.STALLED)).state());
    }

    @Test
    void withoutEvidenceAZoneIsUnknownAndIsolationEndsWithItsEvidence() {
        assertEquals(State.UNKNOWN, a(new VerdictEvaluatorFixture(SIX)).state());
        VerdictEvaluatorFixture fixture =
                new VerdictEvaluatorFixture(SIX).reach("a1 a2 a3", Finding.ONLY_OWN_ZONE_REACHABLE);
        long sinceUs = a(fixture).sinceUs();
        fixture.now += 1_000_000;
        assertEquals(sinceUs, a(fixture).sinceUs());
        assertEquals(
                State.CONNECTED,
                a(fixture.reach("a1 a2 a3", Finding.OUTSIDE_REACHABLE)).state());
        assertEquals(
                State.UNKNOWN,
                a(fixture.reach("a1 a2 a3", Finding.ONLY_OWN_ZONE_REACHABLE)).state(),
                "too soon again");
        fixture.now += VerdictEvaluatorFixture.SETTINGS.flapHoldUs();
        assertEquals(State.ISOLATED, a(fixture).state());
    }

    /** In an isolated zone all links out are down: closing engines for that would leave nothing to try. */
    @Test
    void anIsolatedZoneClosesNoEngineByItsLinks() {
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture(SIX).health("a1 a2", "e1", Finding.UNRESPONSIVE);
        assertEquals(1, fixture.after(0).engines().size());
        fixture.reach("a1 a2 a3 a4", Finding.ONLY_OWN_ZONE_REACHABLE);
        assertEquals(0, fixture.after(0).engines().size());
        assertEquals(java.util.List.of("e1"), fixture.after(0).spared());
    }
}
