package sandpaddle.codec;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Encodes HTTP/1.1. An instance builds one request or response, as a head alone or with its body; static methods encode
 * the chunks of a chunked body.
 */
public final class HttpWriter {
    private static final byte[] LAST_CHUNK = ascii("0\r\n\r\n");
    private static final Map<Integer, String> REASON_PHRASES = Map.ofEntries(
            Map.entry(100, "Continue"),
            Map.entry(200, "OK"),
            Map.entry(400, "Bad Request"),
            Map.entry(401, "Unauthorized"),
            Map.entry(403, "Forbidden"),
            Map.entry(404, "Not Found"),
            Map.entry(405, "Method Not Allowed"),
            Map.entry(408, "Request Timeout"),
            Map.entry(411, "Length Required"),
            Map.entry(413, "Payload Too Large"),
            Map.entry(414, "URI Too Long"),
            Map.entry(415, "Unsupported Media Type"),
            Map.entry(417, "Expectation Failed"),
            Map.entry(429, "Too Many Requests"),
            Map.entry(431, "Request Header Fields Too Large"),
            Map.entry(500, "Internal Server Error"),
            Map.entry(501, "Not Implemented"),
            Map.entry(503, "Service Unavailable"),
            Map.entry(504, "Gateway Timeout"));

    private final StringBuilder head = new StringBuilder(256);

    private HttpWriter(String startLine) {
        head.append(startLine).append("\r\n");
    }

    /** Starts the head of a request. */
    public static HttpWriter request(String method, String target) {
        return new HttpWriter(method + " " + target + " HTTP/1.1");
    }

    /** Starts the head of a response, with the standard reason phrase of its status. */
    public static HttpWriter response(int status) {
        return new HttpWriter("HTTP/1.1 " + status + " " + REASON_PHRASES.getOrDefault(status, "-"));
    }

    /** Adds a header field; replaces control characters by spaces, since a line break would start another field. */
    public HttpWriter field(String name, String value) {
        head.append(name).append(": ");
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            head.append(c < ' ' || c == 0x7F ? ' ' : c);
        }
        head.append("\r\n");
        return this;
    }

    /** Adds a header field with an integer value. */
    public HttpWriter field(String name, long value) {
        head.append(name).append(": ").append(value).append("\r\n");
        return this;
    }

    /** Returns the head only, for a message without a body or with a chunked one. */
    public byte[] headBytes() {
        return (head + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns the complete message; adds the Content-Length. */
    public byte[] withBody(byte[] body) {
        field("Content-Length", body.length);
        byte[] headBytes = headBytes();
        byte[] message = java.util.Arrays.copyOf(headBytes, headBytes.length + body.length);
        System.arraycopy(body, 0, message, headBytes.length, body.length);
        return message;
    }

    /**
     * Encodes one chunk.
     *
     * @param part array that begins with the data of the chunk; the bytes from {@code length} on are ignored
     * @param length length of the data (bytes)
     * @return the encoded chunk; an empty array if {@code length} is 0, since a chunk without data would end the body
     */
    public static byte[] chunk(byte[] part, int length) {
        if (length == 0) {
            return new byte[0];
        }
        ByteArrayOutputStream chunk = new ByteArrayOutputStream(length + 16);
        chunk.writeBytes(ascii(Integer.toHexString(length) + "\r\n"));
        chunk.write(part, 0, length);
        chunk.write('\r');
        chunk.write('\n');
        return chunk.toByteArray();
    }

    /** Returns the last chunk, which ends a chunked body. */
    public static byte[] lastChunk() {
        return LAST_CHUNK.clone();
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
