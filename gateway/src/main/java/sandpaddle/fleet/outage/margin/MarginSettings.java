package sandpaddle.fleet.outage.margin;

/**
 * Bounds of the learned margins around outage windows.
 *
 * @param minMs shortest margin, in milliseconds; also the margin of a rule without history
 * @param maxMs longest margin, in milliseconds
 * @param quantile fraction of the earlier windows that a margin covers, above 0 and at most 1
 */
public record MarginSettings(long minMs, long maxMs, double quantile) {
    /** Margins from 30 seconds to 20 minutes that cover nine of ten windows. */
    public static final MarginSettings DEFAULT = new MarginSettings(30_000, 20 * 60_000, 0.9);

    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if a value is out of its range
     */
    public MarginSettings {
        if (minMs < 0 || maxMs < minMs || !(quantile > 0 && quantile <= 1)) {
            throw new IllegalArgumentException("invalid margins: minMs " + minMs + ", maxMs " + maxMs + ", quantile "
                    + quantile + "; expected 0 <= minMs <= maxMs and 0 < quantile <= 1");
        }
    }

    long clamp(long valueMs) {
        return Math.max(minMs, Math.min(maxMs, valueMs));
    }
}
