package sandpaddle.fleet.verdict.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import sandpaddle.fleet.verdict.FleetEngineVerdict.Kind;
import sandpaddle.fleet.verdict.VerdictSnapshot;
import sandpaddle.fleet.verdict.ZoneLink;
import sandpaddle.fleet.verdict.evidence.Finding;
import sandpaddle.fleet.verdict.evidence.Topic;

/** A Byzantine reporter sends arbitrary evidence. */
class ByzantineReporterProperties {
    private static final String CORRECT_GATEWAYS = "a1 a2 b2 c1";

    /** Arbitrary reports of a single gateway on any subject eject no engine for the others. */
    @Property(seed = "35", tries = 150)
    void singleByzantineReporterEjectsNothing(@ForAll long seed, @ForAll @IntRange(min = 1, max = 60) int steps) {
        SplittableRandom random = new SplittableRandom(seed);
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture("a1 a2 b1 b2 c1");
        fixture.evaluator.updateTenantQuotas(Map.of("t", 10.0));
        fixture.reportSelfHealth(CORRECT_GATEWAYS, Finding.SELF_HEALTHY)
                .report(CORRECT_GATEWAYS, Topic.REACHABILITY, "", Finding.OUTSIDE_REACHABLE, 0, 0);
        for (int i = 0; i < steps; i++) {
            fixture.nowUs += random.nextLong(400_000);
            fixture.reportSelfHealth(CORRECT_GATEWAYS, Finding.SELF_HEALTHY)
                    .report(CORRECT_GATEWAYS, Topic.REACHABILITY, "", Finding.OUTSIDE_REACHABLE, 0, 0);
            Topic topic = Topic.values()[random.nextInt(Topic.values().length)];
            Finding[] findings = java.util.Arrays.stream(Finding.values())
                    .filter(topic::allows)
                    .toArray(Finding[]::new);
            boolean isAboutItself = topic == Topic.SELF_HEALTH || topic == Topic.REACHABILITY;
            String subject = isAboutItself ? "" : topic == Topic.TENANT_USAGE ? "t" : "e" + random.nextInt(10);
            fixture.report(
                    "b1",
                    topic,
                    subject,
                    findings[random.nextInt(findings.length)],
                    random.nextLong(3),
                    random.nextDouble(1e6));
            VerdictSnapshot snapshot = fixture.evaluateAfter(0);
            assertTrue(
                    snapshot.engines().stream()
                            .noneMatch(verdict -> verdict.kind().ejects()),
                    "ejected: " + snapshot.engines());
            assertEquals(Map.of(), snapshot.unreachableEnginesByZone());
            assertTrue(snapshot.engines().stream()
                            .filter(verdict -> verdict.kind() == Kind.DRAINING)
                            .count()
                    <= 3);
            assertTrue(snapshot.tenantsOverQuota().isEmpty());
            assertTrue(
                    snapshot.zones().values().stream().noneMatch(link -> link.state() == ZoneLink.State.ISOLATED),
                    "isolated");
        }
    }
}
