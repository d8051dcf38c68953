package sandpaddle.lab.capacity;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import sandpaddle.lab.capacity.Budget.Section;
import sandpaddle.lab.capacity.Budget.SizeLine;

/** The budget of each measured value, and the mechanism that the value depends on. */
final class Budgets {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MAX_SNAPSHOT_BYTES = 16 << 20;
    private static final String LINKS =
            "one link of each gateway to each voter: fleet.node.FleetTopology, fleet.link.tcp";
    private static final String HEARTBEATS =
            "a beat of each gateway to each voter: fleet.node.PeriodicTasks, fleet.limit.wire.Heartbeat";
    private static final String EVIDENCE =
            "each voter hands the evidence of all to each gateway: fleet.verdict.evidence; beats and grants";
    private static final String GRANTS =
            "one leader that grants all: fleet.node.lead.FleetLeader, fleet.limit.allocator.LimitAllocator";
    private static final String LOG = "one replicated log: fleet.state.raft, fleet.store.mv";
    private static final String TEXT = "the whole configuration as one text: fleet.node.agree.FleetConfig";
    private static final Map<String, Budget> PATH_BUDGETS = pathBudgets();

    private Budgets() {}

    /** The budget of a series; empty if the page does not show the series. */
    static Optional<Budget> of(SeriesName series) {
        if (series.mechanism().equals(Measurements.PATH)) {
            return Optional.ofNullable(PATH_BUDGETS.get(series.measure()));
        }
        return switch (series.role()) {
            case Measurements.WORST_GATEWAY -> worstGateway(series);
            case Measurements.WORST_MACHINE -> worstMachine(series);
            case Measurements.FLEET -> duration(series);
            case "gateway" ->
                Optional.of(budget(Section.CONTROL_PART, series, OptionalDouble.empty(), SizeLine.NONE, HEARTBEATS));
            default -> Optional.of(controlMachine(series));
        };
    }

    private static Map<String, Budget> pathBudgets() {
        Map<String, Budget> all = new LinkedHashMap<>();
        all.put(
                "choice-cpu",
                new Budget(
                        Section.GATEWAY,
                        "choices of an engine, at the planned statements a second",
                        "cores",
                        PlannedFleet.STATEMENTS_PER_GATEWAY / MICROS_PER_SECOND,
                        OptionalDouble.of(PlannedFleet.GATEWAY_CORES),
                        SizeLine.STATEMENTS,
                        "decision.DefaultDecisionModule looks at every engine for each statement, on the one thread"));
        all.put(
                "active-cpu",
                gateway(
                        "whole request path before a few engines",
                        "cores",
                        PlannedFleet.GATEWAY_CORES,
                        SizeLine.STATEMENTS,
                        "one thread serves all: eventloop.EventLoop, dispatch.Dispatcher"));
        all.put(
                "resting-heap",
                client(
                        "heap with all connections resting",
                        "MB",
                        PlannedFleet.GATEWAY_HEAP_MB,
                        "mysql.Session and eventloop.Connection for each client"));
        all.put(
                "resting-resident",
                client(
                        "resident memory with all connections resting",
                        "MB",
                        PlannedFleet.GATEWAY_MB,
                        "mysql.Session and eventloop.Connection for each client"));
        all.put(
                "resting-cpu",
                client(
                        "CPU with all connections resting",
                        "cores",
                        PlannedFleet.GATEWAY_CORES,
                        "one selector: eventloop.EventLoop"));
        all.put(
                "resting-descriptors",
                client(
                        "descriptors with all connections resting",
                        "count",
                        PlannedFleet.GATEWAY_DESCRIPTORS,
                        "a socket for each client; app.Server gives clients a third of " + "limits.sockets"));
        all.put(
                "open-heap",
                client(
                        "heap with a statement open on each connection",
                        "MB",
                        PlannedFleet.GATEWAY_HEAP_MB,
                        "dispatch.ActiveRequest and engineclient.Attempt for each statement"));
        all.put(
                "open-resident",
                client(
                        "resident memory with a statement open on each connection",
                        "MB",
                        PlannedFleet.GATEWAY_MB,
                        "dispatch.ActiveRequest and engineclient.Attempt for each statement"));
        all.put(
                "open-cpu",
                client(
                        "CPU with a statement open on each connection",
                        "cores",
                        PlannedFleet.GATEWAY_CORES,
                        "a poll of each attempt every quarter of a second: http.Attempt"));
        all.put("start-time", feed("time from start to listening", "ms", "config.GatewayConfig reads the known list"));
        all.put("start-cpu", feed("CPU from start to listening", "ms", "config.GatewayConfig reads the known list"));
        all.put(
                "first-list-time",
                feed(
                        "time from start to the first served statement, list from the feed",
                        "ms",
                        "one line for the whole list: discovery.LineDecoder"));
        all.put(
                "list-heap",
                feed(
                        "heap with the list",
                        "MB",
                        "decision.model.EngineState and engineclient.EnginePool for each engine"));
        all.put(
                "probe-rate",
                engines(
                        "probes of one gateway",
                        "per second",
                        "decision.healthcheck.HealthCheckScheduler: the stalest engine"));
        all.put(
                "engine-connections",
                engines("connections of one gateway to engines", "count", "a pool for each engine: http.EnginePool"));
        return all;
    }

    private static Budget gateway(String label, String unit, double maximum, SizeLine line, String mechanism) {
        return new Budget(Section.GATEWAY, label, unit, 1, OptionalDouble.of(maximum), line, mechanism);
    }

    private static Budget client(String label, String unit, double maximum, String mechanism) {
        return new Budget(Section.CLIENT, label, unit, 1, OptionalDouble.of(maximum), SizeLine.CONNECTIONS, mechanism);
    }

    private static Budget feed(String label, String unit, String mechanism) {
        return new Budget(Section.FEED, label, unit, 1, OptionalDouble.empty(), SizeLine.ENGINES, mechanism);
    }

    private static Budget engines(String label, String unit, String mechanism) {
        return new Budget(Section.GATEWAY, label, unit, 1, OptionalDouble.empty(), SizeLine.ENGINES, mechanism);
    }

    private static Budget budget(
            Section section, SeriesName series, OptionalDouble maximum, SizeLine line, String mechanism) {
        return new Budget(
                section,
                series.role() + ": " + series.measure(),
                Measurements.unit(series.measure()),
                1,
                maximum,
                line,
                mechanism);
    }

    private static Optional<Budget> worstGateway(SeriesName series) {
        return switch (series.measure()) {
            case "gatewayBytesPerSecond" ->
                Optional.of(budget(
                        Section.CONTROL_PART,
                        series,
                        OptionalDouble.of(PlannedFleet.CONTROL_BYTES_PER_SECOND),
                        SizeLine.CONTROL,
                        EVIDENCE));
            case "gatewayCpuCores" ->
                Optional.of(budget(
                        Section.CONTROL_PART,
                        series,
                        OptionalDouble.of(PlannedFleet.CONTROL_CORES),
                        SizeLine.CONTROL,
                        HEARTBEATS));
            case "gatewayMemoryMb" ->
                Optional.of(budget(
                        Section.CONTROL_PART,
                        series,
                        OptionalDouble.of(PlannedFleet.CONTROL_MB),
                        SizeLine.CONTROL,
                        HEARTBEATS));
            default -> Optional.empty();
        };
    }

    /**
     * Budgets of a control machine: the network budget is that of all gateways it serves together; the memory budget is
     * that of one gateway, because a voter currently runs in a gateway process.
     */
    private static Optional<Budget> worstMachine(SeriesName series) {
        return switch (series.measure()) {
            case "machineBytesPerSecond" ->
                Optional.of(budget(
                        Section.CONTROL_MACHINE,
                        series,
                        OptionalDouble.of(
                                PlannedFleet.CONTROL_BYTES_PER_SECOND * PlannedFleet.GATEWAYS_PER_CONTROL_MACHINE),
                        SizeLine.GATEWAYS,
                        EVIDENCE));
            case "machineMemoryMb" ->
                Optional.of(budget(
                        Section.CONTROL_MACHINE,
                        series,
                        OptionalDouble.of(PlannedFleet.GATEWAY_MB),
                        SizeLine.GATEWAYS,
                        GRANTS));
            default ->
                Optional.of(
                        budget(Section.CONTROL_MACHINE, series, OptionalDouble.empty(), SizeLine.GATEWAYS, HEARTBEATS));
        };
    }

    private static Optional<Budget> duration(SeriesName series) {
        return switch (series.measure()) {
            case "configLastMs" ->
                Optional.of(budget(
                        Section.TIMES,
                        series,
                        OptionalDouble.of(PlannedFleet.CONFIGURATION_MS),
                        SizeLine.CONFIGURATION,
                        TEXT));
            case "leaderLastMs", "successorLastMs" ->
                Optional.of(budget(
                        Section.TIMES, series, OptionalDouble.of(PlannedFleet.PRIMARY_MS), SizeLine.PRIMARY, GRANTS));
            default -> Optional.of(budget(Section.TIMES, series, OptionalDouble.empty(), SizeLine.NONE, HEARTBEATS));
        };
    }

    /** Budgets of a control machine by measure. A thread cannot use more than one core, on any machine. */
    private static Budget controlMachine(SeriesName series) {
        String measure = series.measure();
        if (measure.startsWith("cpuByThread")) {
            String mechanism = measure.contains("link") ? LINKS : measure.contains("raft") ? LOG : GRANTS;
            return budget(Section.CONTROL_MACHINE, series, OptionalDouble.of(1), SizeLine.GATEWAYS, mechanism);
        }
        return switch (measure) {
            case "descriptors" ->
                budget(
                        Section.CONTROL_MACHINE,
                        series,
                        OptionalDouble.of(PlannedFleet.GATEWAY_DESCRIPTORS),
                        SizeLine.GATEWAYS,
                        LINKS);
            case "snapshotBytes" ->
                budget(Section.DISK, series, OptionalDouble.of(MAX_SNAPSHOT_BYTES), SizeLine.GATEWAYS, LOG);
            case "diskBytesPerSecond", "snapshotMs" ->
                budget(Section.DISK, series, OptionalDouble.empty(), SizeLine.NONE, LOG);
            case "agreementMsMedian", "agreementMsP99" ->
                budget(Section.DISK, series, OptionalDouble.empty(), SizeLine.NONE, LOG);
            default -> budget(Section.CONTROL_MACHINE, series, OptionalDouble.empty(), SizeLine.NONE, HEARTBEATS);
        };
    }
}
