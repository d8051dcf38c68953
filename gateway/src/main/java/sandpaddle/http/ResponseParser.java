package sandpaddle.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;

/** Reads one answer of HTTP/1.1 after the other from a stream of bytes, however they come. */
final class ResponseParser {
    static final int MOST_HEAD = 8 * 1024;
    static final int MOST_BODY = 16 * 1024; // a page has 6,000 bytes at most
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5]\\d\\d( .*)?");
    private static final Pattern LENGTH = Pattern.compile("[0-9a-fA-F]{1,8}");
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private enum At { STATUS, HEADERS, BODY, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS, DONE }

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Map<String, String> headers = new HashMap<>();
    private At at = At.STATUS;
    private int status, left, head;
    private boolean http10;

    /** Whether nothing of an answer has come yet. */
    boolean isFresh() {
        return at == At.STATUS && line.size() == 0;
    }

    /** Takes bytes up to the end of an answer; null while it is not whole. */
    Response feed(ByteBuffer bytes) throws MalformedException {
        while (bytes.hasRemaining() && at != At.DONE) {
            if (at == At.BODY || at == At.CHUNK) {
                content(bytes);
            } else {
                byte b = bytes.get();
                if (++head > MOST_HEAD) {
                    throw new MalformedException("headers of more than " + MOST_HEAD + " bytes");
                }
                if (b == '\n') {
                    String text = line.toString(StandardCharsets.ISO_8859_1);
                    line.reset();
                    line(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
                } else {
                    line.write(b);
                }
            }
        }
        return at == At.DONE ? finish() : null;
    }

    private void content(ByteBuffer bytes) throws MalformedException {
        int n = Math.min(left, bytes.remaining());
        if (body.size() + n > MOST_BODY) {
            throw new MalformedException("body of more than " + MOST_BODY + " bytes");
        }
        byte[] part = new byte[n];
        bytes.get(part);
        body.writeBytes(part);
        left -= n;
        if (at == At.BODY && left == 0) {
            at = At.DONE;
        } else if (at == At.CHUNK && left == 0) {
            at = At.CHUNK_END;
        }
    }

    private void line(String text) throws MalformedException {
        switch (at) {
            case STATUS -> status(text);
            case HEADERS -> {
                if (text.isEmpty()) {
                    bodyFollows();
                } else {
                    header(text);
                }
            }
            case CHUNK_SIZE -> {
                left = number(text.split(";", 2)[0].strip(), 16);
                at = left == 0 ? At.TRAILERS : At.CHUNK;
            }
            case CHUNK_END -> at = At.CHUNK_SIZE;
            case TRAILERS -> at = text.isEmpty() ? At.DONE : At.TRAILERS;
            default -> throw new IllegalStateException(at.name());
        }
    }

    private void status(String text) throws MalformedException {
        if (!STATUS_LINE.matcher(text).matches()) {
            throw new MalformedException("no status line");
        }
        http10 = text.startsWith("HTTP/1.0");
        status = Integer.parseInt(text.substring(9, 12));
        at = At.HEADERS;
    }

    private void header(String text) throws MalformedException {
        int colon = text.indexOf(':');
        if (colon <= 0) {
            throw new MalformedException("header without a name");
        }
        String name = text.substring(0, colon).toLowerCase(Locale.ROOT);
        String value = text.substring(colon + 1).strip();
        String before = headers.put(name, value);
        if (before != null && !before.equals(value)) { // of two lengths, or page numbers, one is not true
            throw new MalformedException("two headers '" + name + "'");
        }
    }

    private void bodyFollows() throws MalformedException {
        String length = headers.get("content-length");
        if (status / 100 == 1) { // an interim answer: the one that counts follows
            headers = new HashMap<>();
            at = At.STATUS;
        } else if (status == NO_CONTENT || status == NOT_MODIFIED) {
            at = At.DONE;
        } else if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding")) && length == null) {
            at = At.CHUNK_SIZE;
        } else if (length == null) { // one that ends with its connection cannot be told from one that broke off
            throw new MalformedException("no length");
        } else {
            left = number(length, 10);
            at = left == 0 ? At.DONE : At.BODY;
        }
    }

    private static int number(String text, int radix) throws MalformedException {
        try {
            long n = LENGTH.matcher(text).matches() ? Long.parseLong(text, radix) : -1;
            if (n >= 0 && n <= MOST_BODY) {
                return (int) n;
            }
        } catch (NumberFormatException e) {
            // told below, as for a number out of range
        }
        throw new MalformedException("impossible length '" + text + "'");
    }

    private Response finish() {
        String connection = headers.getOrDefault("connection", http10 ? "close" : "");
        Response r = new Response(status, headers, body.toByteArray(), !connection.equalsIgnoreCase("close"));
        headers = new HashMap<>();
        body.reset();
        at = At.STATUS;
        head = 0;
        return r;
    }
}
