package sandpaddle.fleet.content.serve;

import sandpaddle.query.ResultSet;

/** Whether a cached result is served. */
public sealed interface Decision {
    /**
     * The result is served, marked as cached.
     *
     * @param ageMs time since an engine was requested to execute the statement
     * @param undetectedMs a load within this last time may have changed the data without the zone receiving notice of
     *     it; at most the age
     * @param rows the rows
     */
    record Served(long ageMs, long undetectedMs, ResultSet rows) implements Decision {}

    /**
     * The result is not served.
     *
     * @param reason why
     */
    record NotServed(Reason reason) implements Decision {}

    /** Why a cached result is not served. */
    enum Reason {
        /** The zone is not known to be isolated. */
        NOT_ISOLATED,
        /** Requests of its class are not idempotent. */
        NOT_IDEMPOTENT,
        /** No result is cached. */
        NOT_CACHED,
        /** The cached result has another key. */
        KEY_MISMATCH,
        /** The result exceeds the maximum age of its class, as of when it was stored or now. */
        STALE,
        /** A load has changed the data of the result. */
        INVALIDATED,
        /** The wall clock, by which the age would have to be computed, was set back. */
        CLOCK_SET_BACK,
        /** Nothing was received from outside the zone for longer than the settings allow. */
        NO_CONTACT
    }
}
