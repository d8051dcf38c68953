package sandpaddle.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
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
import sandpaddle.fleet.member.Member;
import sandpaddle.lab.ClientStatistics;
import sandpaddle.lab.Events;
import sandpaddle.lab.FaultInjectingProxy;
import sandpaddle.lab.FleetLogs;
import sandpaddle.lab.LabDeployment;
import sandpaddle.lab.Loopback;
import sandpaddle.lab.StandInFeed;

/**
 * A fleet at scale on one machine: control machines that are real gateway processes, and hollow gateways by the
 * hundred in processes of their own, over TCP on loopback and in real time. It plays and samples; {@link ScaleAudit}
 * counts what came of it.
 */
final class ScaleRun {
    /** The most hollow gateways of one process. */
    static final int MOST_GATEWAYS_OF_HOST = 100;
    /** Where there are more hosts than one, the gateways of the one whose processor time counts. */
    static final int SAMPLED_GATEWAYS = 25;

    private static final Duration TURN = Duration.ofMillis(20);
    private static final Duration REPLY_MOST = Duration.ofSeconds(20);
    private static final Duration START_MOST = Duration.ofSeconds(60);
    private static final Duration LEADER_MOST = Duration.ofSeconds(30);
    private static final Duration LEADER_LOOK = Duration.ofMillis(100);
    private static final Duration RULES_AFTER = Duration.ofMillis(500); // a leader has its file agreed on meanwhile
    private static final Duration START_PAUSE = Duration.ofMillis(20); // between two gateways, in whichever host
    private static final Duration SETTLE = Duration.ofSeconds(4); // from the last change to the end

    /** What was sampled: by role, and of processes what they took in the measured span. */
    record Samples(
            Map<String, ProcessUse.Rates> control,
            Map<String, Double> controlHeapMb,
            List<ProcessUse.Rates> hosts,
            Optional<String> leader,
            double seconds,
            double busyCores) {}

    private final ScalePlan plan;
    private final Events events;
    private final EventLoop loop;
    private final ScaleSite site;
    private final SplittableRandom random;
    private final List<ControlMachine> control = new ArrayList<>();
    private final List<HostProcess> hosts = new ArrayList<>();
    private final List<FaultInjectingProxy> relays = new ArrayList<>();
    private long version = 1;
    private Exception failed;

    ScaleRun(ScalePlan plan, ScaleSite site, Events events) throws IOException {
        this.plan = plan;
        this.site = site;
        this.events = events;
        loop = new EventLoop(Clock.systemUTC());
        random = new SplittableRandom(plan.seed());
    }

    /** How many processes of hollow gateways a size needs. */
    static int hosts(int gateways) {
        return gateways <= MOST_GATEWAYS_OF_HOST
                ? 1
                : 1 + (gateways - SAMPLED_GATEWAYS + MOST_GATEWAYS_OF_HOST - 1) / MOST_GATEWAYS_OF_HOST;
    }

    /** The gateways of each host: of several, the first has few, which are sampled, and the others share the rest. */
    static List<List<String>> spread(List<String> gateways) {
        int count = hosts(gateways.size());
        if (count == 1) {
            return List.of(gateways);
        }
        List<List<String>> spread = new ArrayList<>();
        spread.add(gateways.subList(0, SAMPLED_GATEWAYS));
        for (int h = 1; h < count; h++) {
            List<String> names = new ArrayList<>();
            for (int i = SAMPLED_GATEWAYS + h - 1; i < gateways.size(); i += count - 1) {
                names.add(gateways.get(i));
            }
            spread.add(names);
        }
        return spread;
    }

    /** Files of events that hosts have written. */
    List<Path> eventFiles() {
        return hosts.stream().map(h -> h.plan().events()).toList();
    }

    private void say(String kind, Object... fields) {
        events.add(ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()), "script", kind, fields);
    }

    /** Plays it to its end. */
    Samples run() throws IOException {
        Thread left = new Thread(this::abandon); // a run that is broken off leaves no process behind
        Runtime.getRuntime().addShutdownHook(left);
        StandInFeed feed = new StandInFeed(loop, events, new ClientStatistics());
        try {
            startControl(feed);
            awaitLeader();
            startHosts(feed);
            awaitLeases();
            say("ready");
            turnFor(plan.warmUp());
            Samples samples = measure();
            turnFor(SETTLE);
            say("end");
            return samples;
        } finally {
            Runtime.getRuntime().removeShutdownHook(left);
            hosts.forEach(HostProcess::end);
            control.forEach(ControlMachine::abandon);
            relays.forEach(FaultInjectingProxy::close);
            feed.close();
            FleetLogs.gather(
                    plan.folder(), control.stream().map(ControlMachine::name).toList(), events);
        }
    }

    private void abandon() {
        hosts.forEach(HostProcess::kill);
        control.forEach(ControlMachine::abandon);
    }

    private void startControl(StandInFeed feed) throws IOException {
        site.agreed(version).limits().stream()
                .filter(l -> !l.id().equals(ScaleSite.VERSION_LIMIT))
                .forEach(l -> say("limit", "limit", l.id(), "running", l.amount()));
        for (Member m : site.control()) {
            control.add(new ControlMachine(m, control.size(), plan, site, feed));
        }
        for (ControlMachine c : control) {
            c.start(plan);
        }
        for (ControlMachine c : control) {
            c.process().awaitUp();
        }
    }

    private void startHosts(StandInFeed feed) throws IOException {
        Map<String, InetSocketAddress> routes = new LinkedHashMap<>();
        if (plan.fault().cutsZone()) {
            for (Member m : site.control()) {
                FaultInjectingProxy relay = new FaultInjectingProxy(loop, Loopback.at(m.port()), random.split(), true);
                relays.add(relay);
                routes.put(m.name(), relay.address());
            }
        }
        Path operator = site.hollowFile("hollow", routes);
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
                        site.zones()));
        List<List<String>> spread =
                spread(site.hollow().stream().map(Member::name).toList());
        for (int h = 0; h < spread.size(); h++) {
            hosts.add(HostProcess.start(
                    new HollowPlan(
                            operator,
                            config,
                            plan.folder().resolve("host-" + h + ".events"),
                            spread.get(h),
                            plan.size().engines(),
                            plan.size().limits() - 1,
                            random.nextLong(),
                            plan.fault().cutsZone() ? victimZone() : "",
                            START_PAUSE.multipliedBy(spread.size()),
                            h == 0),
                    plan.folder().resolve("host-" + h + ".plan")));
        }
    }

    /** The last zone: where there are more zones than control machines it has none. */
    private String victimZone() {
        return plan.size().zone(plan.size().zones() - 1);
    }

    /** Gateways that start before the control machines agree on anything would all offer them their files at once. */
    private void awaitLeader() throws IOException {
        long until = System.nanoTime() + LEADER_MOST.toNanos();
        while (leader().isEmpty()) {
            if (System.nanoTime() > until) {
                throw new IOException("no control machine leads after " + LEADER_MOST.toSeconds() + " s");
            }
            turnFor(LEADER_LOOK);
        }
        turnFor(RULES_AFTER);
    }

    private void awaitLeases() throws IOException {
        long from = System.nanoTime();
        long all = plan.size().gateways();
        boolean came = await(() -> hosts.stream().mapToLong(HostProcess::leased).sum() >= all, START_MOST);
        if (!came) {
            throw new IOException(
                    "only " + hosts.stream().mapToLong(HostProcess::leased).sum() + " of " + all
                            + " gateways held a lease after " + START_MOST.toSeconds() + " s");
        }
        say("joined", "ms", (System.nanoTime() - from) / 1_000_000);
    }

    private Samples measure() throws IOException {
        Map<String, ProcessUse> controlBefore = new LinkedHashMap<>();
        List<ProcessUse> hostsBefore = new ArrayList<>();
        sample("begin", controlBefore, hostsBefore);
        say("begin");
        long from = System.nanoTime();
        double busyBefore = ProcessUse.machineCpuSeconds();
        schedule();
        turnFor(plan.measured());
        double seconds = (System.nanoTime() - from) / 1e9;
        double busyCores = (ProcessUse.machineCpuSeconds() - busyBefore) / seconds;
        say("measured");
        Optional<String> leader = leader();
        Map<String, ProcessUse> controlAfter = new LinkedHashMap<>();
        List<ProcessUse> hostsAfter = new ArrayList<>();
        sample("end", controlAfter, hostsAfter);
        Map<String, ProcessUse.Rates> rates = new LinkedHashMap<>();
        controlAfter.forEach((name, use) -> {
            if (controlBefore.containsKey(name)) {
                rates.put(name, controlBefore.get(name).until(use));
            }
        });
        List<ProcessUse.Rates> hostRates = new ArrayList<>();
        for (int i = 0; i < Math.min(hostsBefore.size(), hostsAfter.size()); i++) {
            hostRates.add(hostsBefore.get(i).until(hostsAfter.get(i)));
        }
        return new Samples(rates, heaps(), hostRates, leader, seconds, busyCores);
    }

    private void sample(String label, Map<String, ProcessUse> ofControl, List<ProcessUse> ofHosts) throws IOException {
        Set<Integer> ports = new HashSet<>();
        site.control().forEach(m -> ports.add(m.port()));
        Map<Long, Map<String, ProcessUse.SocketBytes>> sockets = FleetSockets.now(ports);
        for (ControlMachine c : control) {
            long pid = c.process().pid();
            if (c.process().isAlive()) {
                ProcessUse.of(pid, sockets.getOrDefault(pid, Map.of())).ifPresent(u -> ofControl.put(c.name(), u));
            }
        }
        for (HostProcess h : hosts) {
            ProcessUse.of(h.pid(), sockets.getOrDefault(h.pid(), Map.of())).ifPresent(ofHosts::add);
        }
        hosts.forEach(h -> h.send(HostCommand.Kind.SAMPLE, label));
        if (!await(() -> hosts.stream().allMatch(h -> h.hasReplied("sampled " + label)), REPLY_MOST)) {
            throw new IOException("a process of hollow gateways did not answer; its log tells why");
        }
    }

    private Map<String, Double> heaps() throws IOException {
        hosts.forEach(h -> h.send(HostCommand.Kind.MEMORY, ""));
        await(() -> hosts.stream().allMatch(h -> h.hasReplied("memory")), REPLY_MOST);
        Map<String, Double> heaps = new HashMap<>();
        for (ControlMachine c : control) {
            OptionalDouble mb = c.process().isAlive()
                    ? HeapReader.afterCollection(c.process().pid())
                    : OptionalDouble.empty();
            mb.ifPresent(d -> heaps.put(c.name(), d));
        }
        return heaps;
    }

    private Optional<String> leader() throws IOException {
        return FleetLogs.leader(
                plan.folder(), control.stream().map(ControlMachine::name).toList());
    }

    /** Changes of the configuration, an engine that is sick for a while, and the fault: all within the span. */
    private void schedule() {
        Duration span = plan.measured();
        if (plan.changesPerSecond() > 0) {
            Duration every = Duration.ofNanos((long) (1e9 / plan.changesPerSecond()));
            for (Duration at = every.dividedBy(2); at.compareTo(span) < 0; at = at.plus(every)) {
                loop.scheduleAfter(at, this::change);
            }
        }
        int sick = random.nextInt(plan.size().engines());
        loop.scheduleAfter(span.dividedBy(4), () -> sick(sick, true));
        loop.scheduleAfter(span.multipliedBy(3).dividedBy(5), () -> sick(sick, false));
        loop.scheduleAfter(span.dividedBy(3), () -> guarded(this::fail));
        if (plan.fault() == Fault.RETURN_ZONE) {
            loop.scheduleAfter(span.multipliedBy(2).dividedBy(3), () -> {
                relays.forEach(FaultInjectingProxy::heal);
                say("zone-back", "zone", victimZone());
            });
        }
    }

    private void change() {
        version++;
        hosts.get(random.nextInt(hosts.size())).send(HostCommand.Kind.VERSION, Long.toString(version));
    }

    private void sick(int engine, boolean begins) {
        say(begins ? "sick" : "well", "engine", "engine-" + engine);
        hosts.forEach(h -> h.send(begins ? HostCommand.Kind.SICK : HostCommand.Kind.WELL, Integer.toString(engine)));
    }

    private void fail() throws IOException {
        switch (plan.fault()) {
            case NONE -> {} // nothing fails
            case CONTROL_MACHINE -> killLeader();
            case ZONE, RETURN_ZONE -> {
                relays.forEach(FaultInjectingProxy::cut);
                say("zone-cut", "zone", victimZone());
            }
            case RESTART_TENTH -> restartTenth();
            default -> throw new IllegalStateException("fault " + plan.fault().label() + " is not built");
        }
    }

    private void killLeader() throws IOException {
        String leader = leader().orElseThrow(() -> new IOException("no control machine leads"));
        control.stream().filter(c -> c.name().equals(leader)).forEach(ControlMachine::kill);
        say("killed", "gateway", leader);
    }

    private void restartTenth() {
        List<String> all =
                new ArrayList<>(site.hollow().stream().map(Member::name).toList());
        Set<String> drawn = new HashSet<>();
        int count = Math.max(1, all.size() / 10);
        while (drawn.size() < count) {
            drawn.add(all.remove(random.nextInt(all.size())));
        }
        say("restart", "gateways", (long) count);
        hosts.forEach(h -> h.send(HostCommand.Kind.RESTART, String.join(",", drawn)));
    }

    private void guarded(Step step) {
        try {
            step.run();
        } catch (IOException | RuntimeException e) {
            failed = failed == null ? e : failed;
        }
    }

    private interface Step {
        void run() throws IOException;
    }

    private void turnFor(Duration span) throws IOException {
        long until = System.nanoTime() + span.toNanos();
        await(() -> System.nanoTime() >= until, span.multipliedBy(2));
    }

    /** Serves what is on loopback until something holds; whether it does in time. */
    private boolean await(BooleanSupplier holds, Duration most) throws IOException {
        long until = System.nanoTime() + most.toNanos();
        while (!holds.getAsBoolean()) {
            if (failed != null) {
                throw new IOException("the run failed: " + failed.getMessage(), failed);
            }
            if (hosts.stream().anyMatch(h -> !h.isAlive())) {
                throw new IOException("a process of hollow gateways has ended; its log tells why");
            }
            for (ControlMachine c : control) {
                if (c.hasFailed()) {
                    throw new IOException(c.name() + " has ended; its log tells why");
                }
            }
            if (System.nanoTime() > until) {
                return false;
            }
            loop.runTurn(() -> {}, TURN);
        }
        return true;
    }
}
