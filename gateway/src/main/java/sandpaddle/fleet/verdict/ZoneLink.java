package sandpaddle.fleet.verdict;

/**
 * Reachability of the engines outside a zone from the zone's gateways; immutable.
 *
 * @param zone name of the zone
 * @param state state that the evidence shows
 * @param sinceUs start of the state in this gateway's monotonic time
 * @param confidence fraction of the zone's live gateways that agree, 0 to 1
 */
public record ZoneLink(String zone, State state, long sinceUs, double confidence) {
    /** Reachability of the engines outside a zone. */
    public enum State {
        /** The zone's gateways reported too little evidence. */
        UNKNOWN,
        /** Engines outside the zone answer the zone's gateways. */
        CONNECTED,
        /**
         * At least half of the zone's gateways get no answer from outside, while gateways of other zones reach engines
         * or sent no evidence.
         */
        ISOLATED,
        /**
         * The zone's gateways get no answer from outside, and no engine answers the other zones either, so the zone's
         * link is not at fault.
         */
        BLACKOUT
    }
}
