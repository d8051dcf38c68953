package sandpaddle.fleet.verdict.watch;

/** Outcome of an attempt as evidence on the engine. */
public enum AttemptOutcome {
    /** The engine answered, including a rejection because its queue was full. */
    ANSWERED,
    /** The engine failed the query. */
    FAILED,
    /** The attempt timed out, or its connection broke and the result could not be fetched. */
    NO_ANSWER,
    /** No connection could be established. */
    UNREACHABLE;

    boolean isAnswered() {
        return this == ANSWERED || this == FAILED;
    }
}
