package sandpaddle.fleet.node;

import java.io.IOException;
import java.util.List;
import java.util.Queue;
import org.jctools.queues.MpscUnboundedArrayQueue;
import org.jctools.queues.SpscArrayQueue;
import org.tinylog.Logger;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.engineclient.ConnectionBudget;
import sandpaddle.eventloop.Scheduler;
import sandpaddle.fleet.FleetSettings;
import sandpaddle.fleet.limit.bound.LimitBounds;
import sandpaddle.fleet.link.LinkSettings;
import sandpaddle.fleet.link.tcp.LinkTraffic;
import sandpaddle.fleet.link.tcp.TcpLinks;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.node.agree.VoterSetup;
import sandpaddle.fleet.node.agree.VoterThread;
import sandpaddle.fleet.node.evidence.EvidenceExchange;
import sandpaddle.fleet.node.lead.CommittedConfig;
import sandpaddle.fleet.node.lead.FleetLeader;
import sandpaddle.fleet.node.loop.LoopCoordinator;
import sandpaddle.fleet.node.loop.LoopEvent;
import sandpaddle.fleet.node.loop.PoolBudget;
import sandpaddle.fleet.node.outage.OutageThread;
import sandpaddle.fleet.node.outage.QueryPathFetcher;
import sandpaddle.fleet.node.quota.FloorStore;
import sandpaddle.fleet.node.quota.PoolCoordinator;
import sandpaddle.fleet.node.quota.QuotaManager;
import sandpaddle.fleet.view.FleetView;
import sandpaddle.fleet.view.Publication;
import sandpaddle.fleet.view.SharedState;
import sandpaddle.query.FleetCoordination;
import sandpaddle.query.QueryService;

/**
 * One gateway's part in a fleet. Threads besides the event loop: {@code fleet-link} for the sockets of the links,
 * {@code fleet-raft} for consensus and its disk, {@code fleet-content} for stored answers and their disk, {@code
 * fleet} for all decisions. The event loop reads one immutable view and writes counters, so none of them delays a
 * query. Cost: a heartbeat to each voter every {@code beat_ms}, and evidence when something changed.
 */
public final class FleetNode implements AutoCloseable {
    private static final int MAX_LOOP_EVENTS = 1 << 14;
    private static final long LEADER_INTERVAL_US = 50_000;
    private static final long FLOOR_INTERVAL_US = 3_000_000;
    private static final long NORMAL_MAX_DELAY_US = 200_000; // normal one-way delay of a message, for the logged bounds

    private final TaskThread thread = new TaskThread("fleet");
    private final TcpLinks links;
    private final NodeComponents components;
    private final FleetTopology topology;
    private final QueryPathFetcher fetcher;
    private final LoopCoordinator coordinator;
    private final Publication<FleetView> views;

    /**
     * Starts the threads and the links.
     *
     * @param settings settings of the fleet
     * @param name name of this gateway
     * @param site settings of the decision module
     * @param classes query classes by index
     * @param zones zone names by number
     * @param kinds kinds of engines by number
     * @param loop the event loop
     * @param wake makes the event loop take a turn, from any thread
     * @param seed seed of all random decisions
     * @throws IOException if the listening socket of the links cannot be opened
     */
    public FleetNode(
            FleetSettings settings,
            String name,
            DecisionSettings decisionSettings,
            List<String> classes,
            List<String> zones,
            List<String> kinds,
            Scheduler loop,
            Runnable wake,
            long seed)
            throws IOException {
        Member self = settings.self(name);
        MonotonicClock clock = new MonotonicClock();
        long incarnation = Math.max(1, System.currentTimeMillis() << 10 | seed & 1023);
        long nowUs = clock.now();
        SharedState shared = SharedState.create();
        views = shared.views();
        Queue<LoopEvent> loopEvents = new SpscArrayQueue<>(MAX_LOOP_EVENTS);
        Queue<Runnable> tasks = new MpscUnboundedArrayQueue<>(256); // run by the event loop
        FloorStore floors = settings.directory() == null
                ? null
                : new FloorStore(settings.directory(), settings.limits().floorMaxAgeUs());
        QuotaManager quotas = new QuotaManager(
                name,
                incarnation,
                self.zone(),
                classes,
                floors == null ? QuotaManager.withoutFloorFile(settings.limits()) : settings.limits(),
                floors == null ? List.of() : floors.read(),
                shared,
                nowUs);
        quotas.setLocalLimits(settings.agreed().limits());
        PoolCoordinator pools =
                new PoolCoordinator(quotas, new PoolBudget(shared.views(), shared.connections(), clock), kinds);
        CommittedConfig committedConfig = new CommittedConfig();
        committedConfig.offer(settings.agreed().encode());
        topology = new FleetTopology(settings.agreed());
        MessageDispatcher dispatcher = new MessageDispatcher(topology);
        links = new TcpLinks(
                new LinkSettings(
                        settings.cluster(),
                        self,
                        incarnation,
                        settings.links(),
                        LinkSettings.Bounds.DEFAULT,
                        settings.routes()),
                settings.listen(),
                topology::isMember,
                dispatcher,
                thread,
                seed);
        EvidenceExchange evidence = new EvidenceExchange(
                self,
                incarnation,
                settings.verdicts(),
                settings.limits().clockDrift(),
                links,
                zones,
                classes.size(),
                nowUs);
        VoterSetup voterSetup =
                settings.directory() == null ? null : VoterSetup.start(settings, name, links, clock, thread, seed);
        VoterThread voter = voterSetup == null ? null : voterSetup.voter();
        FleetLeader leader = voterSetup == null
                ? null
                : new FleetLeader(
                        name,
                        voter,
                        voterSetup.components(),
                        settings.limits(),
                        pools.allocator(),
                        committedConfig,
                        settings.voters());
        fetcher = new QueryPathFetcher(classes, decisionSettings, tasks, wake, seed);
        OutageThread outage = !settings.outages().storesAnswers()
                ? null
                : new OutageThread(
                        settings.outages(),
                        new LocalNode(name, self.zone(), incarnation, clock, decisionSettings, classes),
                        settings.directory(),
                        links,
                        fetcher,
                        this::isBusy,
                        seed);
        coordinator = new LoopCoordinator(
                decisionSettings,
                loop,
                clock,
                shared,
                new LoopCoordinator.Channels(loopEvents, tasks, wake),
                outage == null ? null : outage::lookUp,
                pools.budget(),
                settings.limits().onAnyClockUs(settings.limits().engineForgetUs()),
                settings.limits().leaseUs());
        components = new NodeComponents(
                settings,
                self,
                clock,
                links,
                quotas,
                floors,
                evidence,
                committedConfig,
                pools,
                voter,
                leader,
                outage,
                wake);
        PeriodicTasks periodicTasks =
                new PeriodicTasks(components, topology, dispatcher, loopEvents, thread, decisionSettings);
        new LimitBounds(settings.limits(), NORMAL_MAX_DELAY_US)
                .describe(
                        settings.agreed().limits(), settings.agreed().members().size())
                .forEach(line -> Logger.info("fleet: {}", line));
        Logger.info(
                "fleet {}: {} of zone {} listens on {} for {} gateways",
                settings.cluster(),
                name,
                self.zone(),
                settings.listen(),
                settings.agreed().members().size());
        dispatcher.start(components, periodicTasks);
        topology.start(components);
        periodicTasks.publish(); // before the first query: without quotas, limited resources may not be used
        thread.start();
        thread.scheduleEvery(settings.limits().heartbeatUs(), periodicTasks::sendHeartbeats);
        thread.scheduleEvery(settings.verdicts().evidenceIntervalUs(), periodicTasks::exchangeEvidence);
        if (leader != null) {
            thread.scheduleEvery(LEADER_INTERVAL_US, periodicTasks::runLeaderTasks);
            thread.scheduleEvery(FLOOR_INTERVAL_US, periodicTasks::persistFloors);
        }
    }

    private boolean isBusy() {
        return coordinator == null || coordinator.isBusy();
    }

    /** What the dispatcher speaks to. */
    public FleetCoordination coordinator() {
        return coordinator;
    }

    /** The current view; from any thread. */
    public FleetView view() {
        return views.current();
    }

    /** Traffic of the links since the start; from any thread. */
    public LinkTraffic traffic() {
        return links.traffic();
    }

    /** The monotonic time (us) that views refer to; from any thread. */
    public long now() {
        return components.clock().now();
    }

    /** The budget by which connections to engines are opened. */
    public ConnectionBudget connections() {
        return components.pools().budget();
    }

    /** Sets the service that runs the queries of the prefetcher. */
    public void setQueryService(QueryService service) {
        fetcher.setQueryService(service);
    }

    /** Takes over a changed operator's file while serving: only its fleet-wide part. */
    public void reload(FleetSettings next) {
        thread.execute(() -> topology.localConfigChanged(next.agreed()));
    }

    @Override
    public void close() {
        thread.close();
        if (components.outage() != null) {
            components.outage().close();
        }
        links.close();
        if (components.voter() != null) {
            components.voter().close();
        }
    }
}
