package sandpaddle.fleet.limit.table;

/**
 * A gateway that may have quotas, as the voters agreed on it.
 *
 * @param name the gateway
 * @param zone zone of the gateway
 * @param incarnation the gateway's current process; 0 before the first
 * @param formerIncarnation the process before it; 0 for none
 * @param session incremented by each reclaim and each new process: quotas and renewals of an older one are void
 * @param leaving whether the gateway gives up its floors too and is then removed
 * @param validityUs how long the process uses its quotas after a confirmed heartbeat, by its own settings (us)
 */
public record GatewayRow(
        String name,
        String zone,
        long incarnation,
        long formerIncarnation,
        long session,
        boolean leaving,
        long validityUs) {
    private static final long FIRST_SESSION = 1;

    /** A gateway that joins for the first time. */
    static GatewayRow joined(String name, String zone) {
        return new GatewayRow(name, zone, 0, 0, FIRST_SESSION, false, 0);
    }

    /** This gateway after another join: perhaps in another zone, and no longer leaving. */
    GatewayRow rejoined(String nextZone) {
        return new GatewayRow(name, nextZone, incarnation, formerIncarnation, session, false, validityUs);
    }

    GatewayRow markedLeaving() {
        return new GatewayRow(name, zone, incarnation, formerIncarnation, session, true, validityUs);
    }

    /** This gateway with a new process, which begins a new session. */
    GatewayRow restarted(long nextIncarnation, long nextValidityUs) {
        return new GatewayRow(name, zone, nextIncarnation, incarnation, session + 1, leaving, nextValidityUs);
    }

    /** This gateway in the session after a reclaim. */
    GatewayRow reclaimed() {
        return new GatewayRow(name, zone, incarnation, formerIncarnation, session + 1, leaving, validityUs);
    }
}
