package sandpaddle.fleet.content.serve;

/**
 * What a stored answer is judged by at one moment.
 *
 * @param isolated whether evidence shows that the zone is cut off; no clock and no schedule does
 * @param now monotonic time (us), {@code wall} the wall clock (ms), {@code process} this process' incarnation
 * @param wallTrusted whether the wall clock is not known to be behind
 * @param wallSlackMs added to the age of what another process asked for: by so much wall clocks may differ
 * @param heardAt when (us, monotonic) anything was last heard from outside the zone
 * @param maxUnheardMs nothing is handed out once nothing was heard for so long
 */
public record ServeContext(
        boolean isolated,
        long now,
        long wall,
        long process,
        boolean wallTrusted,
        long wallSlackMs,
        long heardAt,
        long maxUnheardMs) {
    /** How long (ms) nothing has been heard from outside the zone: so old may a change be that nobody here knows of. */
    public long unheardMs() {
        return Math.max(0, (now - heardAt) / 1000);
    }
}
