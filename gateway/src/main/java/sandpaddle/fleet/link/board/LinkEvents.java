package sandpaddle.fleet.link.board;

import sandpaddle.fleet.link.Links;
import sandpaddle.fleet.link.frame.Refusal;

/** What whoever stands on the links hears, and what only the log does. */
public interface LinkEvents extends Links.Listener {
    /**
     * This gateway refused a connection, or ended one before it was a link.
     *
     * @param address where it came from
     * @param who the name that it gave, cut; empty where it gave none
     */
    void refused(String address, String who, Refusal code, String why);
}
