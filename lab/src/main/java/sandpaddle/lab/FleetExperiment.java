package sandpaddle.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.eventloop.MonotonicTimeSource;

/**
 * Runs a fleet of real gateways with a fault-injecting proxy on every link, between stand-in engines and a load
 * generator, on loopback and in real time. It only runs the schedule: the figures are computed from the events by
 * {@link FleetAudit}.
 */
final class FleetExperiment {
    private static final Duration FINAL_REQUEST_TIMEOUT = Duration.ofSeconds(28);
    private static final double MAX_UTILIZATION = 0.85;
    private static final int FOUNDERS = 3;
    // after all gateways have served a query, for leases and leaders to settle
    private static final Duration SETTLING_TIME = Duration.ofMillis(1500);
    private static final double DASHBOARD_QUERIES_PER_S = 12;
    private static final double OTHER_ZONES_LOAD_SHARE = 0.5; // load of the other zones, relative to other scenarios

    final FleetPlan plan;
    final Events events;
    final EventLoop loop;
    final SplittableRandom random;
    final ProxyNetwork proxies;
    final FleetFiles files;
    final Map<String, GatewayInstance> gateways = new LinkedHashMap<>();
    final List<StandInEngine> engines = new ArrayList<>();
    final LoadGenerator loadGenerator;
    OutagePlan outage; // null if the scenario has no outage
    private final FleetWorkload workload;
    private final ClientStatistics statistics = new ClientStatistics();
    private final EngineModel.Spec spec = EngineModel.Spec.standard();
    private final Map<String, String> zoneOfEngine = new LinkedHashMap<>();
    private boolean generating = true;
    private int gatewayCount;
    private Exception failure;
    private long endUs;

    FleetExperiment(FleetPlan plan, Events events) throws IOException {
        this.plan = plan;
        this.events = events;
        loop = new EventLoop(MonotonicTimeSource.startingAt(Instant.now()));
        random = new SplittableRandom(plan.seed());
        proxies = new ProxyNetwork(loop, events, random.split());
        files = new FleetFiles(
                plan.folder(),
                plan.sharing(),
                plan.scenario() == FleetPlan.Scenario.UNEVEN
                        ? FleetLimit.tight(plan.engines())
                        : FleetLimit.standard(plan.engines()));
        loadGenerator =
                new LoadGenerator(loop, events, statistics, random.split(), LoadGenerator.ClientBehavior.draw(random));
        workload = new FleetWorkload(loop, loadGenerator, random.split());
    }

    long nowUs() {
        return ChronoUnit.MICROS.between(Instant.EPOCH, loop.now());
    }

    void recordEvent(String kind, Object... fields) {
        events.add(nowUs(), "script", kind, fields);
    }

    /** Runs the scenario to its end. */
    void run() throws IOException {
        Thread shutdownHook = new Thread(() -> gateways.values().forEach(GatewayInstance::killIfRunning));
        Runtime.getRuntime().addShutdownHook(shutdownHook); // an interrupted run leaves no gateway process behind
        try {
            for (int i = 0; i < plan.engines(); i++) {
                StandInEngine e = new StandInEngine(loop, events, statistics, "s-" + i, 0, spec, 0, () -> {});
                engines.add(e);
                zoneOfEngine.put(
                        e.id(), LabDeployment.ZONES.get(i % (LabDeployment.ZONES.size() - (isOutage() ? 1 : 0))));
            }
            for (int i = 0; i < plan.gateways(); i++) {
                addGateway();
            }
            if (plan.scenario() == FleetPlan.Scenario.POOL) {
                files.pool(FaultSchedule.POOL_CONNECTIONS, 1);
            }
            formatDirectories();
            for (GatewayInstance gateway : gateways.values()) {
                start(gateway);
            }
            for (GatewayInstance gateway : gateways.values()) {
                gateway.process.awaitUp();
                registerWithLoadBalancer(gateway);
            }
            recordLimits(0);
            if (plan.scenario() == FleetPlan.Scenario.POOL) {
                recordEvent("pool", "each", FaultSchedule.POOL_CONNECTIONS, "holds", nowUs());
            }
            ReadinessProbe ready = new ReadinessProbe(
                    loop, random.split(), () -> loop.scheduleAfter(SETTLING_TIME, () -> runStep(this::startScenario)));
            gateways.values().forEach(gateway -> ready.addGateway(gateway.name(), gateway.process.address()));
            endUs = Long.MAX_VALUE;
            while (generating
                    || loadGenerator.open() > 0 && nowUs() < endUs + FINAL_REQUEST_TIMEOUT.toMillis() * 1000) {
                ready.check();
                if (failure != null) {
                    throw new IOException("a step of the fault schedule failed: " + failure.getMessage(), failure);
                }
                loop.runTurn(() -> {}, Duration.ofMillis(20));
            }
            for (GatewayInstance gateway : gateways.values()) {
                if (gateway.process != null && !gateway.process.isAlive()) {
                    throw new IOException("gateway " + gateway.name() + " exited during the run; see its log");
                }
            }
        } finally {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
            gateways.values().stream()
                    .filter(gateway -> gateway.process != null)
                    .forEach(gateway -> gateway.process.end());
            engines.forEach(e -> e.kill("stopped"));
            gateways.values().forEach(gateway -> gateway.feed.close());
            proxies.close();
        }
        FleetLogs.gather(plan.folder(), gateways.keySet(), events);
    }

    private boolean isOutage() {
        return plan.scenario() == FleetPlan.Scenario.OUTAGE;
    }

    private void formatDirectories() throws IOException {
        long from = System.nanoTime();
        for (GatewayInstance gateway : List.copyOf(gateways.values())) {
            Path operator = writeOperatorFile(gateway);
            if (plan.sharing() && gateway.index < FOUNDERS) {
                FleetProcess.format(plan.jar(), operator, gateway.name());
            }
        }
        if (isOutage()) {
            outage = OutagePlan.schedule(Instant.now(), Duration.ofNanos(System.nanoTime() - from), plan.brief());
            files.scheduleOutage(outage);
            loadGenerator.loadBalancer().isolateZone(OutagePlan.ZONE_INDEX);
        }
    }

    /** Runs a step of the schedule; a failure ends the run. */
    void runStep(FaultSchedule.Step step) {
        try {
            step.run();
        } catch (IOException | RuntimeException e) {
            failure = failure == null ? e : failure;
        }
    }

    /** Adds a gateway to the fleet's files. */
    GatewayInstance addGateway() throws IOException {
        int i = gatewayCount++;
        FleetFiles.Member member = new FleetFiles.Member(
                "n" + i, LabDeployment.ZONES.get(i % LabDeployment.ZONES.size()), GatewayProcess.freePort());
        StandInFeed feed = new StandInFeed(loop, events, statistics);
        GatewayInstance gateway = new GatewayInstance(member, i, GatewayProcess.freePort(), feed);
        gateways.put(gateway.name(), gateway);
        files.addMember(member);
        for (StandInEngine e : engines) {
            feed.publish(
                    nowUs(),
                    e.id(),
                    proxies.link(gateway.name(), e.id(), e.address(), false),
                    zoneOfEngine.get(e.id()),
                    "Ready",
                    0);
        }
        return gateway;
    }

    /** Makes a gateway reachable for clients. */
    void registerWithLoadBalancer(GatewayInstance gateway) {
        loadGenerator
                .loadBalancer()
                .addGateway(gateway.name(), gateway.process.address(), gateway.index % LabDeployment.ZONES.size());
    }

    Path writeOperatorFile(GatewayInstance gateway) throws IOException {
        Map<String, InetSocketAddress> routes = new LinkedHashMap<>();
        for (GatewayInstance peer : gateways.values()) {
            if (peer != gateway) {
                routes.put(
                        peer.name(), proxies.link(gateway.name(), peer.name(), Loopback.at(peer.member.port()), true));
            }
        }
        return files.writeOperatorFile(gateway.member, FOUNDERS, routes);
    }

    void start(GatewayInstance gateway) throws IOException {
        InetSocketAddress feed = proxies.link(gateway.name(), "feed", gateway.feed.address(), false);
        Path config = files.writeConfiguration(
                gateway.member,
                gateway.index,
                plan.gateways(),
                gateway.port,
                feed,
                gateway.feed.snapshotJson(),
                plan.seed() * 31 + gateway.index + 1000L * gateway.startCount++,
                spec);
        gateway.process = FleetProcess.start(
                plan.jar(), plan.folder(), gateway.name(), gateway.port, config, writeOperatorFile(gateway));
        recordEvent("gateway-started", "gateway", gateway.name());
    }

    void kill(GatewayInstance gateway) {
        gateway.process.kill();
        gateway.process = null;
        recordEvent("killed", "gateway", gateway.name());
    }

    /** Rewrites the operator's files and makes all gateways reload them. */
    void rewriteFiles() throws IOException {
        for (GatewayInstance gateway : gateways.values()) {
            writeOperatorFile(gateway);
        }
        for (GatewayInstance gateway : gateways.values()) {
            if (gateway.process != null) {
                gateway.process.reloadConfiguration();
            }
        }
    }

    /**
     * Records the current limits in the events.
     *
     * @param afterUs delay until the limits are in effect at every gateway
     */
    void recordLimits(long afterUs) {
        for (FleetLimit limit : files.limits()) {
            events.add(
                    nowUs(),
                    "script",
                    "limit",
                    "limit",
                    limit.name(),
                    "class",
                    limit.requestClass(),
                    "engine",
                    limit.engine(),
                    "running",
                    (long) limit.running(),
                    "per_s",
                    limit.perSecond(),
                    "burst",
                    (long) limit.burst(),
                    "holds",
                    nowUs() + afterUs,
                    "gateways",
                    (long) gateways.size());
        }
    }

    /** Records CPU time and link traffic of the gateways so far. */
    private void recordResourceUsage() {
        recordEvent("traffic", "bytes", proxies.frameBytes());
        gateways.values().stream()
                .filter(gateway -> gateway.process != null)
                .forEach(gateway -> recordEvent("cpu", "gateway", gateway.name(), "ms", gateway.process.cpuMs()));
    }

    private void startScenario() throws IOException {
        recordEvent("begin");
        double perSecond =
                plan.load() * plan.engines() * spec.cores() * MAX_UTILIZATION * 1e6 / LabDeployment.meanCpu();
        Duration scenarioDuration = new FaultSchedule(this).schedule();
        if (outage == null) {
            workload.startNewStatements(perSecond, LabDeployment.ZONES.size());
        } else {
            for (LabDeployment.RequestClass k : LabDeployment.REQUEST_CLASSES) {
                recordEvent("ages", "class", k.name(), "age", k.repeatable() ? outage.maxAgeMs(k.name()) : 0);
            }
            recordEvent(
                    "store",
                    "bytes",
                    OutagePlan.MEMORY_BYTES,
                    "fill",
                    outage.fill().toMillis() * OutagePlan.FILL_WORK_MS_PER_S);
            workload.startNewStatements(perSecond * OTHER_ZONES_LOAD_SHARE, OutagePlan.ZONE_INDEX);
            workload.startDashboards(DASHBOARD_QUERIES_PER_S, OutagePlan.ZONE_INDEX);
        }
        recordResourceUsage();
        loop.scheduleAfter(scenarioDuration, () -> {
            recordResourceUsage();
            generating = false;
            workload.stop();
            endUs = nowUs();
            recordEvent("end");
        });
    }
}
