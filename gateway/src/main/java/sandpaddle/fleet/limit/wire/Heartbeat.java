package sandpaddle.fleet.limit.wire;

import java.util.List;

/**
 * A gateway's heartbeat to the leader of the fleet.
 *
 * @param incarnation drawn by the gateway's process at its start; never 0
 * @param sequence incremented with each heartbeat of the process
 * @param session the session that the gateway's quotas belong to; 0 if it has none
 * @param leased whether the gateway has a valid lease
 * @param validityUs the gateway's own lease and grace period, as its settings may differ from the leader's (us)
 * @param epoch epoch of the limits that the gateway knows
 * @param reports the slots that changed or are in use, and some idle ones
 * @param instanceRequests instances of limits with wildcards that the gateway needs
 */
public record Heartbeat(
        long incarnation,
        long sequence,
        long session,
        boolean leased,
        long validityUs,
        long epoch,
        List<SlotReport> reports,
        List<InstanceRequest> instanceRequests) {
    /** Max number of slots in one heartbeat; a gateway with more reports them in turn. */
    public static final int MAX_REPORTS = 2048;
    /** Max number of idle slots in one heartbeat. */
    public static final int MAX_IDLE_REPORTS = 64;
    /** The longest lease and grace period of a gateway: an hour (us). */
    public static final long MAX_VALIDITY_US = 3_600_000_000L;
    /** Max number of instance requests in one heartbeat. */
    public static final int MAX_INSTANCE_REQUESTS = 64;
}
