package sandpaddle.fleet.verdict;

/**
 * A verdict of the fleet on one engine, which the decision module applies; immutable.
 *
 * @param engine the engine's name in the engine list
 * @param kind condition of the engine that the evidence shows
 * @param engineStartUs start of the engine process that the verdict is about (us, platform time); the verdict does not
 *     apply to a process with another start
 * @param sinceUs start of the condition in this gateway's monotonic time
 * @param untilUs end of the verdict unless it is renewed (monotonic time); at most the lease of its latest evidence
 * @param isProber whether this gateway continues to send one query at a time to the engine while it is ejected
 */
public record FleetEngineVerdict(
        String engine, Kind kind, long engineStartUs, long sinceUs, long untilUs, boolean isProber) {
    /** Condition of an engine. */
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

        /** Returns the word for this condition in log lines. Log readers parse it: it must not change. */
        public String logName() {
            return logName;
        }

        /** Returns whether the engine is ejected because of how it answers: only its probers send queries to it. */
        public boolean ejects() {
            return this != WARMING_UP && this != DRAINING;
        }
    }
}
