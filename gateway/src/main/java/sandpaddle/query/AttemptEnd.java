package sandpaddle.query;

/**
 * How an attempt ended, which determines whether it may have run; docs/design/ends-of-attempts.md gives the reasons.
 * {@code stats} is the engine's statistics line, null if none was received; {@code reason} is for logs.
 */
public sealed interface AttemptEnd {
    /** All pages of the result were received. */
    record Completed(ResultSet rows, String stats) implements AttemptEnd {}

    /** Rejected by the engine for lack of capacity; it never ran. */
    record Rejected(String stats) implements AttemptEnd {}

    /** The request's deadline passed before the engine started it; it never ran. */
    record Expired(String stats) implements AttemptEnd {}

    /** No connection to the engine was established, so nothing was written; it never ran. */
    record NotConnected(String reason) implements AttemptEnd {}

    /** Not written, for a reason that says nothing about the engine; it never ran. */
    record NotStarted(String reason) implements AttemptEnd {}

    /** The engine reported an error, or its response could not be read; it may have run. */
    record Failed(String reason, String stats) implements AttemptEnd {}

    /** The connection was lost and the engine could no longer be polled; it may have run. */
    record ConnectionLost(String reason) implements AttemptEnd {}

    /** Its deadline passed and the engine was told to stop it; it may have run. */
    record TimedOut() implements AttemptEnd {}

    /** The gateway cancelled it and the engine was told to stop it; it may have run. */
    record Cancelled() implements AttemptEnd {}
}
