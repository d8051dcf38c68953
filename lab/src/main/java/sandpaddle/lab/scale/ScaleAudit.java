package sandpaddle.lab.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import sandpaddle.lab.FleetAudit;

/**
 * Evaluates a scale run from the events that its simulation hosts and its script recorded. It shares no code with the
 * gateways.
 */
final class ScaleAudit {
    /** Total memory of the processes of simulated gateways after a garbage collection. */
    record HostMemory(double heapMb, double directMb, long gateways) {}

    private final ConcurrencyCounter running = new ConcurrencyCounter();
    private final VersionPropagation versions = new VersionPropagation();
    private final LeaseTimeline leases = new LeaseTimeline();
    private final VerdictDetection verdicts = new VerdictDetection();
    private final GatewaySamples samples = new GatewaySamples();
    private final Map<String, Long> starts = new HashMap<>(); // latest start number by gateway
    private final Set<String> restarted = new TreeSet<>();
    private final ScalePlan.Size size;
    private HostMemory memory = new HostMemory(0, 0, 0);
    private String disconnectedZone = "";
    private long joinedMs = -1;

    private ScaleAudit(ScalePlan.Size size) {
        this.size = size;
    }

    /** Evaluates the events of these files. */
    static ScaleAudit of(ScalePlan.Size size, List<Path> files) throws IOException {
        List<Map<String, String>> all = new ArrayList<>();
        for (Path file : files) {
            all.addAll(FleetAudit.read(file));
        }
        return ofEvents(size, all);
    }

    /** Evaluates these events, given in any order. */
    static ScaleAudit ofEvents(ScalePlan.Size size, List<Map<String, String>> events) {
        List<Map<String, String>> all = new ArrayList<>(events);
        // ends sort before starts in the same microsecond, since these attempts did not overlap
        all.sort(Comparator.<Map<String, String>>comparingLong(event -> Long.parseLong(event.get("us")))
                .thenComparing(event -> !"end".equals(event.get("kind"))));
        ScaleAudit audit = new ScaleAudit(size);
        all.forEach(audit::process);
        return audit;
    }

    private void process(Map<String, String> event) {
        long us = Long.parseLong(event.get("us"));
        if ("script".equals(event.get("party"))) {
            scriptEvent(event, us);
        } else if ("host".equals(event.get("party"))) {
            hostEvent(event, us);
        }
    }

    private void hostEvent(Map<String, String> event, long us) {
        String gateway = event.get("gateway");
        switch (event.get("kind")) {
            case "begin" -> running.attemptStarted(event.get("attempt"), event.get("tenant"));
            case "end" -> running.attemptEnded(event.get("attempt"));
            case "gave-up" -> running.quotaWaitTimedOut();
            case "proposed" -> versions.proposed(Long.parseLong(event.get("version")), us);
            case "rules" ->
                versions.versionApplied(
                        gateway, Long.parseLong(event.get("start")), Long.parseLong(event.get("version")), us);
            case "verdict-begins" -> verdicts.verdictStarted(gateway, event.get("engine"), us);
            case "gateway-started" -> starts.put(gateway, Long.parseLong(event.get("start")));
            case "crashed" -> {
                restarted.add(gateway);
                leases.crashed(gateway, us);
            }
            case "lease-begins", "lease-renewed" -> leases.renewed(gateway, us);
            case "lease-ends" -> leases.leaseExpired(gateway);
            case "memory" ->
                memory = new HostMemory(
                        memory.heapMb + Double.parseDouble(event.get("heap_mb")),
                        memory.directMb + Double.parseDouble(event.get("direct_mb")),
                        memory.gateways + Long.parseLong(event.get("gateways")));
            case "sample" -> {
                if ("begin".equals(event.get("label"))) {
                    samples.begin(event);
                } else {
                    samples.end(event);
                }
            }
            default -> {} // not evaluated
        }
    }

    private void scriptEvent(Map<String, String> event, long us) {
        switch (event.get("kind")) {
            case "limit" -> running.limit(event.get("limit"), Long.parseLong(event.get("running")));
            case "joined" -> joinedMs = Long.parseLong(event.get("ms"));
            case "ready" -> leases.allGatewaysLeased();
            case "killed" -> leases.leaderKilled(us);
            case "zone-cut" -> disconnectedZone = event.get("zone");
            case "zone-back" -> leases.zoneReconnected(us);
            case "sick" -> verdicts.engineFailed(event.get("engine"), us);
            case "well" -> verdicts.engineRecovered(us);
            default -> {} // not evaluated
        }
    }

    /** Whether a gateway is in the zone that was partitioned at any time of the run. */
    boolean isDisconnected(String gateway) {
        return disconnectedZone.equals(size.zone(Integer.parseInt(gateway.substring(gateway.lastIndexOf('-') + 1))));
    }

    /** The gateways that were connected to the control machines all the time, sorted by name. */
    List<String> connectedGateways() {
        return starts.keySet().stream()
                .filter(gateway -> !isDisconnected(gateway))
                .sorted()
                .toList();
    }

    /** The gateways of the zone that was partitioned, sorted by name. */
    List<String> disconnectedGateways() {
        return starts.keySet().stream().filter(this::isDisconnected).sorted().toList();
    }

    /** The number of gateways that lost their lease although no fault was injected at them. */
    long unaffectedGatewaysWithoutLease() {
        return leases.lostLeases(gateway -> !isDisconnected(gateway) && !restarted.contains(gateway));
    }

    /** The number of versions that had been applied and are lost at the end. */
    long lostVersions() {
        return versions.lostVersions(starts);
    }

    ConcurrencyCounter running() {
        return running;
    }

    VersionPropagation versions() {
        return versions;
    }

    LeaseTimeline leases() {
        return leases;
    }

    VerdictDetection verdicts() {
        return verdicts;
    }

    List<GatewaySamples.Rates> gateways() {
        return samples.rates();
    }

    HostMemory memory() {
        return memory;
    }

    /** Milliseconds from the start of the simulated gateways until all held a lease; -1 if not recorded. */
    long joinedMs() {
        return joinedMs;
    }
}
