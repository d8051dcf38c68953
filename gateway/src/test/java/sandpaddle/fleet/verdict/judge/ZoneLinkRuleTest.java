package sandpaddle.fleet.verdict.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import sandpaddle.fleet.verdict.ZoneLink;
import sandpaddle.fleet.verdict.ZoneLink.State;
import sandpaddle.fleet.verdict.evidence.Finding;

class ZoneLinkRuleTest {
    private static final String SIX_GATEWAYS = "a1 a2 a3 a4 b1 b2";

    private static ZoneLink linkOfZoneA(VerdictEvaluatorFixture fixture) {
        return fixture.evaluateAfter(0).zones().get("a");
    }

    @Test
    void zoneIsIsolatedIfHalfOfItsGatewaysReachNothingOutside() {
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture(SIX_GATEWAYS)
                .reportReachability("b1 b2 a3", Finding.OUTSIDE_REACHABLE)
                .reportSelfHealth("a4", Finding.SELF_HEALTHY)
                .reportReachability("a1", Finding.ONLY_OWN_ZONE_REACHABLE);
        assertEquals(State.CONNECTED, linkOfZoneA(fixture).state());
        ZoneLink link = linkOfZoneA(fixture.reportReachability("a2", Finding.NONE_REACHABLE));
        assertEquals(State.ISOLATED, link.state());
        assertEquals(0.5, link.confidence());
        assertEquals(State.CONNECTED, fixture.evaluateAfter(0).zones().get("b").state());
    }

    /** In a zone of two gateways, one is half of them. */
    @Test
    void oneGatewayDoesNotIsolateAZoneIfAnotherReachesOutside() {
        assertEquals(
                State.CONNECTED,
                linkOfZoneA(new VerdictEvaluatorFixture("a1 a2 b1")
                                .reportReachability("a2 b1", Finding.OUTSIDE_REACHABLE)
                                .reportReachability("a1", Finding.NONE_REACHABLE))
                        .state());
    }

    @Test
    void zoneIsIsolatedWithoutEvidenceOfOtherZones() {
        assertEquals(
                State.ISOLATED,
                linkOfZoneA(new VerdictEvaluatorFixture(SIX_GATEWAYS)
                                .reportReachability("a1 a2 a3", Finding.NONE_REACHABLE))
                        .state());
    }

    @Test
    void noEngineReachableFromAnyZoneIsABlackout() {
        assertEquals(
                State.BLACKOUT,
                linkOfZoneA(new VerdictEvaluatorFixture(SIX_GATEWAYS)
                                .reportReachability("a1 a2 b1 b2", Finding.NONE_REACHABLE))
                        .state());
    }

    /** In an isolated zone most engines seem faulty, so only stalled gateways are ignored. */
    @Test
    void stalledGatewaysAreIgnoredButNotThoseWithFailingEngines() {
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture(SIX_GATEWAYS)
                .reportReachability("b1 a3", Finding.OUTSIDE_REACHABLE)
                .reportReachability("a1 a2", Finding.ONLY_OWN_ZONE_REACHABLE);
        assertEquals(
                State.ISOLATED,
                linkOfZoneA(fixture.reportSelfHealth("a1 a2", Finding.MOST_ENGINES_FAILING))
                        .state());
        VerdictEvaluatorFixture stalled = new VerdictEvaluatorFixture(SIX_GATEWAYS)
                .reportReachability("b1 a3", Finding.OUTSIDE_REACHABLE)
                .reportReachability("a1 a2", Finding.ONLY_OWN_ZONE_REACHABLE);
        assertEquals(
                State.CONNECTED,
                linkOfZoneA(stalled.reportSelfHealth("a1 a2", Finding.STALLED)).state());
    }

    @Test
    void withoutEvidenceAZoneIsUnknownAndIsolationEndsWithItsEvidence() {
        assertEquals(
                State.UNKNOWN,
                linkOfZoneA(new VerdictEvaluatorFixture(SIX_GATEWAYS)).state());
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture(SIX_GATEWAYS)
                .reportReachability("a1 a2 a3", Finding.ONLY_OWN_ZONE_REACHABLE);
        long sinceUs = linkOfZoneA(fixture).sinceUs();
        fixture.nowUs += 1_000_000;
        assertEquals(sinceUs, linkOfZoneA(fixture).sinceUs());
        assertEquals(
                State.CONNECTED,
                linkOfZoneA(fixture.reportReachability("a1 a2 a3", Finding.OUTSIDE_REACHABLE))
                        .state());
        assertEquals(
                State.UNKNOWN,
                linkOfZoneA(fixture.reportReachability("a1 a2 a3", Finding.ONLY_OWN_ZONE_REACHABLE))
                        .state(),
                "isolated again within the hold time");
        fixture.nowUs += VerdictEvaluatorFixture.SETTINGS.flapHoldUs();
        assertEquals(State.ISOLATED, linkOfZoneA(fixture).state());
    }

    /** All links of an isolated zone are down, so ejecting engines for that would leave none to try. */
    @Test
    void isolatedZoneEjectsNoEngineByItsLinks() {
        VerdictEvaluatorFixture fixture =
                new VerdictEvaluatorFixture(SIX_GATEWAYS).reportHealth("a1 a2", "e1", Finding.UNRESPONSIVE);
        assertEquals(1, fixture.evaluateAfter(0).engines().size());
        fixture.reportReachability("a1 a2 a3 a4", Finding.ONLY_OWN_ZONE_REACHABLE);
        assertEquals(0, fixture.evaluateAfter(0).engines().size());
        assertEquals(java.util.List.of("e1"), fixture.evaluateAfter(0).exempted());
    }
}
