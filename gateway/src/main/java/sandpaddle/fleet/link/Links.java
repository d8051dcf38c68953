package sandpaddle.fleet.link;

import java.util.Set;
import sandpaddle.fleet.member.Member;

/**
 * Messages between gateways. The fleet's components depend on this interface alone, so that tests replace the sockets
 * by a network in virtual time.
 */
public interface Links {
    /** Listener for the events of all links. All calls come from one thread, the fleet's. */
    interface Listener {
        /** Receives a message of a peer; the handshake has verified that {@code from} is a member. */
        void messageReceived(String from, MessageKind kind, byte[] payload);

        /** A link came up. A changed {@code incarnation} shows that the peer's process was restarted. */
        void peerUp(Member peer, long incarnation);

        /**
         * A link ended. Also called if a connection attempt to a peer without a link fails for another reason than
         * the attempt before.
         */
        void peerDown(String peer, LossReason reason, String detail);

        /** The smoothed round trip time (us) of a link, after each answered ping. */
        default void roundTripMeasured(String peer, long roundTripUs) {}
    }

    /** Why a link ended or an attempt failed. */
    enum LossReason {
        /** The peer's host refused the connection. */
        REFUSED("REFUSED"),
        /** No connection, or no handshake, within the timeout. */
        UNREACHABLE("UNREACHABLE"),
        /** The peer reset or closed the connection. */
        CLOSED("CLOSED"),
        /** No byte was received within the liveness timeout: half-open, process stopped, or one direction cut. */
        UNRESPONSIVE("SILENT"),
        /** The peer accepted none of the queued bytes within the send timeout. */
        SEND_STALLED("CLOGGED"),
        /** A frame or message could not be decoded. */
        MALFORMED("MALFORMED"),
        /** This gateway or the peer rejected the other's version, cluster or name. */
        REJECTED("REJECTED"),
        /** This gateway no longer needs the link. */
        NOT_NEEDED("UNWANTED");

        private final String logName;

        LossReason(String logName) {
            this.logName = logName;
        }

        /** The name of this reason in log lines; independent of the constant's name. */
        public String logName() {
            return logName;
        }
    }

    /**
     * Queues a message. It is lost if the link ends before it was sent.
     *
     * @return whether it was queued: false without a link to the peer, if the queue is full, or if the message is too
     *     long
     */
    boolean send(String to, MessageKind kind, byte[] payload);

    /** Sets the peers to keep a link to. Links to other peers that this gateway opened are closed. */
    void setPeers(Set<Member> peers);
}
