package sandpaddle.fleet.outage.quota;

/**
 * How floors are moved for outages.
 *
 * @param leaseMs a gateway uses its quotas so long at most without being told of others
 * @param reclaimMs attempts begun on a quota have ended at the engines so long after it was given up
 * @param slackMs for the agreement itself, and for clocks
 * @param maxShare of a limit that the floors of all zones about to be cut off may take together
 * @param minEach floor that every gateway keeps that had as much before
 */
public record QuotaShiftSettings(long leaseMs, long reclaimMs, long slackMs, double maxShare, long minEach) {
    public static final QuotaShiftSettings DEFAULT = new QuotaShiftSettings(2000, 2500, 5000, 0.5, 1);

    public QuotaShiftSettings {
        if (leaseMs < 0 || reclaimMs < 0 || slackMs < 0 || !(maxShare >= 0 && maxShare <= 1) || minEach < 0) {
            throw new IllegalArgumentException("settings of moved floors out of bounds");
        }
    }

    /** How long (ms) before the loss moving begins: what others hold must be back before it is another's. */
    public long leadMs() {
        return leaseMs + reclaimMs + slackMs;
    }
}
