package sandpaddle.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.eventloop.MonotonicTimeSource;
import sandpaddle.fleet.member.Member;
import sandpaddle.lab.ClientStatistics;
import sandpaddle.lab.Events;
import sandpaddle.lab.FaultInjectingProxy;
import sandpaddle.lab.FleetLogs;
import sandpaddle.lab.LabDeployment;
import sandpaddle.lab.Loopback;
import sandpaddle.lab.StandInFeed;

/**
 * Runs a large fleet on one machine in real time: control machines as real gateway processes, and hundreds of simulated
 * gateways in a few processes, connected over TCP on loopback. It injects changes and faults and samples resource use;
 * {@link ScaleAudit} evaluates the recorded events.
 */
final class ScaleRun {
    /** Maximum number of simulated gateways in one process. */
    static final int MAX_GATEWAYS_PER_HOST = 100;
    /** Number of gateways in the host whose CPU time is measured, if there is more than one host. */
    static final int SAMPLED_HOST_GATEWAYS = 25;

    private static final Duration MAX_LOOP_WAIT = Duration.ofMillis(20);
    private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration JOIN_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration LEADER_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration LEADER_POLL_INTERVAL = Duration.ofMillis(100);
    /** Time for a new leader to get its configuration file agreed. */
    private static final Duration AGREEMENT_DELAY = Duration.ofMillis(500);
    /** Time between two gateway starts, over all hosts. */
    private static final Duration START_INTERVAL = Duration.ofMillis(20);
    /** Time between the end of the measurement and the end of the run. */
    private static final Duration SETTLING_TIME = Duration.ofSeconds(4);

    /**
     * Resource use during the measurement.
     *
     * @param control use of each control machine, by name
     * @param controlHeapMb heap of each control machine after a garbage collection, by name
     * @param hosts use of each process of simulated gateways
     * @param leader name of the leader at the end of the measurement
     * @param seconds actual length of the measurement
     * @param busyCores mean CPU use of the whole machine, in cores
     */
    record Samples(
            Map<String, ProcessSample.Rates> control,
            Map<String, Double> controlHeapMb,
            List<ProcessSample.Rates> hosts,
            Optional<String> leader,
            double seconds,
            double busyCores) {}

    private final ScalePlan plan;
    private final Events events;
    private final EventLoop loop;
    private final ScaleFleet fleet;
    private final SplittableRandom random;
    private final List<ControlMachine> control = new ArrayList<>();
    private final List<SimulationHostProcess> hosts = new ArrayList<>();
    private final List<FaultInjectingProxy> relays = new ArrayList<>();
    private long version = 1;
    private Exception failure;

    ScaleRun(ScalePlan plan, ScaleFleet fleet, Events events) throws IOException {
        this.plan = plan;
        this.fleet = fleet;
        this.events = events;
        loop = new EventLoop(MonotonicTimeSource.startingAt(Instant.now()));
        random = new SplittableRandom(plan.seed());
    }

    /** The number of processes for a number of simulated gateways. */
    static int hostCount(int gateways) {
        return gateways <= MAX_GATEWAYS_PER_HOST
                ? 1
                : 1 + (gateways - SAMPLED_HOST_GATEWAYS + MAX_GATEWAYS_PER_HOST - 1) / MAX_GATEWAYS_PER_HOST;
    }

    /**
     * Assigns gateways to hosts. If there is more than one host, the first is the sampled one and has few gateways, and
     * the others share the rest.
     */
    static List<List<String>> distribute(List<String> gateways) {
        int count = hostCount(gateways.size());
        if (count == 1) {
            return List.of(gateways);
        }
        List<List<String>> gatewaysByHost = new ArrayList<>();
        gatewaysByHost.add(gateways.subList(0, SAMPLED_HOST_GATEWAYS));
        for (int host = 1; host < count; host++) {
            List<String> names = new ArrayList<>();
            for (int i = SAMPLED_HOST_GATEWAYS + host - 1; i < gateways.size(); i += count - 1) {
                names.add(gateways.get(i));
            }
            gatewaysByHost.add(names);
        }
        return gatewaysByHost;
    }

    /** The event files that the hosts have written. */
    List<Path> eventFiles() {
        return hosts.stream().map(host -> host.plan().events()).toList();
    }

    private void recordEvent(String kind, Object... fields) {
        events.add(ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()), "script", kind, fields);
    }

    /** Executes the run to its end and returns its resource use. */
    Samples run() throws IOException {
        Thread abortHook = new Thread(this::abort); // kills the child processes if the run is interrupted
        Runtime.getRuntime().addShutdownHook(abortHook);
        StandInFeed feed = new StandInFeed(loop, events, new ClientStatistics());
        try {
            startControl(feed);
            awaitLeader();
            startHosts(feed);
            awaitLeases();
            recordEvent("ready");
            runLoopFor(plan.warmUp());
            Samples samples = measure();
            runLoopFor(SETTLING_TIME);
            recordEvent("end");
            return samples;
        } finally {
            Runtime.getRuntime().removeShutdownHook(abortHook);
            hosts.forEach(SimulationHostProcess::shutDown);
            control.forEach(ControlMachine::abort);
            relays.forEach(FaultInjectingProxy::close);
            feed.close();
            FleetLogs.gather(
                    plan.folder(), control.stream().map(ControlMachine::name).toList(), events);
        }
    }

    private void abort() {
        hosts.forEach(SimulationHostProcess::kill);
        control.forEach(ControlMachine::abort);
    }

    private void startControl(StandInFeed feed) throws IOException {
        fleet.agreed(version).limits().stream()
                .filter(l -> !l.id().equals(ScaleFleet.VERSION_LIMIT))
                .forEach(l -> recordEvent("limit", "limit", l.id(), "running", l.amount()));
        for (Member member : fleet.control()) {
            control.add(new ControlMachine(member, control.size(), plan, fleet, feed));
        }
        for (ControlMachine machine : control) {
            machine.start(plan);
        }
        for (ControlMachine machine : control) {
            machine.process().awaitUp();
        }
    }

    private void startHosts(StandInFeed feed) throws IOException {
        Map<String, InetSocketAddress> routes = new LinkedHashMap<>();
        if (plan.fault().disconnectsZone()) {
            for (Member member : fleet.control()) {
                FaultInjectingProxy relay =
                        new FaultInjectingProxy(loop, Loopback.at(member.port()), random.split(), true);
                relays.add(relay);
                routes.put(member.name(), relay.address());
            }
        }
        Path operator = fleet.gatewayFile("hollow", routes);
        Path config = Files.writeString(
                plan.folder().resolve("hollow.json"),
                LabDeployment.configOfPeer(
                        "hollow",
                        0,
                        plan.size().gateways(),
                        1,
                        feed.address(),
                        feed.snapshotJson(),
                        plan.seed(),
                        fleet.zones()));
        List<List<String>> gatewaysByHost =
                distribute(fleet.gateways().stream().map(Member::name).toList());
        for (int host = 0; host < gatewaysByHost.size(); host++) {
            hosts.add(SimulationHostProcess.start(
                    new SimulationHostPlan(
                            operator,
                            config,
                            plan.folder().resolve("host-" + host + ".events"),
                            gatewaysByHost.get(host),
                            plan.size().engines(),
                            plan.size().limits() - 1,
                            random.nextLong(),
                            plan.fault().disconnectsZone() ? faultZone() : "",
                            START_INTERVAL.multipliedBy(gatewaysByHost.size()),
                            host == 0),
                    plan.folder().resolve("host-" + host + ".plan")));
        }
    }

    /**
     * The zone that faults disconnect: the last one. It has no control machine if there are more zones than control
     * machines.
     */
    private String faultZone() {
        return plan.size().zone(plan.size().zones() - 1);
    }

    /**
     * Waits until a leader has got its configuration agreed. Gateways that started earlier would all propose their
     * configuration files to the control machines at once.
     */
    private void awaitLeader() throws IOException {
        long until = System.nanoTime() + LEADER_TIMEOUT.toNanos();
        while (leader().isEmpty()) {
            if (System.nanoTime() > until) {
                throw new IOException(
                        "no leader elected among the control machines within " + LEADER_TIMEOUT.toSeconds() + " s");
            }
            runLoopFor(LEADER_POLL_INTERVAL);
        }
        runLoopFor(AGREEMENT_DELAY);
    }

    private void awaitLeases() throws IOException {
        long from = System.nanoTime();
        long gateways = plan.size().gateways();
        boolean joined = await(
                () -> hosts.stream().mapToLong(SimulationHostProcess::leased).sum() >= gateways, JOIN_TIMEOUT);
        if (!joined) {
            throw new IOException("only "
                    + hosts.stream().mapToLong(SimulationHostProcess::leased).sum() + " of " + gateways
                    + " gateways held a lease after " + JOIN_TIMEOUT.toSeconds() + " s");
        }
        recordEvent("joined", "ms", (System.nanoTime() - from) / 1_000_000);
    }

    private Samples measure() throws IOException {
        Map<String, ProcessSample> controlBefore = new LinkedHashMap<>();
        List<ProcessSample> hostsBefore = new ArrayList<>();
        sample("begin", controlBefore, hostsBefore);
        recordEvent("begin");
        long from = System.nanoTime();
        double busyBefore = ProcessSample.machineCpuSeconds();
        scheduleChangesAndFaults();
        runLoopFor(plan.measured());
        double seconds = (System.nanoTime() - from) / 1e9;
        double busyCores = (ProcessSample.machineCpuSeconds() - busyBefore) / seconds;
        recordEvent("measured");
        Optional<String> leader = leader();
        Map<String, ProcessSample> controlAfter = new LinkedHashMap<>();
        List<ProcessSample> hostsAfter = new ArrayList<>();
        sample("end", controlAfter, hostsAfter);
        Map<String, ProcessSample.Rates> rates = new LinkedHashMap<>();
        controlAfter.forEach((name, use) -> {
            if (controlBefore.containsKey(name)) {
                rates.put(name, controlBefore.get(name).ratesUntil(use));
            }
        });
        List<ProcessSample.Rates> hostRates = new ArrayList<>();
        for (int i = 0; i < Math.min(hostsBefore.size(), hostsAfter.size()); i++) {
            hostRates.add(hostsBefore.get(i).ratesUntil(hostsAfter.get(i)));
        }
        return new Samples(rates, controlHeapsMb(), hostRates, leader, seconds, busyCores);
    }

    private void sample(String label, Map<String, ProcessSample> controlSamples, List<ProcessSample> hostSamples)
            throws IOException {
        Set<Integer> ports = new HashSet<>();
        fleet.control().forEach(member -> ports.add(member.port()));
        Map<Long, Map<String, ProcessSample.SocketBytes>> sockets = FleetSockets.read(ports);
        for (ControlMachine machine : control) {
            long pid = machine.process().pid();
            if (machine.process().isAlive()) {
                ProcessSample.of(pid, sockets.getOrDefault(pid, Map.of()))
                        .ifPresent(sample -> controlSamples.put(machine.name(), sample));
            }
        }
        for (SimulationHostProcess host : hosts) {
            ProcessSample.of(host.pid(), sockets.getOrDefault(host.pid(), Map.of()))
                    .ifPresent(hostSamples::add);
        }
        hosts.forEach(host -> host.send(SimulationHostCommand.Kind.SAMPLE, label));
        if (!await(() -> hosts.stream().allMatch(host -> host.hasReplied("sampled " + label)), REPLY_TIMEOUT)) {
            throw new IOException("a process of simulated gateways did not reply to a sample command within "
                    + REPLY_TIMEOUT.toSeconds() + " s; see its log");
        }
    }

    private Map<String, Double> controlHeapsMb() throws IOException {
        hosts.forEach(host -> host.send(SimulationHostCommand.Kind.MEMORY, ""));
        await(() -> hosts.stream().allMatch(host -> host.hasReplied("memory")), REPLY_TIMEOUT);
        Map<String, Double> controlHeapsMb = new HashMap<>();
        for (ControlMachine machine : control) {
            OptionalDouble mb = machine.process().isAlive()
                    ? HeapReader.afterCollection(machine.process().pid())
                    : OptionalDouble.empty();
            mb.ifPresent(heapMb -> controlHeapsMb.put(machine.name(), heapMb));
        }
        return controlHeapsMb;
    }

    private Optional<String> leader() throws IOException {
        return FleetLogs.leader(
                plan.folder(), control.stream().map(ControlMachine::name).toList());
    }

    /** Schedules the configuration changes, a temporary engine failure and the fault, all within the measurement. */
    private void scheduleChangesAndFaults() {
        Duration span = plan.measured();
        if (plan.changesPerSecond() > 0) {
            Duration every = Duration.ofNanos((long) (1e9 / plan.changesPerSecond()));
            for (Duration at = every.dividedBy(2); at.compareTo(span) < 0; at = at.plus(every)) {
                loop.scheduleAfter(at, this::changeConfiguration);
            }
        }
        int failingEngine = random.nextInt(plan.size().engines());
        loop.scheduleAfter(span.dividedBy(4), () -> setEngineFailing(failingEngine, true));
        loop.scheduleAfter(span.multipliedBy(3).dividedBy(5), () -> setEngineFailing(failingEngine, false));
        loop.scheduleAfter(span.dividedBy(3), () -> recordFailure(this::injectFault));
        if (plan.fault() == Fault.RETURN_ZONE) {
            loop.scheduleAfter(span.multipliedBy(2).dividedBy(3), () -> {
                relays.forEach(FaultInjectingProxy::heal);
                recordEvent("zone-back", "zone", faultZone());
            });
        }
    }

    private void changeConfiguration() {
        version++;
        hosts.get(random.nextInt(hosts.size())).send(SimulationHostCommand.Kind.VERSION, Long.toString(version));
    }

    private void setEngineFailing(int engine, boolean failing) {
        recordEvent(failing ? "sick" : "well", "engine", "engine-" + engine);
        hosts.forEach(host -> host.send(
                failing ? SimulationHostCommand.Kind.SICK : SimulationHostCommand.Kind.WELL, Integer.toString(engine)));
    }

    private void injectFault() throws IOException {
        switch (plan.fault()) {
            case NONE -> {}
            case CONTROL_MACHINE -> killLeader();
            case ZONE, RETURN_ZONE -> {
                relays.forEach(FaultInjectingProxy::cut);
                recordEvent("zone-cut", "zone", faultZone());
            }
            case RESTART_TENTH -> restartTenth();
            default -> throw new IllegalStateException("fault " + plan.fault().label() + " is not implemented");
        }
    }

    private void killLeader() throws IOException {
        String leader = leader().orElseThrow(() -> new IOException("no leader to kill among the control machines"));
        control.stream().filter(machine -> machine.name().equals(leader)).forEach(ControlMachine::kill);
        recordEvent("killed", "gateway", leader);
    }

    private void restartTenth() {
        List<String> gateways =
                new ArrayList<>(fleet.gateways().stream().map(Member::name).toList());
        Set<String> selected = new HashSet<>();
        int count = Math.max(1, gateways.size() / 10);
        while (selected.size() < count) {
            selected.add(gateways.remove(random.nextInt(gateways.size())));
        }
        recordEvent("restart", "gateways", (long) count);
        hosts.forEach(host -> host.send(SimulationHostCommand.Kind.RESTART, String.join(",", selected)));
    }

    private void recordFailure(IoAction action) {
        try {
            action.run();
        } catch (IOException | RuntimeException e) {
            failure = failure == null ? e : failure;
        }
    }

    private interface IoAction {
        void run() throws IOException;
    }

    private void runLoopFor(Duration span) throws IOException {
        long until = System.nanoTime() + span.toNanos();
        await(() -> System.nanoTime() >= until, span.multipliedBy(2));
    }

    /** Runs the event loop until a condition holds. Returns false on a timeout. */
    private boolean await(BooleanSupplier condition, Duration timeout) throws IOException {
        long until = System.nanoTime() + timeout.toNanos();
        while (!condition.getAsBoolean()) {
            if (failure != null) {
                throw new IOException("the run failed: " + failure.getMessage(), failure);
            }
            if (hosts.stream().anyMatch(host -> !host.isAlive())) {
                throw new IOException("a process of simulated gateways has ended unexpectedly; see its log");
            }
            for (ControlMachine machine : control) {
                if (machine.hasFailed()) {
                    throw new IOException(machine.name() + " has ended unexpectedly; see its log");
                }
            }
            if (System.nanoTime() > until) {
                return false;
            }
            loop.runTurn(() -> {}, MAX_LOOP_WAIT);
        }
        return true;
    }
}
