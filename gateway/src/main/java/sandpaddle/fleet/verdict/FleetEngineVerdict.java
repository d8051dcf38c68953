package sandpaddle.fleet.verdict;

/**
 * A verdict of the fleet on one engine, as the decision module applies it; immutable.
 *
 * @param engine the engine's name in the engine list
 * @param kind the condition that the fleet agreed on
 * @param engineStartUs start of the engine process that the verdict is about (us, platform time); the verdict does not
 *     apply to a process with another start
 * @param sinceUs start of the condition in this gateway's monotonic time
 * @param untilUs end of the verdict unless it is renewed (monotonic time); at most the lease of its latest evidence
 * @param isProber whether this gateway continues to send one query at a time to the engine while it is condemned
 */
public record FleetEngineVerdict(
        String engine, Kind kind, long engineStartUs, long sinceUs, long untilUs, boolean isProber) {
    /** Condition of an engine; each has the word that logs use for it, which log readers parse. */
    public enum Kind {
        /** Fails queries that other engines answer. */
        FAILING("SICK"),
        /** Does not answer, or accepts no connection. */
        UNRESPONSIVE("SILENT"),
        /** Answers much later than expected. */
        SLOW("SLOW"),
        /** Unreachable from this gateway's zone only. */
        LINK_DOWN("LINK"),
        /** Started recently, according to the engine list. */
        WARMING_UP("COLD"),
        /** Accepts no new work, according to the engine list. */
        DRAINING("DRAINING");

        private final String logName;

        Kind(String logName) {
            this.logName = logName;
        }

        /** The word for this condition in log lines; it does not change with the constant's name. */
        public String logName() {
            return logName;
        }

        /** Whether the verdict keeps queries away from the engine because of how the engine answers. */
        public boolean condemns() {
            return this != WARMING_UP && this != DRAINING;
        }
    }
}
