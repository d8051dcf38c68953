package sandpaddle.lab.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import sandpaddle.config.GatewayConfig;
import sandpaddle.config.InvalidFieldException;
import sandpaddle.config.OperatorFile;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.eventloop.MonotonicTimeSource;
import sandpaddle.eventloop.Scheduler;
import sandpaddle.fleet.FleetSettings;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.link.tcp.LinkTraffic;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.node.FleetNode;
import sandpaddle.fleet.node.agree.FleetConfig;
import sandpaddle.lab.Events;

/**
 * Main class of a process that runs many simulated gateways. One event loop simulates clients and engines for all of
 * them; the fleet component of each gateway has its own two threads, as in a real process. Commands are read line by
 * line from standard input, and events are written to a file. The process exits at the end of its input.
 */
public final class SimulationHost {
    private static final Duration MAX_LOOP_WAIT = Duration.ofMillis(100);
    private static final double BYTES_PER_MB = 1 << 20;

    private final SimulationHostPlan plan;
    private final EventLoop loop = new EventLoop(MonotonicTimeSource.startingAt(Instant.now()));
    private final Events events;
    private final GatewayConfig config;
    private final FleetSettings fleetSettings;
    private final EngineListReceived engineList;
    private final List<String> engineNames = new ArrayList<>();
    private final List<SimulatedGateway> gateways = new ArrayList<>();
    private final Set<SimulatedGateway> readyGateways = new LinkedHashSet<>(); // confined to the event loop
    private final Queue<SimulatedGateway> wokenGateways = new ConcurrentLinkedQueue<>(); // filled by the fleet threads
    private final Queue<Runnable> commands = new ConcurrentLinkedQueue<>();
    private final ExecutorService closeExecutor = Executors.newCachedThreadPool();
    private int failingEngine = -1;
    private boolean ended;

    private SimulationHost(SimulationHostPlan plan)
            throws IOException, InvalidFieldException, OperatorFile.InvalidFileException {
        this.plan = plan;
        events = new Events(plan.events());
        config = GatewayConfig.load(Map.of("BALANCER_CONFIG", plan.config().toString()));
        fleetSettings = OperatorFile.load(plan.operator()).fleet().orElseThrow();
        List<EngineEntry> entries = new ArrayList<>();
        for (int i = 0; i < plan.engines(); i++) {
            engineNames.add("engine-" + i);
            entries.add(new EngineEntry(
                    engineNames.get(i), i % config.names().zones().size(), 0, 0, EngineStatus.UP, 1, 0));
        }
        engineList = new EngineListReceived(EngineListKind.FULL, entries);
        SplittableRandom random = new SplittableRandom(plan.seed());
        for (String name : plan.names()) {
            gateways.add(new SimulatedGateway(
                    this, settingsOf(name), name, new SimulatedDemand(random.split(), plan.tenants(), plan.engines())));
        }
    }

    /**
     * Runs the process.
     *
     * @param args the file with the plan of this host, as written by {@link SimulationHostPlan#write}
     */
    public static void main(String[] args) throws Exception {
        new SimulationHost(SimulationHostPlan.read(Path.of(args[0]))).run();
        System.exit(0); // does not wait for the threads of the fleet components
    }

    private FleetSettings settingsOf(String name) {
        Member self = fleetSettings.self(name);
        return new FleetSettings(
                true,
                fleetSettings.cluster(),
                new InetSocketAddress(self.host(), self.port()),
                null,
                fleetSettings.founders(),
                plan.usesRelay(self.zone()) ? fleetSettings.routes() : Map.of(),
                fleetSettings.links(),
                fleetSettings.limits(),
                fleetSettings.voters(),
                fleetSettings.store(),
                fleetSettings.verdictsOn(),
                fleetSettings.verdicts(),
                fleetSettings.agreed(),
                fleetSettings.outages());
    }

    private void run() throws IOException {
        Thread input = new Thread(this::readCommands, "commands");
        input.setDaemon(true);
        input.start();
        for (int i = 0; i < gateways.size(); i++) {
            SimulatedGateway gateway = gateways.get(i);
            loop.scheduleAfter(plan.startInterval().multipliedBy(i), () -> start(gateway));
        }
        while (!ended) {
            loop.runTurn(this::processPending, MAX_LOOP_WAIT);
        }
        events.close();
    }

    private void start(SimulatedGateway gateway) {
        try {
            gateway.start();
            recordEvent("gateway-started", "gateway", gateway.name(), "start", (long) gateway.starts());
        } catch (IOException e) {
            recordEvent("gateway-failed", "gateway", gateway.name(), "outcome", e.getMessage());
        }
    }

    private void processPending() {
        for (Runnable command = commands.poll(); command != null; command = commands.poll()) {
            command.run();
        }
        for (SimulatedGateway gateway = wokenGateways.poll(); gateway != null; gateway = wokenGateways.poll()) {
            readyGateways.add(gateway);
        }
        List<SimulatedGateway> ready = List.copyOf(readyGateways);
        readyGateways.clear();
        ready.forEach(SimulatedGateway::processFleetEvents);
    }

    private void readCommands() {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                SimulationHostCommand command = SimulationHostCommand.parse(line);
                commands.add(() -> execute(command));
                loop.wakeup();
            }
        } catch (IOException e) {
            System.err.println("cannot read commands from standard input: " + e.getMessage());
        }
        commands.add(() -> ended = true);
        loop.wakeup();
    }

    private void execute(SimulationHostCommand command) {
        switch (command.kind()) {
            case SAMPLE -> sample(command.argument());
            case MEMORY -> memory();
            case VERSION -> propose(Long.parseLong(command.argument()));
            case RESTART ->
                gateways.stream()
                        .filter(gateway ->
                                List.of(command.argument().split(",")).contains(gateway.name()))
                        .forEach(this::restart);
            case SICK -> failingEngine = Integer.parseInt(command.argument());
            case WELL -> failingEngine = -1;
            case END -> ended = true;
            default -> throw new IllegalStateException("unknown command: " + command.kind());
        }
    }

    /** Reloads one connected gateway with a new version of the configuration, as an operator would. */
    private void propose(long version) {
        List<SimulatedGateway> connected = gateways.stream()
                .filter(gateway ->
                        !plan.usesRelay(fleetSettings.self(gateway.name()).zone()))
                .filter(SimulatedGateway::isLeased)
                .toList();
        if (connected.isEmpty()) {
            return; // no gateway here could propose it to the leader
        }
        SimulatedGateway gateway = connected.get((int) (version % connected.size()));
        List<LimitSpec> limits = new ArrayList<>();
        fleetSettings
                .agreed()
                .limits()
                .forEach(l ->
                        limits.add(l.id().equals(ScaleFleet.VERSION_LIMIT) ? ScaleFleet.versionLimit(version) : l));
        FleetConfig nextConfig = new FleetConfig(version, fleetSettings.agreed().members(), limits, "", "");
        recordEvent("proposed", "gateway", gateway.name(), "version", version);
        gateway.reload(new FleetSettings(
                true,
                fleetSettings.cluster(),
                fleetSettings.listen(),
                null,
                fleetSettings.founders(),
                fleetSettings.routes(),
                fleetSettings.links(),
                fleetSettings.limits(),
                fleetSettings.voters(),
                fleetSettings.store(),
                fleetSettings.verdictsOn(),
                fleetSettings.verdicts(),
                nextConfig,
                fleetSettings.outages()));
    }

    private void restart(SimulatedGateway gateway) {
        FleetNode crashedNode = gateway.crash();
        recordEvent("crashed", "gateway", gateway.name(), "start", (long) gateway.starts());
        closeExecutor.execute(
                () -> { // blocks until the threads of the node have ended
                    crashedNode.close();
                    commands.add(() -> start(gateway));
                    loop.wakeup();
                });
    }

    /** Records the resource use of each gateway's fleet component since its start. */
    private void sample(String label) {
        ThreadMXBean threadTimes = ManagementFactory.getThreadMXBean();
        for (SimulatedGateway gateway : gateways) {
            Long cpuNs = !plan.sampled()
                    ? null
                    : gateway.threads().stream()
                            .mapToLong(t -> Math.max(0, threadTimes.getThreadCpuTime(t.getId())))
                            .sum();
            LinkTraffic traffic = gateway.traffic();
            recordEvent(
                    "sample",
                    "label",
                    label,
                    "gateway",
                    gateway.name(),
                    "start",
                    (long) gateway.starts(),
                    "cpu_ns",
                    cpuNs,
                    "bytes_in",
                    traffic.bytesIn(),
                    "bytes_out",
                    traffic.bytesOut(),
                    "messages_in",
                    traffic.messagesIn(),
                    "messages_out",
                    traffic.messagesOut());
        }
        reply("sampled " + label);
    }

    /** Records the memory use of this process after a garbage collection. */
    private void memory() {
        System.gc();
        double direct = ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
                .filter(p -> p.getName().equals("direct"))
                .mapToLong(BufferPoolMXBean::getMemoryUsed)
                .sum();
        double heap = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
        recordEvent("memory", "heap_mb", heap / BYTES_PER_MB, "direct_mb", direct / BYTES_PER_MB, "gateways", (long)
                gateways.size());
        reply("memory");
    }

    private static void reply(String line) {
        System.out.println(line);
        System.out.flush();
    }

    /** Called by a gateway that gained or lost its lease: reports the number of leased gateways to the controller. */
    void leaseChanged() {
        reply("leased " + gateways.stream().filter(SimulatedGateway::isLeased).count());
    }

    /** Marks a gateway as having events to process. Thread-safe. */
    void wake(SimulatedGateway gateway) {
        wokenGateways.add(gateway);
        loop.wakeup();
    }

    FleetNode node(FleetSettings settings, String name, Scheduler scheduler, Runnable wake, long seed)
            throws IOException {
        return new FleetNode(
                settings,
                name,
                config.decisionSettings(),
                config.names().requestClasses(),
                config.names().zones(),
                config.names().engineKinds(),
                scheduler,
                wake,
                seed);
    }

    EventLoop loop() {
        return loop;
    }

    /**
     * The current time, not the cached time of the loop iteration: the start of an attempt is recorded after the fleet
     * component has admitted it, and its end before the fleet component is told of it.
     */
    Instant clock() {
        return Instant.now();
    }

    void recordEvent(String kind, Object... fields) {
        events.add(ChronoUnit.MICROS.between(Instant.EPOCH, clock()), "host", kind, fields);
    }

    EngineListReceived engineList() {
        return engineList;
    }

    String engine(int index) {
        return engineNames.get(index);
    }

    boolean isEngineFailing(int engine) {
        return engine == failingEngine;
    }
}
