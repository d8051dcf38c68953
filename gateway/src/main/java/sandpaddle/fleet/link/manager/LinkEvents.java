package sandpaddle.fleet.link.manager;

import sandpaddle.fleet.link.Links;
import sandpaddle.fleet.link.frame.Refusal;

/** Listener for the events of the links, those for the log included. */
public interface LinkEvents extends Links.Listener {
    /**
     * This gateway refused a connection, or ended one before it was a link.
     *
     * @param address where it came from
     * @param who the name that it gave, cut; empty where it gave none
     */
    void refused(String address, String who, Refusal code, String why);
}
