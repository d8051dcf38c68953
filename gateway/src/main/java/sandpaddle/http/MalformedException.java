package sandpaddle.http;

/** An answer that is not HTTP/1.1, or larger than any answer may be. */
final class MalformedException extends Exception {
    private static final long serialVersionUID = 1;

    MalformedException(String message) {
        super(message);
    }
}
