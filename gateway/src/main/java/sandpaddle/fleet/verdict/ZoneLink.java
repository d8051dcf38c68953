package sandpaddle.fleet.verdict;

/**
 * Whether a zone reaches the engines outside of it.
 *
 * @param zone name of the zone
 * @param state result of the evaluation
 * @param sinceUs start of the state in this gateway's monotonic time
 * @param confidence fraction of the zone's live gateways that agree, 0 to 1
 */
public record ZoneLink(String zone, State state, long sinceUs, double confidence) {
    /** Reachability of the engines outside a zone. */
    public enum State {
        /** There is too little evidence from its gateways. */
        UNKNOWN,
        /** Engines outside the zone answer its gateways. */
        CONNECTED,
        /**
         * At least half of its gateways get no answer from outside, while other zones reach engines or no other zone
         * is known.
         */
        ISOLATED,
        /**
         * Its gateways get no answer from outside, and no engine answers the other zones either: not a fault of its
         * link.
         */
        BLACKOUT
    }
}
