package sandpaddle.fleet.store;

/**
 * Settings of a store.
 *
 * @param maxBytes maximum size of log, snapshots and values, with 64 bytes of overhead for each record
 * @param minFreeBytes free disk space required to open the store; at least twice {@code maxBytes}, since opening it
 *     rewrites the content
 * @param slowFsyncUs a longer sync makes the store SLOW (us)
 * @param probeIntervalUs delay from a failure to the first probe (us); it doubles, up to {@link #MAX_PROBE_STEPS} times
 *     this value, while a probe fails or the store fails again soon after it
 */
public record StoreSettings(long maxBytes, long minFreeBytes, long slowFsyncUs, long probeIntervalUs) {
    /** The longest interval between probes, as a multiple of {@code probeIntervalUs}. */
    public static final int MAX_PROBE_STEPS = 16;

    private static final long MIN_BYTES = 64 << 10;
    private static final long MAX_BYTES = 256L << 20; // a heap of 128 MB holds only part of such a store
    private static final long MAX_TIME_US = 3_600_000_000L;

    /** For a fleet of a hundred gateways: a log of a few MB, and a disk with syncs of a few ms. */
    public static final StoreSettings DEFAULTS = new StoreSettings(32L << 20, 64L << 20, 500_000, 1_000_000);

    /** Checks the bounds of all settings. */
    public StoreSettings {
        check("most_bytes", maxBytes, MIN_BYTES, MAX_BYTES);
        check("room_bytes", minFreeBytes, 2 * maxBytes, Long.MAX_VALUE);
        check("slow_fsync", slowFsyncUs, 1, MAX_TIME_US);
        check("probe", probeIntervalUs, 1, MAX_TIME_US);
    }

    private static void check(String name, long value, long min, long max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(name + " is " + value + ", not from " + min + " to " + max);
        }
    }
}
