package sandpaddle.lab.scale;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.EngineVerdict;
import sandpaddle.decision.event.EngineVerdictsChanged;
import sandpaddle.decision.event.Event;
import sandpaddle.eventloop.Scheduler;
import sandpaddle.eventloop.TimerQueue;
import sandpaddle.fleet.FleetSettings;
import sandpaddle.fleet.link.tcp.LinkTraffic;
import sandpaddle.fleet.node.FleetNode;
import sandpaddle.fleet.view.FleetView;
import sandpaddle.fleet.view.LimitSlot;
import sandpaddle.query.FleetCoordination;
import sandpaddle.query.Query;

/**
 * A simulated gateway: the complete fleet component of a real gateway, with random queries and outcomes in place of
 * clients and engines. All methods are called on the event loop of its host; the fleet component has two threads of
 * its own.
 */
final class SimulatedGateway implements Scheduler {
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(100); // of a query that waits for quota
    private static final long RENEWAL_INTERRUPTION_US =
            400_000; // four heartbeats: the leader was unavailable in between
    private static final long UNSET = Long.MIN_VALUE;
    private static final int EXTRA_THREAD_CAPACITY = 8; // threads that may start while the group is enumerated

    private record Running(SimulatedDemand.QuerySpec spec, Query query, Instant startedAt, int start) {}

    private final SimulationHost host;
    private final FleetSettings settings;
    private final String name;
    private final SimulatedDemand demand;
    private final Map<String, Running> running = new LinkedHashMap<>();
    private final Set<String> enginesWithVerdict = new HashSet<>();
    private FleetNode node;
    private FleetCoordination coordinator;
    private ThreadGroup threads;
    private int starts;
    private boolean crashed;
    private long nextQueryNumber;
    private boolean leased;
    private boolean hadLease; // since the latest start
    private long version = UNSET;
    private long lastRenewalUs = UNSET;
    private long leaseExpiresUs = UNSET;
    private long slotNumbering = UNSET;
    private int versionSlot = -1;

    SimulatedGateway(SimulationHost host, FleetSettings settings, String name, SimulatedDemand demand) {
        this.host = host;
        this.settings = settings;
        this.name = name;
        this.demand = demand;
    }

    String name() {
        return name;
    }

    int starts() {
        return starts;
    }

    /** Whether the gateway holds a valid lease. */
    boolean isLeased() {
        return leased;
    }

    /** Starts the fleet component. Its threads form a separate thread group, for the attribution of their CPU time. */
    void start() throws IOException {
        starts++;
        crashed = false;
        leased = false;
        hadLease = false;
        version = UNSET;
        lastRenewalUs = UNSET;
        leaseExpiresUs = UNSET;
        slotNumbering = UNSET;
        enginesWithVerdict.clear();
        threads = new ThreadGroup(name);
        IOException[] failure = new IOException[1];
        Thread starter = new Thread(threads, () -> {
            try {
                node = host.node(settings, name, this, () -> host.wake(this), demand.seed());
            } catch (IOException e) {
                failure[0] = e;
            }
        });
        starter.start();
        try {
            starter.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (failure[0] != null) {
            throw failure[0];
        }
        coordinator = node.coordinator();
        coordinator.engineListReceived(host.engineList());
        scheduleIfRunning(demand.nextInterval(), () -> queryArrived());
    }

    /** Simulates a crash of the process: attempts continue at the engines, but their ends are not reported here. */
    FleetNode crash() {
        crashed = true;
        leased = false;
        return node;
    }

    /** Reloads the configuration, as after an operator edits the file. */
    void reload(FleetSettings next) {
        if (!crashed) {
            node.reload(next);
        }
    }

    /** Traffic on its links since the start. */
    LinkTraffic traffic() {
        return node.traffic();
    }

    /** The threads of the fleet component. */
    List<Thread> threads() {
        Thread[] all = new Thread[threads.activeCount() + EXTRA_THREAD_CAPACITY];
        int count = threads.enumerate(all);
        return List.of(Arrays.copyOf(all, count));
    }

    /** Processes the events and the view that the fleet component has published. */
    void processFleetEvents() {
        if (crashed) {
            return;
        }
        for (Event event : coordinator.pollEvents()) {
            if (event instanceof EngineVerdictsChanged verdicts) {
                verdictsChanged(verdicts);
            }
        }
        if (coordinator.hasAttemptsOverQuota()) {
            cancelAttemptsOverQuota();
        }
        observeView(node.view());
    }

    private void verdictsChanged(EngineVerdictsChanged verdicts) {
        Set<String> now = new HashSet<>();
        for (EngineVerdict verdict : verdicts.verdicts()) {
            now.add(verdict.engine());
            if (!enginesWithVerdict.contains(verdict.engine())) {
                host.recordEvent(
                        "verdict-begins",
                        "gateway",
                        name,
                        "engine",
                        verdict.engine(),
                        "outcome",
                        verdict.condition().name());
            }
        }
        enginesWithVerdict.clear();
        enginesWithVerdict.addAll(now);
    }

    private void cancelAttemptsOverQuota() {
        List<FleetCoordination.InFlightAttempt> inFlight = new ArrayList<>();
        running.forEach((id, attempt) -> {
            if (attempt.start == starts) {
                inFlight.add(new FleetCoordination.InFlightAttempt(
                        id, attempt.spec.requestClass(), attempt.query.tenant(), host.engine(attempt.spec.engine())));
            }
        });
        coordinator.attemptsOverQuota(inFlight).forEach(id -> endAttempt(id, AttemptResult.CANCELLED));
    }

    private void observeView(FleetView view) {
        long now = node.now();
        boolean leasedNow = view.leaseExpiresUs() > 0 && view.leaseExpiresUs() < Long.MAX_VALUE && view.isLeased(now);
        if (leasedNow != leased) {
            leased = leasedNow;
            host.recordEvent(leasedNow ? "lease-begins" : "lease-ends", "gateway", name, "start", (long) starts);
            hadLease |= leasedNow;
            host.leaseChanged();
        }
        if (leasedNow && view.leaseExpiresUs() != leaseExpiresUs) {
            recordRenewal(now);
            leaseExpiresUs = view.leaseExpiresUs();
        }
        if (hadLease) {
            observeVersion(view);
        }
    }

    private void recordRenewal(long now) {
        if (lastRenewalUs == UNSET || now - lastRenewalUs > RENEWAL_INTERRUPTION_US) {
            host.recordEvent("lease-renewed", "gateway", name, "start", (long) starts);
        }
        lastRenewalUs = now;
    }

    private void observeVersion(FleetView view) {
        if (view.numbering() != slotNumbering) {
            slotNumbering = view.numbering();
            versionSlot = -1;
            List<LimitSlot> slots = view.slots();
            for (int i = 0; i < slots.size(); i++) {
                versionSlot = slots.get(i).id().equals(ScaleFleet.VERSION_LIMIT) ? i : versionSlot;
            }
        }
        if (versionSlot < 0) {
            return;
        }
        long versionInForce = view.quotas().get(versionSlot).burst() / ScaleFleet.THOUSANDTHS;
        if (versionInForce != version) {
            version = versionInForce;
            host.recordEvent("rules", "gateway", name, "version", versionInForce, "start", (long) starts);
        }
    }

    private void queryArrived() {
        SimulatedDemand.QuerySpec spec = demand.nextQuery();
        Query query = new Query(
                "",
                name + "-" + nextQueryNumber++,
                SimulatedDemand.QUERY_DEADLINE,
                spec.run(),
                1,
                -1,
                new byte[0],
                "",
                false,
                spec.tenant() == 0 ? "" : ScaleFleet.tenantLimit(spec.tenant()),
                "",
                "",
                "");
        coordinator.requestReceived(spec.requestClass(), query);
        if (!tryStart(spec, query)) {
            coordinator.queuedRequestsChanged(spec.requestClass(), query.tenant(), 1);
            Instant deadline = host.clock().plus(SimulatedDemand.QUERY_DEADLINE);
            scheduleIfRunning(RETRY_INTERVAL, () -> retryStart(spec, query, deadline));
        }
        scheduleIfRunning(demand.nextInterval(), () -> queryArrived());
    }

    private void retryStart(SimulatedDemand.QuerySpec spec, Query query, Instant deadline) {
        boolean started = tryStart(spec, query);
        if (started || host.clock().isAfter(deadline)) {
            coordinator.queuedRequestsChanged(spec.requestClass(), query.tenant(), -1);
            if (!started) {
                host.recordEvent("gave-up", "gateway", name);
            }
        } else {
            scheduleIfRunning(RETRY_INTERVAL, () -> retryStart(spec, query, deadline));
        }
    }

    private boolean tryStart(SimulatedDemand.QuerySpec spec, Query query) {
        if (!coordinator.tryStartAttempt(query, spec.requestClass(), host.engine(spec.engine()))) {
            return false;
        }
        host.recordEvent("begin", "gateway", name, "attempt", query.traceId(), "tenant", query.tenant());
        running.put(query.traceId(), new Running(spec, query, host.clock(), starts));
        host.loop()
                .scheduleAfter(
                        spec.run(),
                        () -> endAttempt(
                                query.traceId(),
                                demand.fails(host.isEngineFailing(spec.engine()))
                                        ? AttemptResult.ERROR
                                        : AttemptResult.OK));
        return true;
    }

    /** Called when the engine has ended the attempt, or is certain not to run it any more. */
    private void endAttempt(String id, AttemptResult result) {
        Running attempt = running.remove(id);
        if (attempt == null) {
            return;
        }
        host.recordEvent("end", "gateway", name, "attempt", id, "tenant", attempt.query.tenant());
        if (!crashed && attempt.start == starts) {
            coordinator.attemptEnded(new FleetCoordination.EndedAttempt(
                    attempt.spec.requestClass(),
                    attempt.query,
                    host.engine(attempt.spec.engine()),
                    result,
                    Duration.between(attempt.startedAt, host.clock()),
                    null,
                    true));
        }
    }

    /** Schedules a task that is skipped if the gateway crashes or restarts before it is due. */
    private void scheduleIfRunning(Duration delay, Runnable task) {
        int start = starts;
        host.loop().scheduleAfter(delay, () -> {
            if (starts == start && !crashed) {
                task.run();
            }
        });
    }

    @Override
    public Instant now() {
        return host.loop().now();
    }

    /** Schedules a timer of the fleet component; it does nothing after a crash or a restart. */
    @Override
    public TimerQueue.Timer schedule(Instant at, Runnable task) {
        int start = starts;
        return host.loop().schedule(at, () -> {
            if (starts == start && !crashed) {
                task.run();
            }
        });
    }

    @Override
    public void requestTurn() {
        host.wake(this);
    }
}
