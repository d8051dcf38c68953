package sandpaddle.fleet.outage.world;

import sandpaddle.fleet.content.Candidate;

/** A strategy of storing answers for outages. */
interface AnswerCache {
    /** An engine answered a request. */
    void answerServed(Candidate candidate, long wallMs);

    /** A minute passed in which the zone was connected. */
    void minutePassed(long wallMs);

    /** A load changed a data group while the zone was connected. */
    default void dataChanged(long group, long wallMs) {}

    /** The zone is isolated from now to the end of the day's generated outage. */
    default void outageStarted(int day) {}

    /** Returns when the stored copy was fetched (wall clock, ms), or -1 without one. */
    long storedAtMs(Candidate candidate);
}
