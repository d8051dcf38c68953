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

/** Each rule, and what happens with its guard taken away. */
class VerdictEvaluatorTest {
    private static final String NINE = "a1 a2 a3 b1 b2 b3 c1 c2 c3";

    @ParameterizedTest
    @EnumSource(names = {"FAILING", "UNRESPONSIVE", "SLOW"})
    void twoZonesCondemnAnEngine(Finding finding) {
        assertEquals(
                List.of("e1 " + FleetEngineVerdict.Kind.valueOf(finding.name()).logName()),
                new VerdictEvaluatorFixture(NINE).health("a1 b1", "e1", finding).closed());
    }

    @Test
    void accusationsOfOneZoneAreItsLinkFault() {
        VerdictEvaluatorFixture fixture =
                new VerdictEvaluatorFixture("c1 a1 a2 a3 b1 b2 b3").health("a1 a2 a3", "e1", Finding.UNRESPONSIVE);
        assertEquals(List.of(), fixture.closed());
        assertEquals(Map.of("a", Set.of("e1")), fixture.after(0).unreachableEnginesByZone());
        assertEquals(
                List.of("e1 LINK"),
                new VerdictEvaluatorFixture("a3 a1 a2 b1")
                        .health("a1 a2", "e1", Finding.UNRESPONSIVE)
                        .closed());
        assertEquals(
                List.of("e1 SILENT"),
                new VerdictEvaluatorFixture("c1 a1 a2 a3 b1", VerdictGuard.SINGLE_ZONE_IS_LINK_FAULT)
                        .health("a1 a2 a3", "e1", Finding.UNRESPONSIVE)
                        .closed());
    }

    @Test
    void oneGatewayCondemnsNoEngineForOthers() {
        assertEquals(
                List.of(),
                new VerdictEvaluatorFixture(NINE)
                        .health("a2", "e1", Finding.FAILING)
                        .closed());
        assertEquals(
                List.of(),
                new VerdictEvaluatorFixture("a1 a2 a3")
                        .health("a2", "e1", Finding.FAILING)
                        .closed(),
                "one hall");
        assertEquals(
                List.of("e1 LINK"),
                new VerdictEvaluatorFixture(NINE, VerdictGuard.NO_SINGLE_REPORTER)
                        .health("a2", "e1", Finding.FAILING)
                        .closed());
        assertEquals(
                List.of("e1 SICK"),
                new VerdictEvaluatorFixture("a1 a2 a3", VerdictGuard.NO_SINGLE_REPORTER)
                        .health("a2", "e1", Finding.FAILING)
                        .closed());
    }

    @Test
    void inASingleZoneTwoGatewaysAndAMajorityCondemn() {
        assertEquals(
                List.of("e1 SICK"),
                new VerdictEvaluatorFixture("a1 a2 a3")
                        .health("a1 a2", "e1", Finding.FAILING)
                        .closed());
        assertEquals(
                List.of(),
                new VerdictEvaluatorFixture("a1 a2 a3 a4")
                        .health("a1 a2", "e1", Finding.FAILING)
                        .health("a3 a4", "e1", Finding.HEALTHY)
                        .closed());
        assertEquals(
                List.of(),
                new VerdictEvaluatorFixture("a1")
                        .health("a1", "e1", Finding.FAILING)
                        .closed(),
                "a fleet of one");
    }

    @Test
    void aZoneIsOutvotedByItsGatewaysAndTwoZonesByMoreHealthyZones() {
        assertEquals(
                List.of(),
                new VerdictEvaluatorFixture(NINE)
                        .health("a1 b1", "e1", Finding.FAILING)
                        .health("a2 a3 b2 b3", "e1", Finding.HEALTHY)
                        .closed());
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture("d1 a1 b1 c1")
                .health("a1 b1", "e1", Finding.FAILING)
                .health("c1 d1", "e1", Finding.HEALTHY);
        assertEquals(List.of(), fixture.closed());
        assertEquals(
                Set.of("a", "b"), fixture.after(0).unreachableEnginesByZone().keySet());
    }

    @Test
    void recentCounterEvidenceEndsAVerdict() {
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture(NINE).health("a1 b1", "e1", Finding.FAILING);
        assertEquals(1, fixture.closed().size());
        assertEquals(List.of(), fixture.health("a1 b1", "e1", Finding.HEALTHY).closed());
    }

    @Test
    void noVerdictOutlivesItsLease() {
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture(NINE).health("a1 b1", "e1", Finding.FAILING);
        FleetEngineVerdict verdict = fixture.after(0).engines().get(0);
        assertEquals(fixture.now + VerdictEvaluatorFixture.SETTINGS.evidenceLeaseUs(), verdict.untilUs());
        assertEquals(
                1,
                fixture.after(VerdictEvaluatorFixture.SETTINGS.evidenceLeaseUs() - 1)
                        .engines()
                        .size());
        assertEquals(0, fixture.after(1).engines().size());
    }

    @Test
    void evidenceOfSelfDoubtingGatewaysIsIgnored() {
        assertEquals(
                List.of(),
                new VerdictEvaluatorFixture(NINE)
                        .self("b1", Finding.STALLED)
                        .health("a1 b1", "e1", Finding.FAILING)
                        .closed());
        assertEquals(
                List.of(),
                new VerdictEvaluatorFixture(NINE)
                        .self("b1", Finding.MOST_ENGINES_FAILING)
                        .health("a1 b1", "e1", Finding.FAILING)
                        .closed());
        assertEquals(
                List.of("e1 SICK"),
                new VerdictEvaluatorFixture(NINE, VerdictGuard.IGNORE_SELF_DOUBTING)
                        .self("b1", Finding.STALLED)
                        .health("a1 b1", "e1", Finding.FAILING)
                        .closed());
    }

    private static VerdictEvaluatorFixture manyBad(VerdictGuard... without) {
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture(NINE, without);
        for (int i = 0; i < 6; i++) {
            fixture.health(i == 4 ? "a1 b1 c1" : "a1 b1", "e" + i, Finding.FAILING);
        }
        return fixture;
    }

    @Test
    void onlyTheMaximumFractionIsCondemnedAndTheRestIsSpared() {
        VerdictEvaluatorFixture fixture = manyBad();
        assertEquals(List.of("e0 SICK", "e1 SICK", "e4 SICK"), fixture.closed());
        assertEquals(List.of("e2", "e3", "e5"), fixture.after(0).spared());
        fixture.health("a2 b2", "e2", Finding.UNRESPONSIVE).health("a3 b3", "e2", Finding.UNRESPONSIVE);
        assertTrue(fixture.closed().contains("e2 SILENT"), "now among the worst");
        assertEquals(6, manyBad(VerdictGuard.MAX_CONDEMNED_FRACTION).closed().size());
    }

    @Test
    void aRestartedEngineHasNoVerdict() {
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture(NINE).health("a1 b1", "e1", Finding.FAILING);
        assertEquals(List.of("e1 SICK"), fixture.closed());
        fixture.judge.updateEngines(Map.of("e1", 5L, "e2", 0L));
        assertEquals(List.of(), fixture.closed());
        VerdictEvaluatorFixture without = new VerdictEvaluatorFixture(NINE, VerdictGuard.SAME_ENGINE_START)
                .health("a1 b1", "e1", Finding.FAILING);
        without.judge.updateEngines(Map.of("e1", 5L, "e2", 0L));
        assertEquals(List.of("e1 SICK"), without.closed());
    }

    /** Two others know the successor before this gateway's list does; one alone wipes out nothing. */
    @Test
    void aStartReportedByOneWarmsUpAndByTwoDiscardsEvidence() {
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture(NINE)
                .health("a1 b1", "e1", Finding.FAILING)
                .say("c1", Topic.ENGINE_START, "e1", Finding.WARMING_UP, 7, 0);
        assertEquals(List.of("e1 SICK", "e1 COLD"), fixture.closed());
        fixture.say("c2", Topic.ENGINE_START, "e1", Finding.WARMING_UP, 7, 0);
        assertEquals(List.of("e1 COLD"), fixture.closed());
        assertEquals(7, fixture.after(0).engines().get(0).engineStartUs());
        assertEquals(
                List.of("e1 COLD"),
                new VerdictEvaluatorFixture(NINE, VerdictGuard.LIMIT_SINGLE_REPORT)
                        .health("a1 b1", "e1", Finding.FAILING)
                        .say("c1", Topic.ENGINE_START, "e1", Finding.WARMING_UP, 7, 0)
                        .closed());
    }

    @Test
    void theLatestStartWins() {
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture(NINE)
                .say("a1", Topic.ENGINE_START, "e1", Finding.WARMING_UP, 9, 0)
                .say("b1", Topic.ENGINE_START, "e1", Finding.WARMING_UP, 7, 0);
        assertEquals(9, fixture.after(0).engines().get(0).engineStartUs());
    }

    /** An engine that comes and goes is held the longer, but never past its evidence's lease. */
    @Test
    void flappingIsDamped() {
        assertEquals(List.of(0L, 250_000L, 500_000L, 1_000_000L, 2_000_000L, 3_000_000L), heldAfterEachTurn());
        assertEquals(List.of(0L, 0L, 0L, 0L, 0L, 0L), heldAfterEachTurn(VerdictGuard.FLAP_DAMPING));
    }

    private static List<Long> heldAfterEachTurn(VerdictGuard... without) {
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture(NINE, without);
        List<Long> held = new java.util.ArrayList<>();
        for (int turn = 0; turn < 6; turn++) {
            fixture.health("a1 b1", "e1", Finding.FAILING);
            assertEquals(1, fixture.after(0).engines().size());
            fixture.health("a1 b1", "e1", Finding.HEALTHY);
            long us = 0;
            while (!fixture.after(0).engines().isEmpty()) {
                fixture.now += 50_000;
                us += 50_000;
            }
            held.add(us);
            fixture.now += 100_000;
        }
        return held;
    }

    @Test
    void aDrainReportedByOneAppliesFromItsFirstReportForTheGracePeriod() {
        VerdictEvaluatorFixture fixture =
                new VerdictEvaluatorFixture(NINE).say("b1", Topic.DRAIN, "e1", Finding.DRAINING, 0, 0);
        long first = fixture.now;
        assertEquals(List.of("e1 DRAINING"), fixture.closed());
        boolean ended = false;
        for (int i = 0; i < 40 && !ended; i++) {
            fixture.now += 1_000_000;
            fixture.say("b1 c1", Topic.DRAIN, "e1", Finding.DRAINING, 0, 0);
            List<FleetEngineVerdict> verdicts = fixture.after(0).engines();
            ended = verdicts.isEmpty();
            assertTrue(ended || verdicts.get(0).sinceUs() == first, "since the earliest word");
            assertEquals(fixture.now - first >= VerdictEvaluatorFixture.SETTINGS.drainGraceUs(), ended);
        }
        assertTrue(ended);
    }

    /** One gateway's word drains no more engines than may be condemned. */
    @Test
    void oneFaultyReporterDoesNotDrainTheFleet() {
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture(NINE);
        VerdictEvaluatorFixture without = new VerdictEvaluatorFixture(NINE, VerdictGuard.LIMIT_SINGLE_REPORT);
        for (int i = 0; i < 10; i++) {
            fixture.say("b1", Topic.DRAIN, "e" + i, Finding.DRAINING, 0, 0);
            without.say("b1", Topic.DRAIN, "e" + i, Finding.DRAINING, 0, 0);
        }
        assertEquals(3, fixture.closed().size());
        assertEquals(10, without.closed().size());
    }

    @Test
    void tenantUsageIsSummedAndOneReportCannotExceedTheQuota() {
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture(NINE);
        fixture.judge.updateTenantQuotas(Map.of("t", 10.0));
        fixture.say("b1", Topic.TENANT_USAGE, "t", Finding.USAGE, 0, 1e9);
        assertEquals(Set.of(), fixture.after(0).tenantsOverQuota());
        assertEquals(
                Set.of("t"),
                fixture.say("c1", Topic.TENANT_USAGE, "t", Finding.USAGE, 0, 1)
                        .after(0)
                        .tenantsOverQuota());
        fixture.say("b1 c1", Topic.TENANT_USAGE, "t", Finding.USAGE, 0, 4.8);
        assertEquals(Set.of("t"), fixture.after(0).tenantsOverQuota(), "over 0.9 of the share still");
        assertEquals(
                Set.of(),
                fixture.say("c1", Topic.TENANT_USAGE, "t", Finding.USAGE, 0, 4)
                        .after(0)
                        .tenantsOverQuota());
        VerdictEvaluatorFixture without = new VerdictEvaluatorFixture(NINE, VerdictGuard.NO_SINGLE_REPORTER);
        without.judge.updateTenantQuotas(Map.of("t", 10.0));
        assertEquals(
                Set.of("t"),
                without.say("b1", Topic.TENANT_USAGE, "t", Finding.USAGE, 0, 11)
                        .after(0)
                        .tenantsOverQuota());
    }

    @Test
    void twoGatewaysOfTwoZonesProbeACondemnedEngine() {
        int trying = 0;
        for (String gateway : NINE.split(" ")) {
            VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture(
                    gateway + " " + NINE.replace(gateway + " ", "").replace(" " + gateway, ""));
            fixture.self(NINE, Finding.SELF_HEALTHY).health("a1 b1", "e1", Finding.FAILING);
            trying += fixture.after(0).engines().get(0).isProber() ? 1 : 0;
        }
        assertEquals(VerdictEvaluatorFixture.SETTINGS.maxProbers(), trying);
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
        VerdictSnapshot one = manyBad().after(0);
        VerdictSnapshot other = manyBad().after(0);
        assertEquals(one, other);
    }
}
