package sandpaddle.fleet.link.manager;

import java.nio.ByteBuffer;
import java.util.Optional;
import sandpaddle.fleet.link.LinkSettings;
import sandpaddle.fleet.link.Links.LossReason;
import sandpaddle.fleet.link.MessageKind;
import sandpaddle.fleet.link.frame.Frame;
import sandpaddle.fleet.link.frame.FrameDecoder;
import sandpaddle.fleet.link.frame.Greeting;
import sandpaddle.fleet.link.queue.SendQueue;

/**
 * One connection to a peer: the state of its handshake, its send queue and its timeouts. Guarded by the lock of the
 * links.
 */
final class PeerConnection {
    /**
     * State of a connection. Outbound: CONNECTING, HELLO_SENT, UP, CLOSED; inbound: ACCEPTED, WELCOME_SENT, UP,
     * CLOSED.
     */
    enum State {
        /** The TCP connection is being established. */
        CONNECTING,
        /** The greeting was sent; the answer is outstanding. */
        HELLO_SENT,
        /** Accepted; the peer has not sent its greeting. */
        ACCEPTED,
        /** The greeting was answered; the peer has not proved that it received the answer. */
        WELCOME_SENT,
        /** The connection is the link of its peer. */
        UP,
        /** The connection has ended. */
        CLOSED
    }

    /** Why a connection has to end. */
    record Timeout(LossReason reason, String detail) {}

    private static final int RTT_SMOOTHING = 8; // weight of a measurement is 1/8, as in RFC 6298
    private static final int MAX_CONTROL_FRAMES = 16; // limit for a peer that pings faster than it reads the answers

    final long id;
    final String address;
    final FrameDecoder decoder = new FrameDecoder(Frame.MAX_GREETING_BYTES);
    final boolean isOutbound; // whether this gateway started it
    private final LinkSettings settings;
    private final SendQueue sendQueue;

    State state;
    String peerName = ""; // outbound: the peer to reach; inbound: the claimed name
    Greeting peerGreeting; // the peer's greeting or answer
    long upSinceUs;
    private long stateSinceUs;
    private long lastReceivedUs;
    private long lastQueuedUs;
    private long lastPingUs;
    private long sendStalledSinceUs = -1; // -1: nothing is queued, or the peer accepts bytes
    private boolean timeoutsExtended; // since the last byte was received
    private long roundTripUs;

    PeerConnection(long connectionId, String address, State state, LinkSettings settings, long nowUs) {
        id = connectionId;
        this.address = address;
        this.settings = settings;
        sendQueue = new SendQueue(
                settings.bounds().maxQueueBytes(), settings.bounds().maxQueueFrames());
        this.state = state;
        isOutbound = state == State.CONNECTING;
        stateSinceUs = nowUs;
        lastReceivedUs = nowUs;
    }

    void enter(State next, long nowUs) {
        state = next;
        stateSinceUs = nowUs;
        lastReceivedUs = nowUs;
        if (next == State.UP) {
            upSinceUs = nowUs;
        }
        if (next == State.UP || next == State.WELCOME_SENT) {
            decoder.setMaxBodyBytes(settings.bounds().maxFrameBytes());
        }
    }

    void offerControl(Frame frame, long nowUs) {
        sendQueue.offerControl(frame.encode());
        frameQueued(nowUs);
    }

    boolean offer(MessageKind kind, byte[] payload, long nowUs) {
        if (!sendQueue.hasCapacity(kind, payload.length + Frame.DATA_OVERHEAD_BYTES + FrameDecoder.HEADER_BYTES)) {
            return false; // checked first to avoid encoding a frame that would not be queued
        }
        boolean accepted = sendQueue.offer(kind, new Frame.Data(kind, payload).encode());
        frameQueued(nowUs);
        return accepted;
    }

    private void frameQueued(long nowUs) {
        lastQueuedUs = nowUs;
        sendStalledSinceUs = sendStalledSinceUs < 0 ? nowUs : sendStalledSinceUs;
    }

    ByteBuffer nextFrame() {
        return sendQueue.poll();
    }

    /** The peer accepted bytes; {@code allWritten}: all frames fetched so far were written completely. */
    void bytesWritten(long nowUs, boolean allWritten) {
        sendStalledSinceUs = allWritten && sendQueue.isEmpty() ? -1 : nowUs;
    }

    void bytesReceived(long nowUs) {
        lastReceivedUs = nowUs;
        timeoutsExtended = false;
    }

    /** Queues a ping if nothing was queued for a ping interval, and regularly to measure the round trip time. */
    boolean sendPingIfDue(long nowUs) {
        long pingIntervalUs = settings.times().pingIntervalUs();
        boolean due = state == State.UP || state == State.WELCOME_SENT;
        if (!due
                || nowUs - lastQueuedUs < pingIntervalUs && nowUs - lastPingUs < 4 * pingIntervalUs
                || sendQueue.controlFrames() > MAX_CONTROL_FRAMES) {
            return false;
        }
        lastPingUs = nowUs;
        offerControl(new Frame.Ping(nowUs), nowUs);
        return true;
    }

    boolean answerPing(Frame.Ping ping, long nowUs) {
        if (sendQueue.controlFrames() > MAX_CONTROL_FRAMES) {
            return false;
        }
        offerControl(new Frame.Pong(ping.stampUs()), nowUs);
        return true;
    }

    /** The smoothed round trip time (us), or 0 if the pong answers no ping of this link. */
    long updateRoundTrip(Frame.Pong pong, long nowUs) {
        if (pong.stampUs() > nowUs || pong.stampUs() < stateSinceUs) {
            return 0;
        }
        long sampleUs = Math.max(1, nowUs - pong.stampUs());
        roundTripUs = roundTripUs == 0 ? sampleUs : roundTripUs + (sampleUs - roundTripUs) / RTT_SMOOTHING;
        return Math.max(1, roundTripUs);
    }

    /**
     * Restarts the timeouts after this process did not run, since the peer is not to blame for that. Only once until
     * the next byte is received, because a process that is always late would never detect a failed peer.
     */
    void extendTimeoutsAfterPause(long nowUs) {
        if (!timeoutsExtended) {
            timeoutsExtended = true;
            resetTimeouts(nowUs);
        }
    }

    /** Restarts the timeouts while nothing is read from the connection. */
    void resetTimeouts(long nowUs) {
        lastReceivedUs = nowUs;
        sendStalledSinceUs = sendStalledSinceUs < 0 ? -1 : nowUs;
    }

    /** The timeout that has elapsed, if any. */
    Optional<Timeout> checkTimeouts(long nowUs) {
        LinkSettings.Times times = settings.times();
        return switch (state) {
            case CONNECTING ->
                nowUs - stateSinceUs < times.connectTimeoutUs()
                        ? Optional.empty()
                        : timeout(
                                LossReason.UNREACHABLE,
                                "no connection to " + address + " within " + formatMs(times.connectTimeoutUs()));
            case HELLO_SENT, ACCEPTED, WELCOME_SENT ->
                nowUs - stateSinceUs < times.handshakeTimeoutUs()
                        ? Optional.empty()
                        : timeout(
                                LossReason.UNREACHABLE,
                                "no handshake with " + address + " within " + formatMs(times.handshakeTimeoutUs()));
            case UP -> {
                if (nowUs - lastReceivedUs >= times.livenessTimeoutUs()) {
                    yield timeout(LossReason.UNRESPONSIVE, "nothing heard for " + formatMs(nowUs - lastReceivedUs));
                }
                yield sendStalledSinceUs < 0 || nowUs - sendStalledSinceUs < times.sendStallTimeoutUs()
                        ? Optional.empty()
                        : timeout(
                                LossReason.SEND_STALLED,
                                sendQueue.bytes() + " bytes queued, none accepted for "
                                        + formatMs(nowUs - sendStalledSinceUs));
            }
            case CLOSED -> Optional.empty();
        };
    }

    private static Optional<Timeout> timeout(LossReason reason, String detail) {
        return Optional.of(new Timeout(reason, detail));
    }

    private static String formatMs(long durationUs) {
        return durationUs / 1000 + " ms";
    }
}
