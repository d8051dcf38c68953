package sandpaddle.fleet.limit.wire;

import java.util.List;
import sandpaddle.fleet.limit.LimitSpec;

/**
 * Quotas that the leader grants to one process of a gateway.
 *
 * @param member name of the gateway
 * @param incarnation the process that the grant is for; another one ignores it
 * @param session the session that the quotas belong to
 * @param confirmedSequence the latest heartbeat of this session that the leader confirms; 0 for none. The gateway's
 *     lease is renewed as of when it sent that heartbeat
 * @param epoch epoch of the limits in force
 * @param includesLimits whether {@code limits} has all limits of {@code epoch}; else it is empty
 * @param limits the limits in force, including instances
 * @param slotGrants the quotas that the gateway has not acknowledged yet
 */
public record QuotaGrant(
        String member,
        long incarnation,
        long session,
        long confirmedSequence,
        long epoch,
        boolean includesLimits,
        List<LimitSpec> limits,
        List<SlotGrant> slotGrants) {
    /** Max number of slots in one grant; the rest follow in the next one. */
    public static final int MAX_SLOTS = 2048;
}
