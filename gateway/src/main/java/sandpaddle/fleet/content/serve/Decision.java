package sandpaddle.fleet.content.serve;

import sandpaddle.query.ResultSet;

/** Whether a stored answer is handed out. */
public sealed interface Decision {
    /**
     * It is, marked as stored. {@code ageMs}: since an engine was asked for it. {@code unknownMs}: a load that ended
     * within that last time may have outdated it without anybody in the zone knowing; at most the age.
     */
    record Stored(long ageMs, long unknownMs, ResultSet rows) implements Decision {}

    /** It is not, and why. */
    record Not(Reason reason) implements Decision {}

    /** Why a stored answer is not handed out. */
    enum Reason {
        /** The zone reaches its engines, or is not known to be cut off. */
        NOT_ISOLATED,
        /** Its class may not repeat. */
        NOT_REPEATABLE,
        /** Nothing is stored. */
        ABSENT,
        /** What is stored is another statement's, tenant's, user's or class'. */
        FOREIGN,
        /** It is older than its class states, or than the class states now. */
        STALE,
        /** A load has changed its data since. */
        OUTDATED,
        /** The clock that its age would be judged by has been set back. */
        CLOCK,
        /** Nothing was heard from outside for longer than the settings allow. */
        UNHEARD
    }
}
