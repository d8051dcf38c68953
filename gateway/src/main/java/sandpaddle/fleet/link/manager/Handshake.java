package sandpaddle.fleet.link.manager;

import java.util.Optional;
import sandpaddle.fleet.link.Links.LossReason;
import sandpaddle.fleet.link.frame.Frame;
import sandpaddle.fleet.link.frame.Greeting;
import sandpaddle.fleet.link.frame.RejectionCode;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;

/**
 * The handshake and the effect of each frame on its connection. Three frames establish a link: the greeting of the
 * connecting side, the answer, and any frame that the connecting side sends next, which proves that it received the
 * answer. Guarded by the lock of the links.
 */
final class Handshake {
    private final LinkManager manager;
    private final String self;
    private final GreetingValidator validator;

    Handshake(LinkManager manager, String self, GreetingValidator validator) {
        this.manager = manager;
        this.self = self;
        this.validator = validator;
    }

    void sendHello(long nowUs, PeerConnection connection) {
        send(nowUs, connection, new Frame.Hello(validator.hello(connection.peerName)));
    }

    private void send(long nowUs, PeerConnection connection, Frame frame) {
        connection.offerControl(frame, nowUs);
        manager.transport.framesQueued(connection.id);
    }

    void malformed(long nowUs, PeerConnection connection, String fault) {
        String claimedName = connection.peerName.isEmpty()
                ? connection.address
                : connection.peerName + " (" + connection.address + ")";
        protocolError(nowUs, connection, LossReason.MALFORMED, claimedName + ": " + fault);
    }

    /** Ends a connection after a violation of the protocol. */
    private void protocolError(long nowUs, PeerConnection connection, LossReason reason, String detail) {
        if (connection.state == PeerConnection.State.ACCEPTED
                || connection.state == PeerConnection.State.WELCOME_SENT) {
            manager.counts.rejected++;
            manager.events.connectionRejected(connection.address, connection.peerName, RejectionCode.OTHER, detail);
        }
        Frame finalFrame = connection.state == PeerConnection.State.UP ? new Frame.Bye(self + ": " + detail) : null;
        manager.end(nowUs, connection, reason, detail, finalFrame);
    }

    void frameReceived(long nowUs, PeerConnection connection, byte[] body) {
        try {
            Frame frame = Frame.decode(body);
            switch (connection.state) {
                case HELLO_SENT -> onHelloSent(nowUs, connection, frame);
                case ACCEPTED -> onAccepted(nowUs, connection, frame);
                case WELCOME_SENT -> onWelcomeSent(nowUs, connection, frame);
                case UP -> onUp(nowUs, connection, frame);
                default -> {} // closed by an earlier frame
            }
        } catch (FaultyMessageException e) {
            malformed(nowUs, connection, e.getMessage());
        }
    }

    private void onHelloSent(long nowUs, PeerConnection connection, Frame frame) throws FaultyMessageException {
        if (frame instanceof Frame.Welcome welcome) {
            Optional<GreetingValidator.Rejection> rejection =
                    validator.validateWelcome(welcome.from(), connection.peerName);
            if (rejection.isPresent()) {
                manager.end(
                        nowUs,
                        connection,
                        LossReason.REJECTED,
                        rejection.get().detail(),
                        new Frame.Rejected(
                                rejection.get().code(), rejection.get().detail()));
                return;
            }
            connection.peerGreeting = welcome.from();
            makeLink(nowUs, connection);
            send(nowUs, connection, new Frame.Ping(nowUs)); // once the peer receives it, its side of the link is up
        } else if (frame instanceof Frame.Rejected rejected) {
            rejectedByPeer(nowUs, connection, rejected);
        } else if (!(frame instanceof Frame.Unknown)) {
            throw new FaultyMessageException(
                    "unexpected " + frame.getClass().getSimpleName() + " frame; expected the answer to the greeting");
        }
    }

    private void rejectedByPeer(long nowUs, PeerConnection connection, Frame.Rejected rejected) {
        if (rejected.code() == RejectionCode.STALE) {
            Peer peer = manager.peers.getOrCreate(connection.peerName);
            peer.outboundAttempt = null;
            peer.scheduleRetry(nowUs); // if the newer connection does not become the link, the attempt is repeated
            manager.abandon(connection);
        } else {
            manager.end(
                    nowUs,
                    connection,
                    LossReason.REJECTED,
                    connection.peerName + " rejected this gateway: " + rejected.code() + ": "
                            + printable(rejected.reason()),
                    null);
        }
    }

    private void onAccepted(long nowUs, PeerConnection connection, Frame frame) throws FaultyMessageException {
        if (!(frame instanceof Frame.Hello hello)) {
            throw new FaultyMessageException(
                    "unexpected " + frame.getClass().getSimpleName() + " frame; expected a greeting");
        }
        Greeting peerGreeting = hello.from();
        Optional<GreetingValidator.Rejection> rejection =
                validator.validateHello(peerGreeting).or(() -> checkNotOlder(peerGreeting));
        if (rejection.isPresent()) {
            reject(connection, peerGreeting, rejection.get());
            return;
        }
        Peer peer = manager.peers.getOrCreate(peerGreeting.member().name());
        if (peer.inboundHandshake != null) {
            manager.abandon(peer.inboundHandshake);
        }
        if (peer.outboundAttempt != null && yieldsToPeer(peer)) {
            manager.abandon(peer.outboundAttempt);
            peer.outboundAttempt = null;
            peer.scheduleRetry(nowUs);
        }
        peer.inboundHandshake = connection;
        connection.peerName = peer.name;
        connection.peerGreeting = peerGreeting;
        connection.enter(PeerConnection.State.WELCOME_SENT, nowUs);
        send(nowUs, connection, new Frame.Welcome(validator.welcome(peerGreeting)));
    }

    /**
     * Resolves simultaneous connections: of two greetings in flight, the one of the smaller name wins; an attempt that
     * has not sent its greeting always yields. So each side has sent its greeting before its answer to the other's, and
     * both sides choose the same connection by the sequence numbers.
     */
    private boolean yieldsToPeer(Peer peer) {
        return peer.outboundAttempt.state == PeerConnection.State.CONNECTING || self.compareTo(peer.name) > 0;
    }

    private void reject(PeerConnection connection, Greeting peerGreeting, GreetingValidator.Rejection rejection) {
        if (rejection.code() == RejectionCode.STALE) {
            manager.counts.abandoned++;
        } else {
            manager.counts.rejected++;
            manager.events.connectionRejected(
                    connection.address,
                    GreetingValidator.printable(peerGreeting.member().name()),
                    rejection.code(),
                    rejection.detail());
        }
        manager.close(connection, new Frame.Rejected(rejection.code(), rejection.detail()));
    }

    /**
     * Rejects a greeting older than that of the current link or handshake: one of an older process, or an older one
     * of the same process.
     */
    private Optional<GreetingValidator.Rejection> checkNotOlder(Greeting peerGreeting) {
        Peer peer = manager.peers.get(peerGreeting.member().name());
        PeerConnection other = peer == null ? null : peer.activeLink != null ? peer.activeLink : peer.inboundHandshake;
        if (other == null) {
            return Optional.empty();
        }
        Greeting newer = other.peerGreeting;
        if (peerGreeting.incarnation() < newer.incarnation()) {
            return Optional.of(new GreetingValidator.Rejection(
                    RejectionCode.DUPLICATE,
                    "a newer process named " + peer.name
                            + " is linked to "
                            + self + ": incarnation " + newer.incarnation() + ", not " + peerGreeting.incarnation()));
        }
        return peerGreeting.incarnation() == newer.incarnation() && peerGreeting.sequence() < newer.sequence()
                ? Optional.of(new GreetingValidator.Rejection(RejectionCode.STALE, "a newer connection is linked"))
                : Optional.empty();
    }

    /** The peer received the answer: it either rejects it or has its link from now on. */
    private void onWelcomeSent(long nowUs, PeerConnection connection, Frame frame) throws FaultyMessageException {
        Peer peer = manager.peers.getOrCreate(connection.peerName);
        Optional<GreetingValidator.Rejection> rejection =
                peer.activeLink == null ? Optional.empty() : checkNotOlder(connection.peerGreeting);
        if (frame instanceof Frame.Rejected rejected) {
            manager.counts.rejected++;
            manager.events.connectionRejected(
                    connection.address,
                    connection.peerName,
                    rejected.code(),
                    "rejected by " + connection.peerName + ": " + printable(rejected.reason()));
            manager.end(nowUs, connection, LossReason.REJECTED, "rejected by the peer", null);
        } else if (rejection.isPresent()) {
            peer.inboundHandshake = peer.inboundHandshake == connection ? null : peer.inboundHandshake;
            reject(connection, connection.peerGreeting, rejection.get());
        } else {
            makeLink(nowUs, connection);
            onUp(nowUs, connection, frame);
        }
    }

    private static String printable(String reason) {
        return reason.replaceAll("[^ -~]", "?"); // the length is bounded by the frame
    }

    /** Makes a connection the link of its peer; it replaces the previous link. */
    private void makeLink(long nowUs, PeerConnection connection) {
        Peer peer = manager.peers.getOrCreate(connection.peerName);
        connection.enter(PeerConnection.State.UP, nowUs);
        peer.outboundAttempt = peer.outboundAttempt == connection ? null : peer.outboundAttempt;
        peer.inboundHandshake = peer.inboundHandshake == connection ? null : peer.inboundHandshake;
        if (peer.activeLink != null) {
            boolean restarted = peer.activeLink.peerGreeting.incarnation() != connection.peerGreeting.incarnation();
            String detail = restarted
                    ? "a newer process named " + peer.name + " has connected: incarnation "
                            + connection.peerGreeting.incarnation() + " after "
                            + peer.activeLink.peerGreeting.incarnation()
                    : "the peer has connected anew";
            manager.replaceLink(
                    nowUs,
                    peer,
                    connection,
                    detail,
                    restarted
                            ? new Frame.Rejected(RejectionCode.DUPLICATE, detail)
                            : new Frame.Bye(self + ": " + detail));
        }
        if (peer.outboundAttempt != null) {
            manager.abandon(peer.outboundAttempt);
            peer.outboundAttempt = null;
        }
        peer.activeLink = connection;
        peer.lastReportedLoss = null;
        manager.counts.linksUp++;
        manager.events.peerUp(connection.peerGreeting.member(), connection.peerGreeting.incarnation());
    }

    private void onUp(long nowUs, PeerConnection connection, Frame frame) throws FaultyMessageException {
        if (frame instanceof Frame.Data data) {
            manager.events.messageReceived(connection.peerName, data.kind(), data.payload());
        } else if (frame instanceof Frame.Ping ping) {
            if (connection.answerPing(ping, nowUs)) {
                manager.transport.framesQueued(connection.id);
            }
        } else if (frame instanceof Frame.Pong pong) {
            long roundTripUs = connection.updateRoundTrip(pong, nowUs);
            if (roundTripUs > 0) {
                manager.events.roundTripMeasured(connection.peerName, roundTripUs);
            }
        } else if (frame instanceof Frame.Bye bye) {
            manager.end(nowUs, connection, LossReason.CLOSED, "closed by the peer: " + printable(bye.reason()), null);
        } else if (frame instanceof Frame.Rejected rejected) {
            manager.end(
                    nowUs,
                    connection,
                    LossReason.REJECTED,
                    connection.peerName + " rejected this gateway: " + rejected.code() + ": "
                            + printable(rejected.reason()),
                    null);
        } else if (frame instanceof Frame.Unknown) {
            manager.counts.unknownFrames++;
        } else {
            throw new FaultyMessageException("a greeting on a link that is up");
        }
    }
}
