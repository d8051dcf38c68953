package sandpaddle.fleet.link.frame;

/** Why a handshake is rejected. The ordinal is the number on the wire: never reorder or remove a constant. */
public enum RejectionCode {
    /** No common protocol version. */
    VERSION,
    /** Another cluster. */
    CLUSTER,
    /** The name is not a member's, or is this gateway's own. */
    NAME,
    /** The peer tried to reach another gateway than the one at this address. */
    NOT_ME,
    /** A newer process with the same name has a link. */
    DUPLICATE,
    /** A newer connection of the same process has a link; not reported to listeners. */
    STALE,
    /** A reason of a later version. */
    OTHER;

    static RejectionCode of(long number) {
        return number >= 0 && number < values().length ? values()[(int) number] : OTHER;
    }
}
