package sandpaddle.codec;

/**
 * The head of an HTTP/1.x message: the start line and the header fields.
 *
 * @param method the method of a request; null for a response
 * @param target the target of a request; null for a response
 * @param status the status code of a response; 0 for a request
 * @param isHttp10 whether the version is HTTP/1.0, else 1.1
 * @param headers the header fields
 * @param bodyBytes the length of the body, {@link #CHUNKED} or {@link #UNSPECIFIED}
 */
public record HttpHead(
        String method, String target, int status, boolean isHttp10, HttpHeaders headers, long bodyBytes) {
    /** Body length of a message with the transfer encoding chunked. */
    public static final long CHUNKED = -1;
    /** Body length of a message that states none: a request has no body, that of a response ends at the close. */
    public static final long UNSPECIFIED = -2;

    /** Whether the connection is persistent: another message may follow. */
    public boolean isKeepAlive() {
        boolean close = headers.containsToken("connection", "close");
        return !close && (!isHttp10 || headers.containsToken("connection", "keep-alive"));
    }

    /** Whether it is the head of a request, else of a response. */
    public boolean isRequest() {
        return method != null;
    }
}
