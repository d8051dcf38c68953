package sandpaddle.fleet.content.serve;

/**
 * The state of a gateway that {@link ServeRule} depends on; immutable.
 *
 * @param isolated whether evidence shows that the zone is isolated; a schedule of outages is not enough
 * @param nowUs monotonic time
 * @param wallMs wall-clock time
 * @param incarnation incarnation of this gateway
 * @param wallTrusted whether the wall clock is not known to be set back
 * @param wallSlackMs maximum difference between two wall clocks, added to the age of results of another incarnation
 * @param lastReceivedUs monotonic time at which anything was last received from outside the zone
 * @param maxSilenceMs maximum time without anything received from outside the zone for which results are served
 */
public record ServeContext(
        boolean isolated,
        long nowUs,
        long wallMs,
        long incarnation,
        boolean wallTrusted,
        long wallSlackMs,
        long lastReceivedUs,
        long maxSilenceMs) {
    /**
     * Returns the time (ms) since anything was received from outside the zone; a load within this time may be unknown
     * here.
     */
    public long silenceMs() {
        return Math.max(0, (nowUs - lastReceivedUs) / 1000);
    }
}
