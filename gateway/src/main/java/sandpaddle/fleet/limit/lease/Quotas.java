package sandpaddle.fleet.limit.lease;

import java.util.Map;

/**
 * An immutable snapshot of what a gateway may use, for the request path: it detects the end of the lease by the
 * gateway's own clock, without any message. Any thread may read it. To use a slot, count first, then read the quotas,
 * then send; whoever reduces quotas publishes the new snapshot first and reads the counts after. So one of the two sees
 * the other, and nothing starts on quota that was given back.
 */
public final class Quotas {
    /** Identifies a slot of this gateway: a limit's id, and a tenant or an empty string. */
    public record Key(String limit, String tenant) implements Comparable<Key> {
        @Override
        public int compareTo(Key that) {
            int byLimit = limit.compareTo(that.limit);
            return byLimit != 0 ? byLimit : tenant.compareTo(that.tenant);
        }
    }

    /** What a slot may use with a lease and without one, in the unit of its limit. */
    public record SlotCeilings(long leased, long unleased) {}

    private static final SlotCeilings NO_QUOTA = new SlotCeilings(0, 0);

    private final long usableFromUs;
    private final long leaseExpiresAtUs;
    private final Map<Key, SlotCeilings> slots;

    Quotas(long usableFromUs, long leaseExpiresAtUs, Map<Key, SlotCeilings> slots) {
        this.usableFromUs = usableFromUs;
        this.leaseExpiresAtUs = leaseExpiresAtUs;
        this.slots = slots;
    }

    /** What may be used at {@code nowUs}: a count, or thousandths per second for a rate. */
    public long ceiling(long nowUs, Key slot) {
        return ceiling(nowUs, slots.getOrDefault(slot, NO_QUOTA));
    }

    /** The same for the ceilings of a slot that were looked up before. */
    public long ceiling(long nowUs, SlotCeilings slot) {
        return nowUs < usableFromUs ? 0 : nowUs < leaseExpiresAtUs ? slot.leased() : slot.unleased();
    }

    /** The ceilings of a slot, to be stored next to its counter. */
    public SlotCeilings slotCeilings(Key slot) {
        return slots.getOrDefault(slot, NO_QUOTA);
    }

    /** When the lease expires unless it is renewed (us); a time long past if there is none. */
    public long leaseExpiresAtUs() {
        return leaseExpiresAtUs;
    }
}
