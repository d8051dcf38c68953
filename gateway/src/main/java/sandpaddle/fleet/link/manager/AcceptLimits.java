package sandpaddle.fleet.link.manager;

import java.util.Collection;
import java.util.Optional;
import sandpaddle.fleet.link.LinkSettings;

/**
 * The limits of accepted connections at one time.
 *
 * @param isFull whether a limit is reached
 * @param oldestUnidentified the oldest accepted connection that has not sent its greeting
 */
record AcceptLimits(boolean isFull, Optional<PeerConnection> oldestUnidentified) {
    /** Evaluates the limits for all connections, given the oldest first. */
    static AcceptLimits of(Collection<PeerConnection> oldestFirst, LinkSettings.Bounds bounds) {
        int accepted = 0;
        int handshaking = 0;
        PeerConnection oldest = null;
        for (PeerConnection connection : oldestFirst) {
            accepted += connection.isOutbound ? 0 : 1;
            handshaking += connection.state == PeerConnection.State.ACCEPTED
                            || connection.state == PeerConnection.State.WELCOME_SENT
                    ? 1
                    : 0;
            oldest = oldest == null && connection.state == PeerConnection.State.ACCEPTED ? connection : oldest;
        }
        return new AcceptLimits(
                accepted >= bounds.maxAccepted() || handshaking >= bounds.maxHandshaking(),
                Optional.ofNullable(oldest));
    }
}
