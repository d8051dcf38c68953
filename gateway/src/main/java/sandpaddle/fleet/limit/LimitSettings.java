package sandpaddle.fleet.limit;

import java.util.Collections;
import java.util.EnumSet;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Settings of the fleet's limits.
 *
 * @param heartbeatUs between two heartbeats of a gateway (us)
 * @param leaseUs how long a gateway uses its quotas after sending the last confirmed heartbeat (us)
 * @param engineForgetUs how long an engine runs an attempt that is no longer polled (us)
 * @param nonIdempotentGraceUs how long attempts that are not idempotent may run on after the lease expired (us)
 * @param schedulingSlackUs how late a thread may run (us)
 * @param resendIntervalUs between two sends of the same message or proposal (us)
 * @param floorMaxAgeUs how old a stored floor may be that a restarted gateway uses (us)
 * @param clockDrift fraction by which a clock may be fast or slow, below 0.5
 * @param floorShare fraction of a limit that is reserved for floors
 * @param rebalanceBand fraction of its share that a gateway must lack before others are requested to give up quota
 * @param guards the rules that are enforced; all of them outside tests
 */
public record LimitSettings(
        long heartbeatUs,
        long leaseUs,
        long engineForgetUs,
        long nonIdempotentGraceUs,
        long schedulingSlackUs,
        long resendIntervalUs,
        long floorMaxAgeUs,
        double clockDrift,
        double floorShare,
        double rebalanceBand,
        Set<Guard> guards) {
    private static final long US_PER_MS = 1000;

    /** Used for settings that the operator's file omits. */
    public static final LimitSettings DEFAULTS = new LimitSettings(
            100 * US_PER_MS,
            6000 * US_PER_MS,
            2300 * US_PER_MS,
            0,
            200 * US_PER_MS,
            300 * US_PER_MS,
            30_000 * US_PER_MS,
            0.005,
            0.05,
            0.05,
            EnumSet.allOf(Guard.class));

    /**
     * Checks the settings.
     *
     * @throws IllegalArgumentException if a setting is out of its range
     */
    public LimitSettings {
        guards = Collections.unmodifiableSet(new LinkedHashSet<>(guards)); // immutable, since DEFAULTS is shared
        if (heartbeatUs <= 0
                || leaseUs < 2 * heartbeatUs
                || engineForgetUs < 0
                || nonIdempotentGraceUs < 0
                || schedulingSlackUs < 0
                || resendIntervalUs <= 0
                || floorMaxAgeUs < 0) {
            throw new IllegalArgumentException("fleet limits: heartbeat interval " + heartbeatUs
                    + " us and resend interval " + resendIntervalUs + " us must be above 0, lease " + leaseUs
                    + " us must be at least two heartbeat intervals, and no time may be negative");
        }
        if (!(clockDrift >= 0 && clockDrift < 0.5)
                || !(floorShare >= 0 && floorShare <= 1)
                || !(rebalanceBand >= 0 && rebalanceBand <= 1)) {
            throw new IllegalArgumentException(
                    "fleet limits: clock drift " + clockDrift + " must be at least 0 and below 0.5, floor share "
                            + floorShare + " and rebalance band " + rebalanceBand + " must be from 0 to 1");
        }
    }

    /** Whether this rule is enforced. */
    public boolean enforces(Guard guard) {
        return guards.contains(guard);
    }

    /** A copy that does not enforce one rule, for tests. */
    public LimitSettings without(Guard guard) {
        Set<Guard> remaining = new LinkedHashSet<>(guards);
        remaining.remove(guard);
        return new LimitSettings(
                heartbeatUs,
                leaseUs,
                engineForgetUs,
                nonIdempotentGraceUs,
                schedulingSlackUs,
                resendIntervalUs,
                floorMaxAgeUs,
                clockDrift,
                floorShare,
                rebalanceBand,
                remaining);
    }

    /** How long to wait by one clock so that {@code timeUs} has passed by every other (us). */
    public long onAnyClockUs(long timeUs) {
        return enforces(Guard.DRIFT) ? (long) Math.ceil(timeUs * (1 + clockDrift) / (1 - clockDrift)) : timeUs;
    }

    /** How long after a confirmed heartbeat a gateway may use its quotas (us). */
    public long validityUs() {
        return leaseUs + nonIdempotentGraceUs;
    }

    /**
     * How long after the last heartbeat of a gateway with these settings its quotas above the floor are unused (us).
     */
    public long reclaimDelayUs() {
        return reclaimDelayUs(validityUs());
    }

    /**
     * The same for a gateway that reported {@code reportedValidityUs} as its own lease and grace period (us). The
     * longer of the two validities counts, as the settings of the gateway may differ from the leader's.
     */
    public long reclaimDelayUs(long reportedValidityUs) {
        long forget = enforces(Guard.ENGINE_FORGETS) ? engineForgetUs : 0;
        return onAnyClockUs(Math.max(validityUs(), reportedValidityUs) + forget + schedulingSlackUs);
    }

    /** How long a process uses no quota after its start (us). */
    public long startupDelayUs() {
        return enforces(Guard.FRESH_START) ? onAnyClockUs(engineForgetUs + schedulingSlackUs) : 0;
    }
}
