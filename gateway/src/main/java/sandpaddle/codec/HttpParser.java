package sandpaddle.codec;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Incremental parser of one direction of an HTTP/1.1 connection (RFC 9112), for servers and clients, from bytes that
 * may be split anywhere. Limits are checked before bytes are stored, and body bytes are not buffered, so that a parser
 * holds at most one head and one line. Ambiguous messages that allow request smuggling are rejected: Content-Length
 * together with Transfer-Encoding, conflicting lengths, obsolete line folding, and white space in field names.
 *
 * <p>States: START, HEADERS, then BODY or CHUNK_SIZE, CHUNK, CHUNK_END and TRAILERS, and START again.
 */
public final class HttpParser {
    /** Kind of the messages. */
    public enum Side {
        /** Requests, whose lines must end in CR LF. */
        REQUESTS,
        /** Responses, whose lines may also end in LF alone, as some servers write them. */
        RESPONSES
    }

    /**
     * Limits on one message.
     *
     * @param maxLineBytes limit on a line
     * @param maxHeadBytes limit on the start line and the header fields, and on the trailers
     * @param maxFields limit on the number of header fields
     * @param maxBodyBytes limit on the body, before content decoding
     */
    public record Limits(int maxLineBytes, int maxHeadBytes, int maxFields, long maxBodyBytes) {}

    /** Receives the parts of a message, in the order of the methods. The connection must be closed if one throws. */
    public interface Handler {
        /** A header field was received, while the head is still incomplete. */
        default void field(String name, String value) {}

        /** The head is complete. Not called for interim responses (1xx). */
        void head(HttpHead head) throws MalformedHttpException;

        /** A part of the body was received; {@code part} is valid during the call. */
        void body(ByteBuffer part) throws MalformedHttpException;

        /** The message is complete. */
        void end() throws MalformedHttpException;
    }

    private enum State {
        START,
        HEADERS,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS
    }

    private static final Pattern REQUEST_LINE = Pattern.compile("([A-Z]{1,16}) ([\\x21-\\xFF]+) HTTP/1\\.([01])");
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.([01]) ([1-5]\\d\\d)( .*)?");
    private static final Pattern FIELD_NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
    private static final Pattern CONTENT_LENGTH = Pattern.compile("\\d{1,15}");
    private static final Pattern CHUNK_SIZE = Pattern.compile("[0-9a-fA-F]{1,8}");
    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_NOT_MODIFIED = 304;
    private static final int STATUS_PAYLOAD_TOO_LARGE = 413;
    private static final int STATUS_URI_TOO_LONG = 414;
    private static final int STATUS_HEADER_FIELDS_TOO_LARGE = 431;
    private static final int STATUS_NOT_IMPLEMENTED = 501;
    private static final int HEX_RADIX = 16;
    private static final int MAX_LEADING_EMPTY_LINES = 4;

    private final Side side;
    private final Limits limits;
    private final Handler handler;
    private final Predicate<String> isSingleValued;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    private State state = State.START;
    private HttpHeaders headers = new HttpHeaders();
    private String method, target;
    private int status, headBytes, emptyLines;
    private long remainingBytes, bodyBytes;
    private boolean http10, responseToHead;

    /**
     * Creates a parser that rejects a message in which a field that determines its length or its host has two different
     * values.
     *
     * @param side kind of the messages
     * @param limits limits on each message
     * @param handler receives the messages
     */
    public HttpParser(Side side, Limits limits, Handler handler) {
        this(
                side,
                limits,
                handler,
                name -> name.equals("content-length") || name.equals("transfer-encoding") || name.equals("host"));
    }

    /**
     * Creates a parser.
     *
     * @param side kind of the messages
     * @param limits limits on each message
     * @param handler receives the messages
     * @param isSingleValued whether a field, by its name in lower case, must not have two different values
     */
    public HttpParser(Side side, Limits limits, Handler handler, Predicate<String> isSingleValued) {
        this.side = side;
        this.isSingleValued = isSingleValued;
        this.limits = limits;
        this.handler = handler;
    }

    /** Expects the response to a HEAD request next: it has no body, whatever its header fields state. */
    public void nextResponseHasNoBody() {
        responseToHead = true;
    }

    /** Whether no byte of the next message was received. */
    public boolean isBetweenMessages() {
        return state == State.START && line.size() == 0;
    }

    /**
     * Consumes bytes up to the end of one message.
     *
     * @param bytes the received bytes; those left belong to the next message
     * @return whether the message is complete
     * @throws MalformedHttpException if the message is malformed or exceeds a limit
     */
    public boolean feed(ByteBuffer bytes) throws MalformedHttpException {
        while (bytes.hasRemaining()) {
            if (state == State.BODY || state == State.CHUNK) {
                if (readBody(bytes)) {
                    return true;
                }
            } else if (readLineByte(bytes.get())) {
                return true;
            }
        }
        return false;
    }

    private boolean readBody(ByteBuffer bytes) throws MalformedHttpException {
        int count = (int) Math.min(remainingBytes, bytes.remaining());
        ByteBuffer part = bytes.slice(bytes.position(), count);
        bytes.position(bytes.position() + count);
        remainingBytes -= count;
        handler.body(part);
        if (remainingBytes == 0 && state == State.CHUNK) {
            state = State.CHUNK_END;
        }
        return remainingBytes == 0 && state == State.BODY && endMessage();
    }

    /** Consumes one byte of a line; returns whether it completes a message. */
    private boolean readLineByte(byte next) throws MalformedHttpException {
        if (++headBytes > limits.maxHeadBytes) {
            throw new MalformedHttpException(
                    STATUS_HEADER_FIELDS_TOO_LARGE, "head or trailers exceed " + limits.maxHeadBytes + " bytes");
        }
        if (next != '\n') {
            if (line.size() >= limits.maxLineBytes) {
                throw new MalformedHttpException(
                        state == State.START ? STATUS_URI_TOO_LONG : STATUS_HEADER_FIELDS_TOO_LARGE,
                        "line exceeds " + limits.maxLineBytes + " bytes");
            }
            line.write(next);
            return false;
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        line.reset();
        boolean cr = text.endsWith("\r");
        if (!cr && side == Side.REQUESTS) {
            throw new MalformedHttpException("line ends in LF; expected CR LF");
        }
        text = cr ? text.substring(0, text.length() - 1) : text;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < ' ' && c != '\t' || c == 0x7F) {
                throw new MalformedHttpException("control character " + (int) c + " at index " + i + " of a line");
            }
        }
        return handleLine(text);
    }

    private boolean handleLine(String text) throws MalformedHttpException {
        switch (state) {
            case START -> parseStartLine(text);
            case HEADERS -> {
                if (text.isEmpty()) {
                    return endHead();
                }
                parseField(text);
            }
            case CHUNK_SIZE -> {
                return startChunk(text);
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new MalformedHttpException("chunk data longer than the chunk size; expected CR LF");
                }
                state = State.CHUNK_SIZE;
                headBytes = 0;
            }
            case TRAILERS -> {
                return text.isEmpty() && endMessage();
            }
            default -> throw new IllegalStateException(state.name());
        }
        return false;
    }

    private void parseStartLine(String text) throws MalformedHttpException {
        if (text.isEmpty() && side == Side.REQUESTS && ++emptyLines <= MAX_LEADING_EMPTY_LINES) {
            return; // some clients send a surplus CR LF after a body (RFC 9112, section 2.2)
        }
        Matcher matcher = (side == Side.REQUESTS ? REQUEST_LINE : STATUS_LINE).matcher(text);
        if (!matcher.matches()) {
            throw new MalformedHttpException(
                    side == Side.REQUESTS ? "malformed request line" : "malformed status line");
        }
        if (side == Side.REQUESTS) {
            method = matcher.group(1);
            target = matcher.group(2);
            http10 = matcher.group(3).equals("0");
        } else {
            http10 = matcher.group(1).equals("0");
            status = Integer.parseInt(matcher.group(2));
        }
        state = State.HEADERS;
    }

    private void parseField(String text) throws MalformedHttpException {
        int colon = text.indexOf(':');
        if (colon <= 0 || !FIELD_NAME.matcher(text.substring(0, colon)).matches()) {
            throw new MalformedHttpException("header line without a valid field name, or with line folding");
        }
        if (headers.size() >= limits.maxFields) {
            throw new MalformedHttpException(
                    STATUS_HEADER_FIELDS_TOO_LARGE, "more than " + limits.maxFields + " header fields");
        }
        String name = text.substring(0, colon);
        String value = text.substring(colon + 1).strip();
        headers.add(name, value);
        handler.field(name.toLowerCase(java.util.Locale.ROOT), value);
    }

    private boolean endHead() throws MalformedHttpException {
        headBytes = 0;
        if (status / 100 == 1) { // an interim response: the final one follows
            headers = new HttpHeaders();
            state = State.START;
            return false;
        }
        long length = bodyLength();
        boolean noBody = responseToHead || status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED;
        responseToHead = false;
        handler.head(new HttpHead(method, target, status, http10, headers, noBody ? 0 : length));
        if (noBody || length == 0 || length == HttpHead.UNSPECIFIED && side == Side.REQUESTS) {
            return endMessage();
        }
        if (length == HttpHead.UNSPECIFIED) { // a body that ends at the close cannot be told from a truncated one
            throw new MalformedHttpException("response without Content-Length or chunked Transfer-Encoding");
        }
        state = length == HttpHead.CHUNKED ? State.CHUNK_SIZE : State.BODY;
        remainingBytes = Math.max(0, length);
        return false;
    }

    private long bodyLength() throws MalformedHttpException {
        String coding = headers.get("transfer-encoding");
        String length = headers.get("content-length");
        String conflictingField = headers.conflictingField(isSingleValued);
        if (conflictingField != null) {
            throw new MalformedHttpException("header field '" + conflictingField + "' has two different values");
        }
        if (coding != null && length != null) {
            throw new MalformedHttpException("Content-Length together with Transfer-Encoding");
        }
        if (coding != null) {
            if (!coding.equalsIgnoreCase("chunked") || http10 && side == Side.REQUESTS) {
                throw new MalformedHttpException(
                        STATUS_NOT_IMPLEMENTED, "unsupported transfer encoding '" + coding + "'");
            }
            return HttpHead.CHUNKED;
        }
        if (length == null) {
            return HttpHead.UNSPECIFIED;
        }
        if (!CONTENT_LENGTH.matcher(length).matches()) {
            throw new MalformedHttpException("invalid Content-Length '" + length + "'");
        }
        return checkBodyLimit(Long.parseLong(length));
    }

    private long checkBodyLimit(long bytes) throws MalformedHttpException {
        if (bytes > limits.maxBodyBytes) {
            throw new MalformedHttpException(
                    STATUS_PAYLOAD_TOO_LARGE,
                    "body of " + bytes + " bytes exceeds the limit of " + limits.maxBodyBytes);
        }
        return bytes;
    }

    private boolean startChunk(String text) throws MalformedHttpException {
        String size = text.split(";", 2)[0].strip();
        if (!CHUNK_SIZE.matcher(size).matches()) {
            throw new MalformedHttpException("invalid chunk size '" + size + "'");
        }
        remainingBytes = Long.parseLong(size, HEX_RADIX);
        bodyBytes = checkBodyLimit(bodyBytes + remainingBytes);
        state = remainingBytes == 0 ? State.TRAILERS : State.CHUNK;
        headBytes = 0;
        return false;
    }

    private boolean endMessage() throws MalformedHttpException {
        state = State.START;
        headers = new HttpHeaders();
        headBytes = 0;
        emptyLines = 0;
        bodyBytes = 0;
        handler.end();
        return true;
    }
}
