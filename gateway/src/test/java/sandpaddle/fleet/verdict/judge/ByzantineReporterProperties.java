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

class ByzantineReporterProperties {
    private static final String HONEST = "a1 a2 b2 c1";

    /** Whatever one gateway says of anything, for as long as it likes, it condemns nothing for the others. */
    @Property(seed = "35", tries = 150)
    void oneByzantineReporterCondemnsNothing(@ForAll long seed, @ForAll @IntRange(min = 1, max = 60) int steps) {
        SplittableRandom random = new SplittableRandom(seed);
        VerdictEvaluatorFixture fixture = new VerdictEvaluatorFixture("a1 a2 b1 b2 c1");
        fixture.judge.updateTenantQuotas(Map.of("t", 10.0));
        fixture.self(HONEST, Finding.SELF_HEALTHY).say(HONEST, Topic.REACHABILITY, "", Finding.OUTSIDE_REACHABLE, 0, 0);
        for (int i = 0; i < steps; i++) {
            fixture.now += random.nextLong(400_000);
            fixture.self(HONEST, Finding.SELF_HEALTHY)
                    .say(HONEST, Topic.REACHABILITY, "", Finding.OUTSIDE_REACHABLE, 0, 0);
            Topic topic = Topic.values()[random.nextInt(Topic.values().length)];
            Finding[] findings = java.util.Arrays.stream(Finding.values())
                    .filter(topic::allows)
                    .toArray(Finding[]::new);
            boolean ofItself = topic == Topic.SELF_HEALTH || topic == Topic.REACHABILITY;
            String subject = ofItself ? "" : topic == Topic.TENANT_USAGE ? "t" : "e" + random.nextInt(10);
            fixture.say(
                    "b1",
                    topic,
                    subject,
                    findings[random.nextInt(findings.length)],
                    random.nextLong(3),
                    random.nextDouble(1e6));
            VerdictSnapshot v = fixture.after(0);
            assertTrue(v.engines().stream().noneMatch(e -> e.kind().condemns()), "condemned: " + v.engines());
            assertEquals(Map.of(), v.unreachableEnginesByZone());
            assertTrue(
                    v.engines().stream().filter(e -> e.kind() == Kind.DRAINING).count() <= 3);
            assertTrue(v.tenantsOverQuota().isEmpty());
            assertTrue(v.zones().values().stream().noneMatch(h -> h.state() == ZoneLink.State.ISOLATED), "isolated");
        }
    }
}
