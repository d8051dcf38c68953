package sandpaddle.fleet.store;

import sandpaddle.fleet.store.StoreState.Condition;

/**
 * Tracks the health of a disk: when to probe it after a failure, whether it may be used again, and whether its syncs
 * are slow. Two kinds of hysteresis prevent flapping: more free space is required to open the store again than to keep
 * it open, and the interval between probes doubles while each recovery is followed by a failure within {@code
 * MAX_PROBE_STEPS} probe intervals. Not thread-safe. Times are in us.
 */
public final class DiskHealth {
    private static final int SLOW_RECOVERY_PROBES = 10; // probe intervals without a slow sync that end SLOW

    private final StoreSettings settings;
    private Condition condition;
    private String reason;
    private long nextProbeAtUs;
    private long probeBackoffUs;
    private long openedAtUs;
    private long slowSyncAtUs;
    private long slowSyncUs;
    private boolean isOpen;
    private boolean isSlow;

    /** Creates the state of a disk whose store is not open yet; the first probe is due immediately. */
    public DiskHealth(StoreSettings settings, long nowUs) {
        this.settings = settings;
        condition = Condition.CLOSED;
        reason = "not opened yet";
        nextProbeAtUs = nowUs;
        probeBackoffUs = settings.probeIntervalUs();
    }

    /** Records a failed operation: the disk is not used until the next probe. */
    public void onFailed(StoreException.Kind kind, String reason, long nowUs) {
        boolean failedSoon = isOpen && nowUs - openedAtUs < StoreSettings.MAX_PROBE_STEPS * settings.probeIntervalUs();
        boolean failedAgain = !isOpen && condition != Condition.CLOSED;
        probeBackoffUs = failedSoon || failedAgain
                ? Math.min(2 * probeBackoffUs, StoreSettings.MAX_PROBE_STEPS * settings.probeIntervalUs())
                : settings.probeIntervalUs();
        isOpen = false;
        isSlow = false;
        condition = switch (kind) {
            case FULL -> Condition.FULL;
            case READ_ONLY -> Condition.READ_ONLY;
            default -> Condition.FAILING;
        };
        this.reason = reason;
        nextProbeAtUs = nowUs + probeBackoffUs;
    }

    /** Whether the store is not open and a probe is due. */
    public boolean isProbeDue(long nowUs) {
        return !isOpen && nowUs - nextProbeAtUs >= 0;
    }

    /** Whether there is enough free space to open the store again (bytes). */
    public boolean hasEnoughSpace(long freeBytes) {
        return freeBytes >= settings.minFreeBytes();
    }

    /** Records that the probe was written and synced, and that the store was opened. */
    public void onOpened(long nowUs) {
        isOpen = true;
        openedAtUs = nowUs;
        condition = Condition.WORKING;
        reason = "";
    }

    /** Records a successful sync of the open store. */
    public void onSynced(long durationUs, long nowUs) {
        if (durationUs > settings.slowFsyncUs()) {
            isSlow = true;
            slowSyncAtUs = nowUs;
            slowSyncUs = durationUs;
        }
    }

    /** The current health. Call it again as time passes, because SLOW ends without another event. */
    public StoreState state(long nowUs) {
        if (!isOpen) {
            return new StoreState(condition, reason);
        }
        if (isSlow && nowUs - slowSyncAtUs >= SLOW_RECOVERY_PROBES * settings.probeIntervalUs()) {
            isSlow = false;
        }
        return isSlow
                ? new StoreState(
                        Condition.SLOW,
                        "a sync took " + slowSyncUs / 1000 + " ms, limit " + settings.slowFsyncUs() / 1000 + " ms")
                : StoreState.WORKING;
    }
}
