package sandpaddle.fleet.node;

import java.nio.charset.StandardCharsets;
import org.tinylog.Logger;
import sandpaddle.fleet.limit.wire.QuotaGrant;
import sandpaddle.fleet.link.Links;
import sandpaddle.fleet.link.MessageKind;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.node.wire.HeartbeatMessage;
import sandpaddle.fleet.node.wire.StatusMessage;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;

/**
 * Passes the messages and events of the links to the components that handle them. A message that cannot be decoded is
 * logged and dropped. Owned by the fleet's thread.
 */
final class MessageDispatcher implements Links.Listener {
    private final FleetTopology topology;
    private NodeComponents components;
    private PeriodicTasks periodicTasks;

    MessageDispatcher(FleetTopology topology) {
        this.topology = topology;
    }

    /** Sets the components, which are created after this object. */
    void start(NodeComponents all, PeriodicTasks tasks) {
        components = all;
        periodicTasks = tasks;
    }

    @Override
    public void messageReceived(String from, MessageKind kind, byte[] payload) {
        try {
            dispatch(from, kind, payload);
        } catch (FaultyMessageException e) {
            Logger.warn(
                    "fleet: dropped a message of kind {} from {} that cannot be decoded: {}",
                    kind,
                    from,
                    e.getMessage());
        }
    }

    private void dispatch(String from, MessageKind kind, byte[] payload) throws FaultyMessageException {
        long nowUs = components.clock().now();
        if (components.outage() != null && !components.self().zone().equals(topology.zoneOf(from))) {
            components.outage().recordOutsideContact(nowUs);
        }
        switch (kind) {
            case RAFT -> {
                if (components.voter() != null) {
                    components.voter().receive(from, payload);
                }
            }
            case HEARTBEAT -> heartbeatReceived(nowUs, from, HeartbeatMessage.decode(payload));
            case GRANT -> grantReceived(HeartbeatMessage.decodeGrant(payload));
            case EVIDENCE -> components.evidence().batchReceived(nowUs, from, payload);
            case PROPOSAL -> components.committedConfig().offer(new String(payload, StandardCharsets.US_ASCII));
            case STATUS -> topology.statusReceived(StatusMessage.decode(payload));
            case CONTENT -> {
                if (components.outage() != null && components.self().zone().equals(topology.zoneOf(from))) {
                    components.outage().received(from, payload);
                }
            }
            default -> {} // a kind that this version does not handle
        }
    }

    /** Passes a heartbeat to the leader, if this gateway is a voter. */
    void heartbeatReceived(long nowUs, String from, HeartbeatMessage message) {
        topology.configVersionReported(from, message.configVersion());
        if (components.leader() != null) {
            components.leader().onHeartbeat(nowUs, from, message.heartbeat());
        }
    }

    /** Applies a quota grant of the leader: publishes the view at once and wakes the event loop. */
    void grantReceived(QuotaGrant grant) {
        components.quotas().receiveGrant(components.clock().now(), grant);
        periodicTasks.publish();
        components.wake().run();
    }

    @Override
    public void peerUp(Member peer, long incarnation) {
        long nowUs = components.clock().now();
        topology.peerUp(peer.name());
        components
                .evidence()
                .linkUp(
                        peer.name(),
                        incarnation,
                        nowUs - components.settings().links().handshakeTimeoutUs());
        if (components.outage() != null) {
            components.outage().peerUp(peer.name());
        }
        if (components.leader() != null) {
            components.leader().onLinkUp(peer.name(), nowUs);
        }
        Logger.info("fleet: link to {} of zone {} is up", peer.name(), peer.zone());
    }

    @Override
    public void peerDown(String peer, Links.LossReason reason, String detail) {
        boolean wasUp = topology.peerDown(peer);
        components.evidence().linkDown(peer);
        if (components.outage() != null) {
            components.outage().peerDown(peer);
        }
        if (components.leader() != null) {
            components.leader().onLinkDown(peer);
        }
        if (wasUp || reason == Links.LossReason.REJECTED) {
            Logger.warn("fleet: link to {} is down: {} ({})", peer, reason.logName(), detail);
        }
    }
}
