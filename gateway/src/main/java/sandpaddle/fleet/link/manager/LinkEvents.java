package sandpaddle.fleet.link.manager;

import sandpaddle.fleet.link.Links;
import sandpaddle.fleet.link.frame.RejectionCode;

/** Listener for all link events, including those that are only logged. */
public interface LinkEvents extends Links.Listener {
    /**
     * A connection was rejected, or ended before it became a link.
     *
     * @param address remote address
     * @param claimedName name that the peer claimed, shortened; empty if none
     * @param code reason on the wire
     * @param detail description for the log
     */
    void connectionRejected(String address, String claimedName, RejectionCode code, String detail);
}
