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
import java.time.Clock;
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
import sandpaddle.eventloop.Scheduler;
import sandpaddle.fleet.FleetSettings;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.link.tcp.LinkTraffic;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.node.FleetNode;
import sandpaddle.fleet.node.agree.FleetConfig;
import sandpaddle.lab.Events;

/**
 * A process of many hollow gateways. One loop plays what clients and engines would do to all of them; each gateway's
 * fleet part has its two threads as in a real process. Commands come as lines on the standard input, and what happened
 * goes to a file of events. It ends with its input.
 */
public final class HollowHost {
    private static final Duration LONGEST_TURN = Duration.ofMillis(100);
    private static final double MB = 1 << 20;

    private final HollowPlan plan;
    private final EventLoop loop = new EventLoop(Clock.systemUTC());
    private final Events events;
    private final GatewayConfig site;
    private final FleetSettings fleet;
    private final EngineListReceived engines;
    private final List<String> engineNames = new ArrayList<>();
    private final List<HollowGateway> gateways = new ArrayList<>();
    private final Set<HollowGateway> awake = new LinkedHashSet<>(); // by this loop's thread
    private final Queue<HollowGateway> woken = new ConcurrentLinkedQueue<>(); // by their fleet threads
    private final Queue<Runnable> commands = new ConcurrentLinkedQueue<>();
    private final ExecutorService closing = Executors.newCachedThreadPool();
    private int sick = -1;
    private boolean ended;

    private HollowHost(HollowPlan plan) throws IOException, InvalidFieldException, OperatorFile.InvalidFileException {
        this.plan = plan;
        events = new Events(plan.events());
        site = GatewayConfig.load(Map.of("BALANCER_CONFIG", plan.config().toString()));
        fleet = OperatorFile.load(plan.operator()).fleet().orElseThrow();
        List<EngineEntry> entries = new ArrayList<>();
        for (int i = 0; i < plan.engines(); i++) {
            engineNames.add("engine-" + i);
            entries.add(
                    new EngineEntry(engineNames.get(i), i % site.names().zones().size(), 0, 0, EngineStatus.UP, 1, 0));
        }
        engines = new EngineListReceived(EngineListKind.FULL, entries);
        SplittableRandom random = new SplittableRandom(plan.seed());
        for (String name : plan.names()) {
            gateways.add(new HollowGateway(
                    this, settingsOf(name), name, new HollowDemand(random.split(), plan.tenants(), plan.engines())));
        }
    }

    /** {@code FILE}: the plan of this host, as {@link HollowPlan} writes it. */
    public static void main(String[] args) throws Exception {
        new HollowHost(HollowPlan.read(Path.of(args[0]))).run();
        System.exit(0); // the fleet parts' threads need not end one by one
    }

    private FleetSettings settingsOf(String name) {
        Member self = fleet.self(name);
        return new FleetSettings(
                true,
                fleet.cluster(),
                new InetSocketAddress(self.host(), self.port()),
                null,
                fleet.founders(),
                plan.isCut(self.zone()) ? fleet.routes() : Map.of(),
                fleet.links(),
                fleet.limits(),
                fleet.voters(),
                fleet.store(),
                fleet.verdictsOn(),
                fleet.verdicts(),
                fleet.agreed(),
                fleet.outages());
    }

    private void run() throws IOException {
        Thread input = new Thread(this::readCommands, "commands");
        input.setDaemon(true);
        input.start();
        for (int i = 0; i < gateways.size(); i++) {
            HollowGateway g = gateways.get(i);
            loop.scheduleAfter(plan.startPause().multipliedBy(i), () -> start(g));
        }
        while (!ended) {
            loop.runTurn(this::turn, LONGEST_TURN);
        }
        events.close();
    }

    private void start(HollowGateway g) {
        try {
            g.start();
            say("gateway-started", "gateway", g.name(), "start", (long) g.starts());
        } catch (IOException e) {
            say("gateway-failed", "gateway", g.name(), "outcome", e.getMessage());
        }
    }

    private void turn() {
        for (Runnable c = commands.poll(); c != null; c = commands.poll()) {
            c.run();
        }
        for (HollowGateway g = woken.poll(); g != null; g = woken.poll()) {
            awake.add(g);
        }
        List<HollowGateway> now = List.copyOf(awake);
        awake.clear();
        now.forEach(HollowGateway::turn);
    }

    private void readCommands() {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                HostCommand command = HostCommand.parse(line);
                commands.add(() -> obey(command));
                loop.wakeup();
            }
        } catch (IOException e) {
            System.err.println("commands cannot be read any more: " + e.getMessage());
        }
        commands.add(() -> ended = true);
        loop.wakeup();
    }

    private void obey(HostCommand command) {
        switch (command.kind()) {
            case SAMPLE -> sample(command.argument());
            case MEMORY -> memory();
            case VERSION -> propose(Long.parseLong(command.argument()));
            case RESTART ->
                gateways.stream()
                        .filter(g -> List.of(command.argument().split(",")).contains(g.name()))
                        .forEach(this::restart);
            case SICK -> sick = Integer.parseInt(command.argument());
            case WELL -> sick = -1;
            case END -> ended = true;
            default -> throw new IllegalStateException("no such command: " + command.kind());
        }
    }

    /** A new version of the configuration at one gateway that reaches the others, as from an operator's hand. */
    private void propose(long version) {
        List<HollowGateway> reached = gateways.stream()
                .filter(g -> !plan.isCut(fleet.self(g.name()).zone()))
                .filter(HollowGateway::isLeased)
                .toList();
        if (reached.isEmpty()) {
            return; // nobody here could hand it on
        }
        HollowGateway g = reached.get((int) (version % reached.size()));
        List<LimitSpec> limits = new ArrayList<>();
        fleet.agreed()
                .limits()
                .forEach(l -> limits.add(l.id().equals(ScaleSite.VERSION_LIMIT) ? ScaleSite.versionLimit(version) : l));
        FleetConfig next = new FleetConfig(version, fleet.agreed().members(), limits, "", "");
        say("proposed", "gateway", g.name(), "version", version);
        g.reload(new FleetSettings(
                true,
                fleet.cluster(),
                fleet.listen(),
                null,
                fleet.founders(),
                fleet.routes(),
                fleet.links(),
                fleet.limits(),
                fleet.voters(),
                fleet.store(),
                fleet.verdictsOn(),
                fleet.verdicts(),
                next,
                fleet.outages()));
    }

    private void restart(HollowGateway g) {
        FleetNode old = g.crash();
        say("crashed", "gateway", g.name(), "start", (long) g.starts());
        closing.execute(
                () -> { // waits for its threads
                    old.close();
                    commands.add(() -> start(g));
                    loop.wakeup();
                });
    }

    /** What each gateway's fleet part has taken since its start. */
    private void sample(String label) {
        ThreadMXBean times = ManagementFactory.getThreadMXBean();
        for (HollowGateway g : gateways) {
            Long cpuNs = !plan.sampled()
                    ? null
                    : g.threads().stream()
                            .mapToLong(t -> Math.max(0, times.getThreadCpuTime(t.getId())))
                            .sum();
            LinkTraffic t = g.traffic();
            say(
                    "sample",
                    "label",
                    label,
                    "gateway",
                    g.name(),
                    "start",
                    (long) g.starts(),
                    "cpu_ns",
                    cpuNs,
                    "bytes_in",
                    t.bytesIn(),
                    "bytes_out",
                    t.bytesOut(),
                    "messages_in",
                    t.messagesIn(),
                    "messages_out",
                    t.messagesOut());
        }
        reply("sampled " + label);
    }

    /** Memory of this process after a collection. */
    private void memory() {
        System.gc();
        double direct = ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
                .filter(p -> p.getName().equals("direct"))
                .mapToLong(BufferPoolMXBean::getMemoryUsed)
                .sum();
        double heap = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
        say("memory", "heap_mb", heap / MB, "direct_mb", direct / MB, "gateways", (long) gateways.size());
        reply("memory");
    }

    private static void reply(String line) {
        System.out.println(line);
        System.out.flush();
    }

    /** Called by gateways: how many hold a lease now. */
    void leaseChanged() {
        reply("leased " + gateways.stream().filter(HollowGateway::isLeased).count());
    }

    /** From any thread: a gateway has news. */
    void wake(HollowGateway g) {
        woken.add(g);
        loop.wakeup();
    }

    FleetNode node(FleetSettings settings, String name, Scheduler scheduler, Runnable wake, long seed)
            throws IOException {
        return new FleetNode(
                settings,
                name,
                site.decisionSettings(),
                site.names().requestClasses(),
                site.names().zones(),
                site.names().engineKinds(),
                scheduler,
                wake,
                seed);
    }

    EventLoop loop() {
        return loop;
    }

    /** The time of this moment, not of the loop's turn: what begins is stamped after, what ends before. */
    Instant clock() {
        return Instant.now();
    }

    void say(String kind, Object... fields) {
        events.add(ChronoUnit.MICROS.between(Instant.EPOCH, clock()), "host", kind, fields);
    }

    EngineListReceived engineList() {
        return engines;
    }

    String engine(int index) {
        return engineNames.get(index);
    }

    boolean isSick(int engine) {
        return engine == sick;
    }
}
