package sandpaddle.fleet.outage.world;

import sandpaddle.fleet.content.Candidate;

/** A way to keep answers for outages: hears what goes on while connected, and tells what it has. */
interface Keeper {
    /** An engine answered an ask at a time of the wall clock (ms). */
    void served(Candidate what, long wall);

    /** A minute passes while the zone is connected. */
    void minute(long wall);

    /** A load was heard of that changed a group. */
    default void loaded(long group, long wall) {}

    /** The zone is cut off now, until the end that was drawn. */
    default void lost(int day) {}

    /** When (wall, ms) the answer at hand was asked for, -1 where there is none. */
    long storedAt(Candidate what);
}
