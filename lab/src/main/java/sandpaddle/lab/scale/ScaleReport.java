package sandpaddle.lab.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/** Builds the results of a scale run, in the order of the JSON file. A value that was not measured is null. */
final class ScaleReport {
    private static final String MECHANISM = "star";
    private static final double MEDIAN = 0.5;
    private static final double P99 = 0.99;

    private final ScalePlan plan;
    private final ScaleRun.Samples samples;
    private final ScaleAudit audit;

    ScaleReport(ScalePlan plan, ScaleRun.Samples samples, ScaleAudit audit) {
        this.plan = plan;
        this.samples = samples;
        this.audit = audit;
    }

    Map<String, Object> results(String version) {
        Map<String, Object> results = new LinkedHashMap<>();
        results.put("version", version);
        results.put("mechanism", MECHANISM);
        addParameters(results);
        addMaxima(results);
        addDurations(results);
        addCounts(results);
        results.put("partial", ProgramLimits.partialCoverage(plan.size()));
        results.put("roles", roles());
        return results;
    }

    private void addParameters(Map<String, Object> results) {
        ScalePlan.Size size = plan.size();
        results.put("gateways", size.gateways());
        results.put("engines", size.engines());
        results.put("controlMachines", size.controlMachines());
        results.put("limits", size.limits());
        results.put("changesPerSecond", plan.changesPerSecond());
        results.put("zones", size.zones());
        results.put("regions", size.regions());
        results.put("fault", plan.fault().label());
        results.put("seed", plan.seed());
        results.put("seconds", round(samples.seconds()));
        results.put("warmUpSeconds", plan.warmUp().toMillis() / 1000.0);
        results.put("cores", Runtime.getRuntime().availableProcessors());
        results.put("busyCores", round(samples.busyCores()));
    }

    /** The largest values over all gateways and over all control machines. */
    private void addMaxima(Map<String, Object> results) {
        List<GatewaySamples.Rates> gateways = audit.gateways();
        results.put("gatewayBytesPerSecond", maximum(gateways, GatewaySamples.Rates::bytes));
        results.put("gatewayCpuCores", maximum(cpuOf(gateways), Double::doubleValue));
        results.put(
                "gatewayMemoryMb",
                audit.memory().gateways() == 0
                        ? null
                        : round((audit.memory().heapMb() + audit.memory().directMb())
                                / audit.memory().gateways()));
        List<ProcessSample.Rates> control = List.copyOf(samples.control().values());
        results.put("machineBytesPerSecond", maximum(control, r -> r.bytesInPerSecond() + r.bytesOutPerSecond()));
        results.put("machineCpuCores", maximum(control, ProcessSample.Rates::cpuCores));
        results.put("machineMemoryMb", maximum(control, ProcessSample.Rates::residentMb));
    }

    private void addDurations(Map<String, Object> results) {
        List<String> connected = audit.connectedGateways();
        addQuantiles(results, "config", audit.versions().delaysMs(connected));
        results.put("configNotHeard", audit.versions().notReceived(connected));
        List<Long> leader = audit.leases().newLeaderDurationsMs(connected);
        addQuantiles(results, "leader", leader);
        results.put("leaderNotHeard", plan.fault() == Fault.CONTROL_MACHINE ? connected.size() - leader.size() : null);
        results.put("successorLastMs", null);
        addQuantiles(results, "return", audit.leases().reconnectDurationsMs(audit.disconnectedGateways()));
        addQuantiles(results, "restart", audit.leases().restartDurationsMs());
        addQuantiles(results, "verdict", audit.verdicts().delaysMs());
        results.put("joinLastMs", audit.joinedMs() < 0 ? null : audit.joinedMs());
    }

    private void addCounts(Map<String, Object> results) {
        results.put("attempts", audit.running().startedAttempts());
        results.put("withoutRight", audit.running().quotaWaitTimeouts());
        results.put("limitOverMost", audit.running().maxExcess());
        results.put("limitOverBound", 0L);
        results.put("agreedLost", audit.lostVersions());
        results.put("olderVersions", audit.versions().regressions());
        results.put("wrongVerdicts", audit.verdicts().falsePositives());
        results.put("bystandersWithoutLease", audit.unaffectedGatewaysWithoutLease());
        results.put("notRestarted", audit.leases().notRestarted());
    }

    private List<Map<String, Object>> roles() {
        List<Map<String, Object>> roles = new ArrayList<>();
        roles.add(gatewayRole());
        List<String> leader = samples.leader()
                .filter(samples.control()::containsKey)
                .map(List::of)
                .orElse(List.of());
        List<String> voters = samples.control().keySet().stream()
                .filter(n -> !leader.contains(n))
                .toList();
        roles.add(controlRole("leader", leader));
        roles.add(controlRole("voter", voters));
        Map<String, Object> host = processRole("hollow-host", samples.hosts());
        host.put(
                "heapMb",
                samples.hosts().isEmpty()
                        ? null
                        : round(audit.memory().heapMb() / samples.hosts().size()));
        host.put(
                "directMb",
                samples.hosts().isEmpty()
                        ? null
                        : round(audit.memory().directMb() / samples.hosts().size()));
        roles.add(complete(host));
        return roles;
    }

    /** CPU use of the gateways whose hosts are sampled. */
    private static List<Double> cpuOf(List<GatewaySamples.Rates> gateways) {
        return gateways.stream()
                .flatMapToDouble(r -> r.cpuCores().stream())
                .boxed()
                .toList();
    }

    /** The mean over all gateways that did not restart during the measurement. */
    private Map<String, Object> gatewayRole() {
        List<GatewaySamples.Rates> all = audit.gateways();
        Map<String, Object> role = new LinkedHashMap<>();
        role.put("role", "gateway");
        role.put("count", all.size());
        role.put("bytesInPerSecond", mean(all, GatewaySamples.Rates::bytesIn));
        role.put("bytesOutPerSecond", mean(all, GatewaySamples.Rates::bytesOut));
        role.put("messagesInPerSecond", mean(all, GatewaySamples.Rates::messagesIn));
        role.put("messagesOutPerSecond", mean(all, GatewaySamples.Rates::messagesOut));
        role.put("cpuCores", mean(cpuOf(all), Double::doubleValue));
        role.put("cpuCount", cpuOf(all).size());
        role.put(
                "heapMb",
                audit.memory().gateways() == 0
                        ? null
                        : round(audit.memory().heapMb() / audit.memory().gateways()));
        role.put(
                "directMb",
                audit.memory().gateways() == 0
                        ? null
                        : round(audit.memory().directMb() / audit.memory().gateways()));
        return complete(role);
    }

    private Map<String, Object> controlRole(String name, List<String> names) {
        Map<String, Object> role =
                processRole(name, names.stream().map(samples.control()::get).toList());
        OptionalDouble heap = names.stream()
                .filter(samples.controlHeapMb()::containsKey)
                .mapToDouble(samples.controlHeapMb()::get)
                .average();
        role.put("heapMb", heap.isPresent() ? round(heap.getAsDouble()) : null);
        role.put("messagesFromGatewaysPerSecond", messagesFromGateways());
        return complete(role);
    }

    /**
     * Messages per second from gateways to each control machine on average; gateways have links to control machines
     * only. Null if a gateway was not sampled.
     */
    private Double messagesFromGateways() {
        List<GatewaySamples.Rates> all = audit.gateways();
        return all.size() < plan.size().gateways()
                ? null
                : round(all.stream()
                                .mapToDouble(GatewaySamples.Rates::messagesOut)
                                .sum()
                        / plan.size().controlMachines());
    }

    /** The mean over the processes of a role. */
    private static Map<String, Object> processRole(String name, List<ProcessSample.Rates> all) {
        Map<String, Object> role = new LinkedHashMap<>();
        role.put("role", name);
        role.put("count", all.size());
        role.put("bytesInPerSecond", mean(all, ProcessSample.Rates::bytesInPerSecond));
        role.put("bytesOutPerSecond", mean(all, ProcessSample.Rates::bytesOutPerSecond));
        role.put("cpuCores", mean(all, ProcessSample.Rates::cpuCores));
        Map<String, Object> threads = new TreeMap<>();
        all.stream()
                .flatMap(p -> p.cpuByThread().keySet().stream())
                .distinct()
                .forEach(thread ->
                        threads.put(thread, mean(all, p -> p.cpuByThread().getOrDefault(thread, 0.0))));
        role.put("cpuByThread", threads);
        role.put("residentMb", mean(all, ProcessSample.Rates::residentMb));
        role.put("descriptors", mean(all, ProcessSample.Rates::descriptors));
        role.put("diskBytesPerSecond", mean(all, ProcessSample.Rates::diskBytesPerSecond));
        return role;
    }

    /** Adds the missing fields of a role as null, so that every role has all fields. */
    private static Map<String, Object> complete(Map<String, Object> role) {
        for (String name : List.of(
                "bytesInPerSecond",
                "bytesOutPerSecond",
                "messagesInPerSecond",
                "messagesOutPerSecond",
                "cpuCores",
                "cpuByThread",
                "heapMb",
                "directMb",
                "descriptors",
                "diskBytesPerSecond",
                "snapshotBytes",
                "snapshotMs",
                "agreementMsMedian",
                "agreementMsP99")) {
            role.putIfAbsent(name, null);
        }
        return role;
    }

    private static void addQuantiles(Map<String, Object> results, String name, List<Long> values) {
        List<Long> sorted = values.stream().sorted().toList();
        results.put(name + "MedianMs", quantile(sorted, MEDIAN));
        results.put(name + "P99Ms", quantile(sorted, P99));
        results.put(name + "LastMs", quantile(sorted, 1));
    }

    private static Long quantile(List<Long> sorted, double fraction) {
        return sorted.isEmpty()
                ? null
                : sorted.get((int) Math.min(sorted.size() - 1L, (long) Math.floor(fraction * sorted.size())));
    }

    private static <T> Double maximum(List<T> all, ToDoubleFunction<T> value) {
        return all.isEmpty()
                ? null
                : round(all.stream().mapToDouble(value).max().orElseThrow());
    }

    private static <T> Double mean(List<T> all, ToDoubleFunction<T> value) {
        return all.isEmpty()
                ? null
                : round(all.stream().mapToDouble(value).average().orElseThrow());
    }

    /** Rounds to four decimal places. */
    private static double round(double value) {
        return Math.round(value * 1e4) / 1e4;
    }
}
