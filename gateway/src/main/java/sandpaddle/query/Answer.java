package sandpaddle.query;

import java.time.Duration;

/** The final answer to a query; there is exactly one. Each frontend encodes it in its own protocol. */
public sealed interface Answer {
    /**
     * The complete result.
     *
     * @param rows all rows
     * @param note a remark on the result for the client, such as that it is a stored one; empty for none
     */
    record Served(ResultSet rows, String note) implements Answer {
        /** A result without a note. */
        public Served(ResultSet rows) {
            this(rows, "");
        }
    }

    /**
     * Rejected; it is safe to send the query again.
     *
     * @param retryAfter how long to wait before a retry, zero without advice
     */
    record Rejected(Duration retryAfter) implements Answer {}

    /**
     * Failed; the query may have run.
     *
     * @param reason for the client, in plain text
     */
    record Failed(String reason) implements Answer {}

    /**
     * Not a valid query; it was not accepted and did not run.
     *
     * @param reason for the client, in plain text
     */
    record Invalid(String reason) implements Answer {}
}
