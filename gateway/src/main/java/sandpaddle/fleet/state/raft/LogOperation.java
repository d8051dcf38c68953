package sandpaddle.fleet.state.raft;

/** The operation of a log entry, apart from MicroRaft's own operations for membership changes. */
public sealed interface LogOperation {
    /** The first entry of a leader's term: it commits the entries of earlier terms and changes nothing. */
    record NewTerm() implements LogOperation {}

    /**
     * A command for the replicated state.
     *
     * @param bytes the encoded command; not copied
     */
    record Command(byte[] bytes) implements LogOperation {}

    /** The query of a {@link LeadershipCheck}; it is never appended to the log. */
    record LeadershipQuery() implements LogOperation {}
}
