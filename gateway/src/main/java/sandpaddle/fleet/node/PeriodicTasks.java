package sandpaddle.fleet.node;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeSet;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.fleet.limit.lease.SavedFloor;
import sandpaddle.fleet.link.MessageKind;
import sandpaddle.fleet.node.loop.LoopEvent;
import sandpaddle.fleet.node.wire.HeartbeatMessage;
import sandpaddle.fleet.view.FleetView;

/** Periodic tasks on the fleet's thread: heartbeats, evidence, and the leader's work. */
final class PeriodicTasks {
    private static final long STATUS_INTERVAL_US = 1_000_000;

    private final NodeComponents components;
    private final FleetTopology topology;
    private final MessageDispatcher dispatcher;
    private final Queue<LoopEvent> loopEvents;
    private final TaskThread thread;
    private final DecisionSettings decisionSettings;
    private final Set<String> engines = new TreeSet<>();
    private long lastStatusUs = Long.MIN_VALUE / 2;

    PeriodicTasks(
            NodeComponents components,
            FleetTopology topology,
            MessageDispatcher dispatcher,
            Queue<LoopEvent> loopEvents,
            TaskThread thread,
            DecisionSettings decisionSettings) {
        this.components = components;
        this.topology = topology;
        this.dispatcher = dispatcher;
        this.loopEvents = loopEvents;
        this.thread = thread;
        this.decisionSettings = decisionSettings;
    }

    /** Processes the events that the event loop queued since the last call. */
    private void processLoopEvents() {
        for (LoopEvent event = loopEvents.poll(); event != null; event = loopEvents.poll()) {
            components.evidence().eventReceived(event);
            if (components.outage() != null) {
                components.outage().handle(event);
            }
            if (event instanceof LoopEvent.TenantSeen tenantSeen) {
                components.quotas().addTenant(tenantSeen.tenant());
            } else if (event instanceof LoopEvent.EngineListChanged change) {
                engineListChanged(change.list());
            } else if (event instanceof LoopEvent.AttemptEnded attempt
                    && attempt.rows() != null
                    && decisionSettings.classes().get(attempt.classIndex()).dataLoad()) {
                components
                        .evidence()
                        .loadCompleted(
                                attempt.nowUs(), Long.toString(attempt.query().dataGroup()));
            }
        }
    }

    private void engineListChanged(EngineListReceived list) {
        if (list.kind() != EngineListKind.CHANGES) {
            engines.clear();
        }
        for (EngineEntry entry : list.entries()) {
            if (entry.status() == EngineStatus.UP) {
                engines.add(entry.id());
            } else {
                engines.remove(entry.id());
            }
        }
        components.quotas().setEngines(engines);
        components.pools().receiveEngineList(components.clock().now(), list);
    }

    /** Publishes the current view; counts are read only after it. */
    void publish() {
        long nowUs = components.clock().now();
        components.pools().tick(nowUs);
        components
                .quotas()
                .publish(
                        components.settings().verdictsOn()
                                ? components.evidence().moduleVerdicts(nowUs)
                                : List.of(),
                        Map.of(),
                        components.outage() == null
                                ? FleetView.Isolation.NONE
                                : components.outage().isolation());
    }

    /** Publishes the view and sends a heartbeat to each voter. */
    void sendHeartbeats() {
        processLoopEvents();
        publish();
        long nowUs = components.clock().now();
        HeartbeatMessage message = new HeartbeatMessage(
                topology.configVersion(),
                topology.fileVersion(),
                components.quotas().nextHeartbeat(nowUs));
        byte[] bytes = message.encode();
        for (String voter : topology.linkedVoters()) {
            if (components.isSelf(voter)) {
                dispatcher.heartbeatReceived(nowUs, voter, message);
            } else {
                components.links().send(voter, MessageKind.HEARTBEAT, bytes);
                topology.proposeLocalConfig(voter);
            }
        }
        components.wake().run();
    }

    /** Evaluates verdicts and exchanges evidence. */
    void exchangeEvidence() {
        processLoopEvents();
        long nowUs = components.clock().now();
        components.evidence().tick(nowUs);
        if (components.outage() != null) {
            components.outage().updateLink(components.evidence().ownZoneLink());
            components.evidence().forEachLoadedGroup(nowUs, components.outage()::dataChanged);
        }
    }

    /**
     * Stores the floors, so that they survive a restart while partitioned. The consensus thread writes them, since it
     * may wait for the disk.
     */
    void persistFloors() {
        List<SavedFloor> floors = components.quotas().holder().floors();
        components.voter().execute(() -> {
            if (components.floors().write(floors)) {
                thread.execute(() -> components
                        .quotas()
                        .holder()
                        .onFloorsWritten(components.clock().now(), floors));
            }
        });
    }

    private Set<String> isolatedZones() {
        return components.outage() != null && components.outage().isolation().isIsolated()
                ? Set.of(components.self().zone())
                : Set.of();
    }

    /** Runs the leader's tasks, updates the links after a change, and broadcasts the status of a voter. */
    void runLeaderTasks() {
        long nowUs = components.clock().now();
        long previousVersion = components.committedConfig().current().version();
        components
                .leader()
                .tick(
                        nowUs,
                        components
                                .pools()
                                .updateAllocator(nowUs, components.evidence().moduleVerdicts(nowUs), isolatedZones()),
                        grant -> {
                            if (components.isSelf(grant.member())) {
                                dispatcher.grantReceived(grant);
                            } else {
                                components
                                        .links()
                                        .send(grant.member(), MessageKind.GRANT, HeartbeatMessage.encode(grant));
                            }
                        });
        if (components.committedConfig().current().version() != previousVersion || topology.votersChanged()) {
            topology.updateLinks();
            lastStatusUs = Long.MIN_VALUE / 2;
        }
        if (nowUs - lastStatusUs >= STATUS_INTERVAL_US
                && components
                        .voter()
                        .status()
                        .voters()
                        .contains(components.self().name())) {
            lastStatusUs = nowUs;
            topology.broadcastStatus();
        }
    }
}
