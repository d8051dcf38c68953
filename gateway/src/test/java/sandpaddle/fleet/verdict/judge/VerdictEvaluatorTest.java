package sandpaddle.fleet.verdict.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import sandpaddle.fleet.verdict.FleetEngineVerdict;
import sandpaddle.fleet.verdict.VerdictSnapshot;
import sandpaddle.fleet.verdict.evidence.Finding;
import sandpaddle.fleet.verdict.evidence.Topic;

/** Each rule of the evaluation, with its guard and without it. */
class VerdictEvaluatorTest {
    private static final String NINE_GATEWAYS = "a1 a2 a3 b1 b2 b3 c1 c2 c3";

    @ParameterizedTest
    @EnumSource(names = {"FAILING", "UNRESPONSIVE", "SLOW"})
    void engineAccusedByTwoZonesIsEjected(Finding finding) {
        assertEquals(
                List.of("e1 " + FleetEngineVerdict.Kind.valueOf(finding.name()).logName()),
                new VerdictEvaluatorFixture(NINE_GATEWAYS)
                        .reportHealth("a1 b1", "e1", finding)
                        .engineVerdicts());
    }

    @Test
    void accusationsOfOneZoneAreItsLinkFault() {
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture("c1 a1 a2 a3 b1 b2 b3")
                .reportHealth("a1 a2 a3", "e1", Finding.UNRESPONSIVE);
        assertEquals(List.of(), fixture.engineVerdicts());
        assertEquals(Map.of("a", Set.of("e1")), fixture.evaluateAfter(0).unreachableEnginesByZone());
        assertEquals(
                List.of("e1 LINK"),
                new VerdictEvaluatorFixture("a3 a1 a2 b1")
                        .reportHealth("a1 a2", "e1", Finding.UNRESPONSIVE)
                        .engineVerdicts());
        assertEquals(
                List.of("e1 SILENT"),
                new VerdictEvaluatorFixture("c1 a1 a2 a3 b1", VerdictGuard.SINGLE_ZONE_IS_LINK_FAULT)
                        .reportHealth("a1 a2 a3", "e1", Finding.UNRESPONSIVE)
                        .engineVerdicts());
    }

    @Test
    void singleGatewayEjectsNoEngineForOthers() {
        assertEquals(
                List.of(),
                new VerdictEvaluatorFixture(NINE_GATEWAYS)
                        .reportHealth("a2", "e1", Finding.FAILING)
                        .engineVerdicts());
        assertEquals(
                List.of(),
                new VerdictEvaluatorFixture("a1 a2 a3")
                        .reportHealth("a2", "e1", Finding.FAILING)
                        .engineVerdicts(),
                "fleet with one zone");
        assertEquals(
                List.of("e1 LINK"),
                new VerdictEvaluatorFixture(NINE_GATEWAYS, VerdictGuard.NO_SINGLE_REPORTER)
                        .reportHealth("a2", "e1", Finding.FAILING)
                        .engineVerdicts());
        assertEquals(
                List.of("e1 SICK"),
                new VerdictEvaluatorFixture("a1 a2 a3", VerdictGuard.NO_SINGLE_REPORTER)
                        .reportHealth("a2", "e1", Finding.FAILING)
                        .engineVerdicts());
    }

    @Test
    void engineIsEjectedInASingleZoneByTwoGatewaysThatAreAMajority() {
        assertEquals(
                List.of("e1 SICK"),
                new VerdictEvaluatorFixture("a1 a2 a3")
                        .reportHealth("a1 a2", "e1", Finding.FAILING)
                        .engineVerdicts());
        assertEquals(
                List.of(),
                new VerdictEvaluatorFixture("a1 a2 a3 a4")
                        .reportHealth("a1 a2", "e1", Finding.FAILING)
                        .reportHealth("a3 a4", "e1", Finding.HEALTHY)
                        .engineVerdicts());
        assertEquals(
                List.of(),
                new VerdictEvaluatorFixture("a1")
                        .reportHealth("a1", "e1", Finding.FAILING)
                        .engineVerdicts(),
                "fleet of one gateway");
    }

    @Test
    void zoneIsOutvotedByItsGatewaysAndTwoZonesByAsManyOthers() {
        assertEquals(
                List.of(),
                new VerdictEvaluatorFixture(NINE_GATEWAYS)
                        .reportHealth("a1 b1", "e1", Finding.FAILING)
                        .reportHealth("a2 a3 b2 b3", "e1", Finding.HEALTHY)
                        .engineVerdicts());
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture("d1 a1 b1 c1")
                .reportHealth("a1 b1", "e1", Finding.FAILING)
                .reportHealth("c1 d1", "e1", Finding.HEALTHY);
        assertEquals(List.of(), fixture.engineVerdicts());
        assertEquals(
                Set.of("a", "b"),
                fixture.evaluateAfter(0).unreachableEnginesByZone().keySet());
    }

    @Test
    void counterEvidenceEndsAVerdict() {
        VerdictEvaluatorFixture fixture =
                new VerdictEvaluatorFixture(NINE_GATEWAYS).reportHealth("a1 b1", "e1", Finding.FAILING);
        assertEquals(1, fixture.engineVerdicts().size());
        assertEquals(
                List.of(), fixture.reportHealth("a1 b1", "e1", Finding.HEALTHY).engineVerdicts());
    }

    @Test
    void noVerdictOutlivesItsLease() {
        VerdictEvaluatorFixture fixture =
                new VerdictEvaluatorFixture(NINE_GATEWAYS).reportHealth("a1 b1", "e1", Finding.FAILING);
        FleetEngineVerdict verdict = fixture.evaluateAfter(0).engines().get(0);
        assertEquals(fixture.nowUs + VerdictEvaluatorFixture.SETTINGS.evidenceLeaseUs(), verdict.untilUs());
        assertEquals(
                1,
                fixture.evaluateAfter(VerdictEvaluatorFixture.SETTINGS.evidenceLeaseUs() - 1)
                        .engines()
                        .size());
        assertEquals(0, fixture.evaluateAfter(1).engines().size());
    }

    @Test
    void evidenceOfSelfSuspectingGatewaysIsIgnored() {
        assertEquals(
                List.of(),
                new VerdictEvaluatorFixture(NINE_GATEWAYS)
                        .reportSelfHealth("b1", Finding.STALLED)
                        .reportHealth("a1 b1", "e1", Finding.FAILING)
                        .engineVerdicts());
        assertEquals(
                List.of(),
                new VerdictEvaluatorFixture(NINE_GATEWAYS)
                        .reportSelfHealth("b1", Finding.MOST_ENGINES_FAILING)
                        .reportHealth("a1 b1", "e1", Finding.FAILING)
                        .engineVerdicts());
        assertEquals(
                List.of("e1 SICK"),
                new VerdictEvaluatorFixture(NINE_GATEWAYS, VerdictGuard.IGNORE_SELF_SUSPECTING)
                        .reportSelfHealth("b1", Finding.STALLED)
                        .reportHealth("a1 b1", "e1", Finding.FAILING)
                        .engineVerdicts());
    }

    private static VerdictEvaluatorFixture fixtureWithSixFailingEngines(VerdictGuard... disabled) {
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture(NINE_GATEWAYS, disabled);
        for (int i = 0; i < 6; i++) {
            fixture.reportHealth(i == 4 ? "a1 b1 c1" : "a1 b1", "e" + i, Finding.FAILING);
        }
        return fixture;
    }

    @Test
    void onlyTheMaximumFractionIsEjectedAndTheRestIsExempted() {
        VerdictEvaluatorFixture fixture = fixtureWithSixFailingEngines();
        assertEquals(List.of("e0 SICK", "e1 SICK", "e4 SICK"), fixture.engineVerdicts());
        assertEquals(List.of("e2", "e3", "e5"), fixture.evaluateAfter(0).exempted());
        fixture.reportHealth("a2 b2", "e2", Finding.UNRESPONSIVE).reportHealth("a3 b3", "e2", Finding.UNRESPONSIVE);
        assertTrue(fixture.engineVerdicts().contains("e2 SILENT"), "now among those with the strongest evidence");
        assertEquals(
                6,
                fixtureWithSixFailingEngines(VerdictGuard.MAX_EJECTED_FRACTION)
                        .engineVerdicts()
                        .size());
    }

    @Test
    void restartedEngineHasNoVerdict() {
        VerdictEvaluatorFixture fixture =
                new VerdictEvaluatorFixture(NINE_GATEWAYS).reportHealth("a1 b1", "e1", Finding.FAILING);
        assertEquals(List.of("e1 SICK"), fixture.engineVerdicts());
        fixture.evaluator.updateEngines(Map.of("e1", 5L, "e2", 0L));
        assertEquals(List.of(), fixture.engineVerdicts());
        VerdictEvaluatorFixture withoutGuard = new VerdictEvaluatorFixture(
                        NINE_GATEWAYS, VerdictGuard.SAME_ENGINE_START)
                .reportHealth("a1 b1", "e1", Finding.FAILING);
        withoutGuard.evaluator.updateEngines(Map.of("e1", 5L, "e2", 0L));
        assertEquals(List.of("e1 SICK"), withoutGuard.engineVerdicts());
    }

    /** Two other gateways received the restart with the engine list before this one; a single one discards nothing. */
    @Test
    void startReportedByOneMeansWarmUpAndByTwoDiscardsEvidence() {
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture(NINE_GATEWAYS)
                .reportHealth("a1 b1", "e1", Finding.FAILING)
                .report("c1", Topic.ENGINE_START, "e1", Finding.WARMING_UP, 7, 0);
        assertEquals(List.of("e1 SICK", "e1 COLD"), fixture.engineVerdicts());
        fixture.report("c2", Topic.ENGINE_START, "e1", Finding.WARMING_UP, 7, 0);
        assertEquals(List.of("e1 COLD"), fixture.engineVerdicts());
        assertEquals(7, fixture.evaluateAfter(0).engines().get(0).engineStartUs());
        assertEquals(
                List.of("e1 COLD"),
                new VerdictEvaluatorFixture(NINE_GATEWAYS, VerdictGuard.LIMIT_SINGLE_REPORT)
                        .reportHealth("a1 b1", "e1", Finding.FAILING)
                        .report("c1", Topic.ENGINE_START, "e1", Finding.WARMING_UP, 7, 0)
                        .engineVerdicts());
    }

    @Test
    void latestReportedStartApplies() {
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture(NINE_GATEWAYS)
                .report("a1", Topic.ENGINE_START, "e1", Finding.WARMING_UP, 9, 0)
                .report("b1", Topic.ENGINE_START, "e1", Finding.WARMING_UP, 7, 0);
        assertEquals(9, fixture.evaluateAfter(0).engines().get(0).engineStartUs());
    }

    /** Each further verdict outlives its evidence by twice the time, but never the lease of the evidence. */
    @Test
    void verdictsOnAFlappingEngineAreHeldLonger() {
        assertEquals(List.of(0L, 250_000L, 500_000L, 1_000_000L, 2_000_000L, 3_000_000L), heldUsByVerdict());
        assertEquals(List.of(0L, 0L, 0L, 0L, 0L, 0L), heldUsByVerdict(VerdictGuard.FLAP_DAMPING));
    }

    private static List<Long> heldUsByVerdict(VerdictGuard... disabled) {
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture(NINE_GATEWAYS, disabled);
        List<Long> heldUs = new java.util.ArrayList<>();
        for (int verdict = 0; verdict < 6; verdict++) {
            fixture.reportHealth("a1 b1", "e1", Finding.FAILING);
            assertEquals(1, fixture.evaluateAfter(0).engines().size());
            fixture.reportHealth("a1 b1", "e1", Finding.HEALTHY);
            long elapsedUs = 0;
            while (!fixture.evaluateAfter(0).engines().isEmpty()) {
                fixture.nowUs += 50_000;
                elapsedUs += 50_000;
            }
            heldUs.add(elapsedUs);
            fixture.nowUs += 100_000;
        }
        return heldUs;
    }

    @Test
    void drainAppliesForTheGracePeriodFromItsFirstReport() {
        VerdictEvaluatorFixture fixture =
                new VerdictEvaluatorFixture(NINE_GATEWAYS).report("b1", Topic.DRAIN, "e1", Finding.DRAINING, 0, 0);
        long firstReportUs = fixture.nowUs;
        assertEquals(List.of("e1 DRAINING"), fixture.engineVerdicts());
        boolean isEnded = false;
        for (int i = 0; i < 40 && !isEnded; i++) {
            fixture.nowUs += 1_000_000;
            fixture.report("b1 c1", Topic.DRAIN, "e1", Finding.DRAINING, 0, 0);
            List<FleetEngineVerdict> verdicts = fixture.evaluateAfter(0).engines();
            isEnded = verdicts.isEmpty();
            assertTrue(isEnded || verdicts.get(0).sinceUs() == firstReportUs, "since the first report");
            assertEquals(fixture.nowUs - firstReportUs >= VerdictEvaluatorFixture.SETTINGS.drainGraceUs(), isEnded);
        }
        assertTrue(isEnded);
    }

    /** Drains reported by a single gateway apply to no more engines than may be ejected. */
    @Test
    void singleReporterDrainsOnlyTheMaximumFraction() {
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture(NINE_GATEWAYS);
        VerdictEvaluatorFixture withoutGuard =
                new VerdictEvaluatorFixture(NINE_GATEWAYS, VerdictGuard.LIMIT_SINGLE_REPORT);
        for (int i = 0; i < 10; i++) {
            fixture.report("b1", Topic.DRAIN, "e" + i, Finding.DRAINING, 0, 0);
            withoutGuard.report("b1", Topic.DRAIN, "e" + i, Finding.DRAINING, 0, 0);
        }
        assertEquals(3, fixture.engineVerdicts().size());
        assertEquals(10, withoutGuard.engineVerdicts().size());
    }

    @Test
    void tenantUsageIsSummedAndOneReportCannotExceedTheQuota() {
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture(NINE_GATEWAYS);
        fixture.evaluator.updateTenantQuotas(Map.of("t", 10.0));
        fixture.report("b1", Topic.TENANT_USAGE, "t", Finding.USAGE, 0, 1e9);
        assertEquals(Set.of(), fixture.evaluateAfter(0).tenantsOverQuota());
        assertEquals(
                Set.of("t"),
                fixture.report("c1", Topic.TENANT_USAGE, "t", Finding.USAGE, 0, 1)
                        .evaluateAfter(0)
                        .tenantsOverQuota());
        fixture.report("b1 c1", Topic.TENANT_USAGE, "t", Finding.USAGE, 0, 4.8);
        assertEquals(Set.of("t"), fixture.evaluateAfter(0).tenantsOverQuota(), "still over 0.9 of the quota");
        assertEquals(
                Set.of(),
                fixture.report("c1", Topic.TENANT_USAGE, "t", Finding.USAGE, 0, 4)
                        .evaluateAfter(0)
                        .tenantsOverQuota());
        VerdictEvaluatorFixture withoutGuard =
                new VerdictEvaluatorFixture(NINE_GATEWAYS, VerdictGuard.NO_SINGLE_REPORTER);
        withoutGuard.evaluator.updateTenantQuotas(Map.of("t", 10.0));
        assertEquals(
                Set.of("t"),
                withoutGuard
                        .report("b1", Topic.TENANT_USAGE, "t", Finding.USAGE, 0, 11)
                        .evaluateAfter(0)
                        .tenantsOverQuota());
    }

    @Test
    void twoGatewaysOfTwoZonesProbeAnEjectedEngine() {
        int probers = 0;
        for (String gateway : NINE_GATEWAYS.split(" ")) {
            VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture(
                    gateway + " " + NINE_GATEWAYS.replace(gateway + " ", "").replace(" " + gateway, ""));
            fixture.reportSelfHealth(NINE_GATEWAYS, Finding.SELF_HEALTHY).reportHealth("a1 b1", "e1", Finding.FAILING);
            probers += fixture.evaluateAfter(0).engines().get(0).isProber() ? 1 : 0;
        }
        assertEquals(VerdictEvaluatorFixture.SETTINGS.maxProbers(), probers);
        assertNotEquals(
                ProbeAssignment.probersOf(
                        "e1",
                        List.of("a1", "a2", "b1", "b2"),
                        new ZoneRoster("a1", Map.of("a1", "a", "a2", "a", "b1", "b", "b2", "b")),
                        2),
                Set.of("a1", "a2"));
    }

    @Test
    void equalStoresGiveEqualVerdicts() {
        VerdictSnapshot one = fixtureWithSixFailingEngines().evaluateAfter(0);
        VerdictSnapshot other = fixtureWithSixFailingEngines().evaluateAfter(0);
        assertEquals(one, other);
    }
}
