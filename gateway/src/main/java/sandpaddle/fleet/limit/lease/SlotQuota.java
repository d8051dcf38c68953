package sandpaddle.fleet.limit.lease;

import sandpaddle.fleet.limit.Guard;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.wire.SlotGrant;
import sandpaddle.fleet.limit.wire.SlotReport;

/**
 * The quota of one slot of this gateway. Under one version it only shrinks. Not thread-safe: owned by the thread of
 * {@link QuotaHolder}.
 */
final class SlotQuota {
    private static final long NEVER = Long.MIN_VALUE;

    // heartbeats that report a change: one may be lost, and the leader adopts a step of demand with the second report
    private static final int REPORTS_PER_CHANGE = 3;

    long version;
    private SlotReport lastReport;
    private int remainingReports;
    private long ceiling; // never exceeded again under this version
    private long floor; // never exceeded again without a lease
    private long targetCeiling;
    private long targetFloor;
    private long floorWrittenAtUs = NEVER; // when the reduced floor was on disk (us)

    SlotQuota(long floor) {
        this.floor = floor;
        ceiling = floor;
        targetCeiling = floor;
        targetFloor = floor;
    }

    /** Applies a granted quota; one of an older or the same version cannot raise anything. */
    void apply(SlotGrant grant, LimitSettings settings) {
        remainingReports = REPORTS_PER_CHANGE;
        if (grant.version() < version && settings.enforces(Guard.VERSION)) {
            return;
        }
        if (grant.version() != version || !settings.enforces(Guard.VERSION)) {
            version = grant.version();
            ceiling = grant.ceiling();
            floor = grant.floor();
        }
        targetCeiling = Math.min(grant.targetCeiling(), grant.ceiling());
        if (grant.targetFloor() != targetFloor) {
            floorWrittenAtUs = NEVER;
        }
        targetFloor = Math.min(grant.targetFloor(), grant.floor());
    }

    /** Drops everything above the floor: a quota of another session is void. */
    void reset() {
        ceiling = Math.min(ceiling, floor);
        targetCeiling = ceiling;
    }

    /** What may be used with a lease. */
    long leased() {
        return Math.min(ceiling, targetCeiling);
    }

    /** What may be used without a lease. */
    long unleased() {
        return Math.min(floor, targetFloor);
    }

    /**
     * Reduces the quota towards its targets, but not below what is in use. The floor is reduced once every stored
     * file with the former floor is too old to be used, {@code floorMaxAgeUs} after the new one was written.
     */
    void reduce(long nowUs, long used, boolean leased, long floorMaxAgeUs) {
        ceiling = Math.min(ceiling, Math.max(used, leased ? leased() : unleased()));
        if (targetFloor < floor
                && (floorMaxAgeUs == 0 || floorWrittenAtUs != NEVER && nowUs - floorWrittenAtUs >= floorMaxAgeUs)) {
            floor = targetFloor;
        }
    }

    /** Whether the next heartbeat must report this slot; idle slots are reported in turn. */
    boolean needsReport(long used, long demand) {
        if (lastReport == null
                || lastReport.used() != used
                || lastReport.demand() != demand
                || lastReport.ceiling() != ceiling()
                || lastReport.floor() != floor) {
            remainingReports = REPORTS_PER_CHANGE;
        }
        return remainingReports > 0 || used > 0 || demand > 0;
    }

    /** Records that {@code next} is reported. */
    SlotReport recordReport(SlotReport next) {
        lastReport = next;
        remainingReports = Math.max(0, remainingReports - 1);
        return next;
    }

    /** Records that {@code value} is on disk as this slot's floor. */
    void onFloorWritten(long nowUs, long value) {
        if (value <= targetFloor && floorWrittenAtUs == NEVER) {
            floorWrittenAtUs = nowUs;
        }
    }

    long ceiling() {
        return Math.max(ceiling, floor);
    }

    long floor() {
        return floor;
    }
}
