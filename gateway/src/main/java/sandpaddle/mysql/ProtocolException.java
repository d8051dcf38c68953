package sandpaddle.mysql;

/** Input that violates the client protocol. It ends the connection that it arrived on, and no other. */
final class ProtocolException extends Exception {
    private static final long serialVersionUID = 1;

    /** The error that is sent to the client. */
    final transient SqlError error;

    ProtocolException(SqlError error, String message) {
        super(message);
        this.error = error;
    }
}
