package sandpaddle.fleet.view;

import java.util.List;
import java.util.Map;
import sandpaddle.decision.event.EngineCondition;

/**
 * The state of the fleet that the request path uses. Immutable and replaced as a whole (read-copy-update) by the
 * fleet's thread; the event loop reads it with one acquire load. Times are monotonic microseconds of this gateway.
 *
 * @param numbering changes whenever {@code slots} change; the position in {@code slots} is the number of a slot
 * @param slots limits that apply to this gateway, one for each part that it has a quota for
 * @param quotas quota of each slot, in the same order
 * @param perKeySlots limits with one slot for each engine or tenant; an engine or tenant without its slot may use
 *     nothing
 * @param usableFromUs before this time nothing may be used
 * @param leaseExpiresUs until this time ceilings apply, then floors
 * @param verdicts conditions of engines for the decision module
 * @param outdated data groups whose stored answers are outdated
 * @param isolation whether this gateway's zone is isolated
 */
public record FleetView(
        long numbering,
        List<LimitSlot> slots,
        List<SlotQuota> quotas,
        List<LimitSlot> perKeySlots,
        long usableFromUs,
        long leaseExpiresUs,
        List<Verdict> verdicts,
        Map<String, Long> outdated,
        Isolation isolation) {

    /** The view before the first grant, in which nothing is limited. */
    public static final FleetView EMPTY = new FleetView(
            0, List.of(), List.of(), List.of(), Long.MIN_VALUE, Long.MAX_VALUE, List.of(), Map.of(), Isolation.NONE);

    /**
     * Quota of a slot: {@code ceiling} while the lease is valid, {@code floor} after it. For a rate, both are
     * thousandths per second and {@code burst} is the capacity of the token bucket.
     */
    public record SlotQuota(long ceiling, long floor, long burst) {}

    /** A condition of an engine for the decision module. */
    public record Verdict(String engine, EngineCondition condition, long sinceUs, long untilUs) {}

    /** Whether this gateway's zone is isolated from the engines outside, and when its uplink is expected to return. */
    public record Isolation(boolean isIsolated, long sinceUs, long expectedReturnUs) {
        /** Not isolated. */
        public static final Isolation NONE = new Isolation(false, 0, 0);
    }

    /** Whether the lease is valid. */
    public boolean isLeased(long nowUs) {
        return nowUs < leaseExpiresUs;
    }

    /** Current quota of a slot. */
    public long quota(int slot, long nowUs) {
        SlotQuota quota = quotas.get(slot);
        return nowUs < usableFromUs ? 0 : isLeased(nowUs) ? quota.ceiling() : quota.floor();
    }
}
