package sandpaddle.mysql;

/** Broken framing: it ends the connection that sent it, and no other. */
final class ProtocolException extends Exception {
    private static final long serialVersionUID = 1;

    final transient SqlError error;

    ProtocolException(SqlError error, String message) {
        super(message);
        this.error = error;
    }
}
