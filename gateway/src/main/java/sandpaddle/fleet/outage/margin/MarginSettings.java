package sandpaddle.fleet.outage.margin;

/**
 * Bounds of what is learnt, in milliseconds: margins are from {@code minMs} to {@code maxMs}; {@code quantile} of
 * the earlier windows began no earlier, or ended no later, than the margin covers.
 */
public record MarginSettings(long minMs, long maxMs, double quantile) {
    public static final MarginSettings DEFAULT = new MarginSettings(30_000, 20 * 60_000, 0.9);

    public MarginSettings {
        if (minMs < 0 || maxMs < minMs || !(quantile > 0 && quantile <= 1)) {
            throw new IllegalArgumentException("margins from " + minMs + " to " + maxMs + " ms at " + quantile);
        }
    }

    long clip(long ms) {
        return Math.max(minMs, Math.min(maxMs, ms));
    }
}
