package sandpaddle.fleet.limit.hold;

import sandpaddle.fleet.limit.Guard;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.wire.SlotGrant;
import sandpaddle.fleet.limit.wire.SlotReport;

/** What one slot may use. Under one version everything only goes down. */
final class SlotRights {
    private static final long NEVER = Long.MIN_VALUE;

    private static final int LOUD = 3; // beats that tell a change: one may be lost, and a step of demand takes two

    long version;
    private SlotReport told;
    private int loud;
    private long ceiling; // never exceeded again under this version
    private long floor; // nor this without a lease
    private long sinkTo;
    private long floorTo;
    private long writtenAt = NEVER; // when the lowered floor was on disk

    SlotRights(long floor) {
        this.floor = floor;
        ceiling = floor;
        sinkTo = floor;
        floorTo = floor;
    }

    /** Rights that came; older ones and those of the same version cannot raise anything. */
    void take(SlotGrant given, LimitSettings settings) {
        loud = LOUD;
        if (given.version() < version && settings.has(Guard.VERSION)) {
            return;
        }
        if (given.version() != version || !settings.has(Guard.VERSION)) {
            version = given.version();
            ceiling = given.ceiling();
            floor = given.floor();
        }
        sinkTo = Math.min(given.sinkTo(), given.ceiling());
        if (given.floorTo() != floorTo) {
            writtenAt = NEVER;
        }
        floorTo = Math.min(given.floorTo(), given.floor());
    }

    /** Leaves the floor alone: rights of another session are void. */
    void reset() {
        ceiling = Math.min(ceiling, floor);
        sinkTo = ceiling;
    }

    long leased() {
        return Math.min(ceiling, sinkTo);
    }

    long unleased() {
        return Math.min(floor, floorTo);
    }

    /** Comes down to what is asked, as far as what runs has ended. */
    void sink(long now, long used, boolean leased, long keep) {
        ceiling = Math.min(ceiling, Math.max(used, leased ? leased() : unleased()));
        if (floorTo < floor && (keep == 0 || writtenAt != NEVER && now - writtenAt >= keep)) {
            floor = floorTo;
        }
    }

    /** Whether this has to be told with this beat; slots that nothing happens to are told in turn. */
    boolean news(long used, long demand) {
        if (told == null || told.used() != used || told.demand() != demand || told.ceiling() != ceiling()
                || told.floor() != floor) {
            loud = LOUD;
        }
        return loud > 0 || used > 0 || demand > 0;
    }

    SlotReport told(SlotReport next) {
        told = next;
        loud = Math.max(0, loud - 1);
        return next;
    }

    /** The lower floor is on disk; a copy of the file with the higher one is too old once {@code keep} has passed. */
    void written(long now, long value) {
        if (value <= floorTo && writtenAt == NEVER) {
            writtenAt = now;
        }
    }

    long ceiling() {
        return Math.max(ceiling, floor);
    }

    long floor() {
        return floor;
    }
}
