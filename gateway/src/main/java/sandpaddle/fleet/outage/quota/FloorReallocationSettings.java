package sandpaddle.fleet.outage.quota;

/**
 * Settings of the reallocation of quota floors before an outage.
 *
 * @param leaseMs longest time for which a gateway uses its quotas without an update
 * @param reclaimMs time after which the attempts that were started on a released quota have ended at the engines
 * @param slackMs additional time for agreement and for differences between clocks
 * @param maxFraction largest fraction of a limit that the floors of all zones with an expected outage may take together
 * @param minFloor floor that each gateway keeps if it had as much before
 */
public record FloorReallocationSettings(long leaseMs, long reclaimMs, long slackMs, double maxFraction, long minFloor) {
    /** At most half of a limit, 9.5 seconds before the earliest loss. */
    public static final FloorReallocationSettings DEFAULT = new FloorReallocationSettings(2000, 2500, 5000, 0.5, 1);

    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if a value is out of its range
     */
    public FloorReallocationSettings {
        if (leaseMs < 0 || reclaimMs < 0 || slackMs < 0 || !(maxFraction >= 0 && maxFraction <= 1) || minFloor < 0) {
            throw new IllegalArgumentException(
                    "floor reallocation settings out of range; expected none negative and maxFraction at most 1");
        }
    }

    /**
     * Returns how long before the earliest loss (ms) the reallocation begins: a quota must be returned by its holder
     * before another gateway gets it.
     */
    public long leadMs() {
        return leaseMs + reclaimMs + slackMs;
    }
}
