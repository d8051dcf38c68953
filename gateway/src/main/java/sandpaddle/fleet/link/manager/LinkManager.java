package sandpaddle.fleet.link.manager;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import sandpaddle.fleet.link.LinkSettings;
import sandpaddle.fleet.link.Links.LossReason;
import sandpaddle.fleet.link.MessageKind;
import sandpaddle.fleet.link.frame.Frame;
import sandpaddle.fleet.link.frame.RejectionCode;
import sandpaddle.fleet.member.Member;

/**
 * State machine of all links of one gateway: which peers to connect to and when, which greetings to accept, which of
 * two connections to a peer becomes the link, and when a link has ended. Connections and time are passed in, so that
 * the same code runs on sockets and in virtual time.
 *
 * <p>A connection becomes the link once both sides have proved that they receive each other. Greetings carry a
 * counter of their sender, which identifies the newer of two connections without clocks. Bounds: one link, one attempt
 * and one handshake for each peer; accepted connections by the settings. Cost: one map look-up for each event, one
 * pass over all connections for each tick.
 *
 * <p>Not thread-safe: {@code TcpLinks} calls it under its lock. Times are monotonic microseconds.
 */
public final class LinkManager {
    private final LinkSettings settings;
    private final GreetingValidator validator;
    final LinkTransport transport;
    final LinkEvents events;
    private final Map<Long, PeerConnection> connections = new LinkedHashMap<>(); // in order of creation
    final PeerTable peers;
    final LinkCounts.Counters counts = new LinkCounts.Counters();
    private final Handshake handshake;
    private long lastConnectionId;
    private long lastTickUs = Long.MIN_VALUE;

    /**
     * Creates the manager of a gateway without links.
     *
     * @param settings settings of the links
     * @param isMember whether a name is a member's
     * @param random source of the backoff's jitter
     * @param transport opens, writes and closes connections
     * @param events receives the events
     */
    public LinkManager(
            LinkSettings settings,
            Predicate<String> isMember,
            SplittableRandom random,
            LinkTransport transport,
            LinkEvents events) {
        this(
                settings,
                isMember,
                random,
                transport,
                events,
                GreetingValidator.MIN_VERSION,
                GreetingValidator.MAX_VERSION);
    }

    /** Creates a manager that supports other protocol versions. */
    LinkManager(
            LinkSettings settings,
            Predicate<String> isMember,
            SplittableRandom random,
            LinkTransport transport,
            LinkEvents events,
            int minVersion,
            int maxVersion) {
        this.settings = settings;
        peers = new PeerTable(settings, random);
        this.transport = transport;
        this.events = events;
        validator = new GreetingValidator(settings, isMember, minVersion, maxVersion);
        handshake = new Handshake(this, settings.self().name(), validator);
    }

    /** Sets the peers to keep links to. */
    public void setPeers(long nowUs, Set<Member> members) {
        peers.setRequired(members).forEach(peer -> dropUnneeded(nowUs, peer));
        startAttempts(nowUs);
    }

    private void dropUnneeded(long nowUs, Peer peer) {
        if (peer.outboundAttempt != null) {
            abandon(peer.outboundAttempt);
            peer.outboundAttempt = null;
        }
        if (peer.activeLink != null && peer.activeLink.isOutbound) {
            end(nowUs, peer.activeLink, LossReason.NOT_NEEDED, "no longer wanted", new Frame.Bye("no longer wanted"));
        }
        peers.removeIfUnused(peer);
    }

    private void startAttempts(long nowUs) {
        for (Peer peer : peers.dueForAttempt(nowUs)) {
            LinkSettings.Address address = settings.addressOverrides()
                    .getOrDefault(peer.name, new LinkSettings.Address(peer.required.host(), peer.required.port()));
            PeerConnection connection = new PeerConnection(
                    ++lastConnectionId, address.toString(), PeerConnection.State.CONNECTING, settings, nowUs);
            connection.peerName = peer.name;
            peer.outboundAttempt = connection;
            connections.put(connection.id, connection);
            counts.attempts++;
            transport.connect(connection.id, address);
        }
    }

    /** A peer connected. Returns the id of the connection, or 0 if it must be closed at once. */
    public long connectionAccepted(long nowUs, String address) {
        AcceptLimits limits = AcceptLimits.of(connections.values(), settings.bounds());
        if (limits.isFull()) {
            counts.evicted++;
            if (limits.oldestUnidentified().isEmpty()) {
                return 0;
            }
            close(limits.oldestUnidentified().get(), null); // connections without a greeting must not block others
        }
        PeerConnection connection =
                new PeerConnection(++lastConnectionId, address, PeerConnection.State.ACCEPTED, settings, nowUs);
        connections.put(connection.id, connection);
        return connection.id;
    }

    /** A connection attempt succeeded on the TCP level. */
    public void connectionEstablished(long nowUs, long connectionId) {
        PeerConnection connection = connections.get(connectionId);
        if (connection != null && connection.state == PeerConnection.State.CONNECTING) {
            connection.enter(PeerConnection.State.HELLO_SENT, nowUs);
            handshake.sendHello(nowUs, connection);
        }
    }

    /** Processes received bytes, split in any way. They may end this or another connection; the rest is ignored. */
    public void bytesReceived(long nowUs, long connectionId, ByteBuffer bytes) {
        PeerConnection connection = connections.get(connectionId);
        if (connection == null || !bytes.hasRemaining()) {
            return;
        }
        connection.bytesReceived(nowUs);
        connection
                .decoder
                .decode(bytes, body -> {
                    handshake.frameReceived(nowUs, connection, body);
                    return connection.state != PeerConnection.State.CLOSED;
                })
                .ifPresent(fault -> handshake.malformed(nowUs, connection, fault));
    }

    /** The next frame to write on a connection, or null. */
    public ByteBuffer nextFrame(long connectionId) {
        PeerConnection connection = connections.get(connectionId);
        return connection == null ? null : connection.nextFrame();
    }

    /** The peer accepted bytes; {@code allWritten}: all frames fetched so far were written completely. */
    public void bytesWritten(long nowUs, long connectionId, boolean allWritten) {
        PeerConnection connection = connections.get(connectionId);
        if (connection != null) {
            connection.bytesWritten(nowUs, allWritten);
        }
    }

    /** A connection ended, or an attempt failed. */
    public void connectionEnded(long nowUs, long connectionId, LossReason reason, String detail) {
        PeerConnection connection = connections.get(connectionId);
        if (connection != null) {
            end(nowUs, connection, reason, detail, null);
        }
    }

    /**
     * Queues a message for a peer. Returns false without a link, if the queue is full, or if the message is too long.
     */
    public boolean send(long nowUs, String peerName, MessageKind kind, byte[] payload) {
        Peer peer = peers.get(peerName);
        if (peer == null || peer.activeLink == null) {
            return false;
        }
        if (payload.length > settings.bounds().maxFrameBytes() - Frame.DATA_OVERHEAD_BYTES) {
            counts.oversized++;
            return false;
        }
        boolean accepted = peer.activeLink.offer(kind, payload, nowUs);
        counts.queueFull += accepted ? 0 : 1;
        if (accepted) {
            transport.framesQueued(peer.activeLink.id);
        }
        return accepted;
    }

    /**
     * Checks timeouts and starts attempts. Call it about forty times in the liveness timeout; {@code reading}:
     * whether connections were read since the last call.
     */
    public void tick(long nowUs, boolean reading) {
        boolean wasPaused = lastTickUs != Long.MIN_VALUE
                && nowUs - lastTickUs > settings.times().livenessTimeoutUs() / 2;
        lastTickUs = nowUs;
        for (PeerConnection connection : new ArrayList<>(connections.values())) {
            if (!reading) {
                connection.resetTimeouts(nowUs);
            } else if (wasPaused) {
                connection.extendTimeoutsAfterPause(nowUs);
            }
            connection
                    .checkTimeouts(nowUs)
                    .ifPresent(timeout -> end(
                            nowUs,
                            connection,
                            timeout.reason(),
                            timeout.detail(),
                            connection.state == PeerConnection.State.UP && timeout.reason() == LossReason.UNRESPONSIVE
                                    ? new Frame.Bye(settings.self().name() + ": " + timeout.detail())
                                    : null));
            if (connection.state == PeerConnection.State.UP && !validator.isMember(connection.peerName)) {
                String detail = connection.peerName + " is no member any more";
                end(nowUs, connection, LossReason.REJECTED, detail, new Frame.Rejected(RejectionCode.NAME, detail));
            }
            if (connection.sendPingIfDue(nowUs)) {
                transport.framesQueued(connection.id);
            }
        }
        startAttempts(nowUs);
    }

    /** Closes all connections with a last frame to the peers; the listener is not notified. */
    public void closeAll() {
        for (PeerConnection connection : new ArrayList<>(connections.values())) {
            close(
                    connection,
                    connection.state == PeerConnection.State.UP
                            ? new Frame.Bye(settings.self().name() + " leaves")
                            : null);
        }
        peers.clear();
    }

    /** The counters since the start. */
    public LinkCounts counts() {
        return counts.snapshot();
    }

    /** Closes a connection that a newer one made unnecessary, without notifying the listener. */
    void abandon(PeerConnection connection) {
        counts.abandoned++;
        close(connection, null);
    }

    /** Closes a connection after an optional last frame. */
    void close(PeerConnection connection, Frame finalFrame) {
        connection.state = PeerConnection.State.CLOSED;
        connections.remove(connection.id);
        transport.close(connection.id, finalFrame == null ? null : finalFrame.encode());
    }

    /** Makes a connection the link of its peer in place of another. */
    void replaceLink(long nowUs, Peer peer, PeerConnection replacement, String detail, Frame finalFrame) {
        close(peer.activeLink, finalFrame);
        peer.activeLink = replacement;
        counts.linksDown++;
        events.peerDown(peer.name, LossReason.CLOSED, detail);
    }

    /** Ends a connection, and notifies the listener if it was the link or an attempt. */
    void end(long nowUs, PeerConnection connection, LossReason reason, String detail, Frame finalFrame) {
        close(connection, finalFrame);
        Peer peer = peers.get(connection.peerName);
        if (peer == null) {
            return;
        }
        if (peer.activeLink == connection) {
            peer.activeLink = null;
            peer.linkLost(connection, nowUs);
            counts.linksDown++;
            peer.lastReportedLoss = reason;
            events.peerDown(peer.name, reason, detail);
        } else if (peer.outboundAttempt == connection) {
            peer.outboundAttempt = null;
            peer.scheduleRetry(nowUs);
            if (peer.activeLink == null && peer.lastReportedLoss != reason) {
                peer.lastReportedLoss = reason;
                events.peerDown(peer.name, reason, detail);
            }
        } else if (peer.inboundHandshake == connection) {
            peer.inboundHandshake = null;
        }
        peers.removeIfUnused(peer);
    }
}
