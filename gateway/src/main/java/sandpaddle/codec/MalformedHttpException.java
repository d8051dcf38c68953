package sandpaddle.codec;

/** Thrown for bytes that are not an HTTP/1.1 message, or for a message over a limit. The connection must be closed. */
public final class MalformedHttpException extends Exception {
    private static final long serialVersionUID = 1;
    private static final int STATUS_BAD_REQUEST = 400;

    private final int status;

    /** Creates an exception for a message that a server answers with 400 Bad Request. */
    public MalformedHttpException(String message) {
        this(STATUS_BAD_REQUEST, message);
    }

    /**
     * Creates an exception.
     *
     * @param status the status code with which a server answers such a request
     * @param message what is wrong
     */
    public MalformedHttpException(int status, String message) {
        super(message);
        this.status = status;
    }

    /** The status code with which a server answers such a request. */
    public int status() {
        return status;
    }
}
