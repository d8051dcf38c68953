package sandpaddle.fleet.node;

import java.nio.charset.StandardCharsets;
import org.tinylog.Logger;
import sandpaddle.fleet.limit.wire.Grant;
import sandpaddle.fleet.link.Kind;
import sandpaddle.fleet.link.Links;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.node.wire.HeartbeatMessage;
import sandpaddle.fleet.node.wire.StatusMessage;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;

/** What comes over the links, handed to the part that it is for. A message that cannot be used is named and dropped. */
final class MessageDispatcher implements Links.Listener {
    private final FleetTopology course;
    private NodeComponents parts;
    private PeriodicTasks rounds;

    MessageDispatcher(FleetTopology course) {
        this.course = course;
    }

    void begin(NodeComponents all, PeriodicTasks its) {
        parts = all;
        rounds = its;
    }

    @Override
    public void received(String from, Kind kind, byte[] payload) {
        try {
            take(from, kind, payload);
        } catch (FaultyMessageException e) {
            Logger.warn("fleet: dropped a message {} from {}: {}", kind, from, e.getMessage());
        }
    }

    private void take(String from, Kind kind, byte[] payload) throws FaultyMessageException {
        long now = parts.clock().now();
        if (parts.outage() != null && !parts.self().hall().equals(course.hallOf(from))) {
            parts.outage().heardOutside(now);
        }
        switch (kind) {
            case RAFT -> {
                if (parts.voter() != null) {
                    parts.voter().received(from, payload);
                }
            }
            case BEAT -> beaten(now, from, HeartbeatMessage.decode(payload));
            case GRANT -> granted(HeartbeatMessage.grant(payload));
            case EVIDENCE -> parts.evidence().received(now, from, payload);
            case PROPOSAL -> parts.ruling().offer(new String(payload, StandardCharsets.US_ASCII));
            case NEWS -> course.heard(StatusMessage.decode(payload));
            case CONTENT -> {
                if (parts.outage() != null && parts.self().hall().equals(course.hallOf(from))) {
                    parts.outage().received(from, payload);
                }
            }
            default -> { } // of no use here
        }
    }

    void beaten(long now, String from, HeartbeatMessage m) {
        course.goesBy(from, m.ruling());
        if (parts.leading() != null) {
            parts.leading().beat(now, from, m.beat());
        }
    }

    /** Rights from the leader: into the view at once, and the loop looks. */
    void granted(Grant grant) {
        parts.rights().granted(parts.clock().now(), grant);
        rounds.publish();
        parts.wake().run();
    }

    @Override
    public void up(Member peer, long incarnation) {
        long now = parts.clock().now();
        course.up(peer.name());
        parts.evidence().up(peer.name(), incarnation, now - parts.settings().links().greetUs()); // began after that
        if (parts.outage() != null) {
            parts.outage().up(peer.name());
        }
        if (parts.leading() != null) {
            parts.leading().met(peer.name(), now);
        }
        Logger.info("fleet: link to {} of hall {} is up", peer.name(), peer.hall());
    }

    @Override
    public void down(String peer, Links.Loss how, String why) {
        boolean was = course.down(peer);
        parts.evidence().down(peer);
        if (parts.outage() != null) {
            parts.outage().down(peer);
        }
        if (parts.leading() != null) {
            parts.leading().lost(peer);
        }
        if (was || how == Links.Loss.REJECTED) {
            Logger.warn("fleet: link to {} is down: {} ({})", peer, how, why);
        }
    }
}
