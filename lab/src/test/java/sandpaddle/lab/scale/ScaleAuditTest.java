package sandpaddle.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the evaluation on synthetic events: each violation is found, and a correct run has none. */
class ScaleAuditTest {
    private static final ScalePlan.Size SIZE = new ScalePlan.Size(4, 8, 2, 2, 1, 3);

    private final List<Map<String, String>> events = new ArrayList<>();

    private void add(long us, String party, String kind, Object... fields) {
        Map<String, String> e = new HashMap<>(Map.of("us", Long.toString(us), "party", party, "kind", kind));
        for (int i = 0; i < fields.length; i += 2) {
            e.put((String) fields[i], fields[i + 1].toString());
        }
        events.add(e);
    }

    private void begin(long us, String attempt, String tenant) {
        add(us, "host", "begin", "gateway", "gateway-0000", "attempt", attempt, "tenant", tenant);
    }

    private void end(long us, String attempt) {
        add(us, "host", "end", "gateway", "gateway-0000", "attempt", attempt, "tenant", "");
    }

    private void rules(long us, String gateway, long start, long version) {
        add(us, "host", "rules", "gateway", gateway, "start", start, "version", version);
    }

    private ScaleAudit audit() {
        return ScaleAudit.ofEvents(SIZE, events);
    }

    @Test
    void countsConcurrentAttemptsAgainstEachLimit() {
        add(0, "script", "limit", "limit", "all", "running", 2);
        add(0, "script", "limit", "limit", "tenant-1", "running", 1);
        begin(10, "a", "tenant-1");
        begin(20, "b", "tenant-2");
        end(30, "a");
        begin(30, "c", "tenant-1"); // starts when another ends: not concurrent
        assertEquals(0, audit().running().maxExcess());

        begin(40, "d", "tenant-1");
        assertEquals(1, audit().running().maxExcess());
        assertEquals(4, audit().running().startedAttempts());
    }

    @Test
    void countsRegressionsAndLostVersions() {
        add(0, "host", "gateway-started", "gateway", "gateway-0000", "start", 1);
        add(0, "host", "gateway-started", "gateway", "gateway-0001", "start", 1);
        add(100, "host", "proposed", "gateway", "gateway-0000", "version", 2);
        rules(5_100, "gateway-0000", 1, 2);
        rules(9_100, "gateway-0001", 1, 2);
        assertEquals(0, audit().versions().regressions());
        assertEquals(0, audit().lostVersions());
        assertEquals(List.of(5L, 9L), audit().versions().delaysMs(audit().connectedGateways()));

        rules(10_000, "gateway-0000", 1, 1);
        assertEquals(1, audit().versions().regressions());
        assertEquals(0, audit().lostVersions(), "the other gateway still has version 2");

        rules(11_000, "gateway-0001", 1, 1);
        assertEquals(1, audit().lostVersions());
    }

    @Test
    void acceptsOlderVersionAfterRestart() {
        add(0, "host", "gateway-started", "gateway", "gateway-0000", "start", 1);
        add(100, "host", "proposed", "gateway", "gateway-0000", "version", 2);
        rules(200, "gateway-0000", 1, 2);
        add(300, "host", "crashed", "gateway", "gateway-0000", "start", 1);
        add(400, "host", "gateway-started", "gateway", "gateway-0000", "start", 2);
        rules(500, "gateway-0000", 2, 1);
        rules(600, "gateway-0000", 2, 2);
        assertEquals(0, audit().versions().regressions());
        assertEquals(0, audit().lostVersions());
    }

    @Test
    void countsVerdictsOnHealthyEnginesAsFalsePositives() {
        add(0, "script", "sick", "engine", "engine-3");
        add(7_000, "host", "verdict-begins", "gateway", "gateway-0000", "engine", "engine-3");
        assertEquals(0, audit().verdicts().falsePositives());
        assertEquals(List.of(7L), audit().verdicts().delaysMs());

        add(8_000, "host", "verdict-begins", "gateway", "gateway-0000", "engine", "engine-4");
        assertEquals(1, audit().verdicts().falsePositives());
    }

    @Test
    void measuresLeaseDelaysAfterKillRestartAndReconnect() {
        for (int i = 0; i < SIZE.gateways(); i++) {
            add(0, "host", "gateway-started", "gateway", "gateway-000" + i, "start", 1);
        }
        add(1, "script", "ready");
        add(10_000, "script", "killed", "gateway", "control-0");
        add(11_000, "host", "lease-ends", "gateway", "gateway-0002");
        add(14_000, "host", "lease-renewed", "gateway", "gateway-0000");
        add(20_000, "host", "crashed", "gateway", "gateway-0000", "start", 1);
        add(26_000, "host", "lease-begins", "gateway", "gateway-0000");
        add(30_000, "script", "zone-cut", "zone", SIZE.zone(1));
        add(40_000, "script", "zone-back", "zone", SIZE.zone(1));
        add(49_000, "host", "lease-begins", "gateway", "gateway-0001");
        ScaleAudit audit = audit();
        assertEquals(List.of(4L), audit.leases().newLeaderDurationsMs(audit.connectedGateways()));
        assertEquals(List.of(6L), audit.leases().restartDurationsMs());
        assertEquals(List.of(9L), audit.leases().reconnectDurationsMs(audit.disconnectedGateways()));
        assertEquals(1, audit.unaffectedGatewaysWithoutLease());
    }

    @Test
    void excludesRestartedGatewaysFromRates() {
        sample(0, "begin", "gateway-0000", 1, 0);
        sample(0, "begin", "gateway-0001", 1, 0);
        sample(2_000_000, "end", "gateway-0000", 1, 3_000);
        sample(2_000_000, "end", "gateway-0001", 2, 100);
        assertEquals(1, audit().gateways().size());
        assertEquals(1_500, audit().gateways().get(0).bytesIn());
    }

    private void sample(long us, String label, String gateway, long start, long bytesIn) {
        add(
                us,
                "host",
                "sample",
                "label",
                label,
                "gateway",
                gateway,
                "start",
                start,
                "cpu_ns",
                0,
                "bytes_in",
                bytesIn,
                "bytes_out",
                0,
                "messages_in",
                0,
                "messages_out",
                0);
    }
}
