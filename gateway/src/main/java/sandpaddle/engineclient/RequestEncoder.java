package sandpaddle.engineclient;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import sandpaddle.query.AttemptSpec;

/** Encodes the calls of the engines' HTTP protocol, which fixes their bytes. */
final class RequestEncoder {
    private static final int INITIAL_HEAD_CHARS = 256;
    private static final int TENTHS = 10;

    private RequestEncoder() {}

    /**
     * The POST that starts a query.
     *
     * @param host value of the Host header
     * @param spec the attempt
     * @param remaining how long the client still waits
     */
    static byte[] startQuery(String host, AttemptSpec spec, Duration remaining) {
        StringBuilder head = new StringBuilder(INITIAL_HEAD_CHARS)
                .append("POST /x HTTP/1.1\r\nHost: ")
                .append(host)
                .append("\r\nX-Trace: ")
                .append(spec.traceId())
                .append("\r\nX-Profile: ")
                .append(spec.query().route())
                .append("\r\nX-Patience: ")
                .append(Math.max(1, remaining.toMillis()));
        if (!spec.query().idempotencyKey().isEmpty()) {
            head.append("\r\nX-Op-Key: ").append(spec.query().idempotencyKey());
        }
        if (!spec.query().orderingKey().isEmpty()) {
            head.append("\r\nX-Asset: ").append(spec.query().orderingKey());
        }
        if (spec.memoryMb() > 0) {
            head.append("\r\nQuery-Memory: ").append(withOneDecimal(spec.memoryMb()));
        }
        head.append("\r\nQuery-Priority: ").append(spec.priority());
        return withBody(head, spec.query().statement());
    }

    private static String withOneDecimal(double number) {
        long tenths = Math.round(number * TENTHS);
        return tenths / TENTHS + "." + tenths % TENTHS;
    }

    /** The GET of a page of the result; page 0 is a long poll for its end. */
    static byte[] poll(String host, String traceId, int page) {
        return withoutBody("GET /x/" + traceId + "/" + page, host);
    }

    /** The DELETE that tells the engine to stop. */
    static byte[] cancel(String host, String traceId) {
        return withoutBody("DELETE /x/" + traceId, host);
    }

    /** The PUT that changes the priority of a running query, 0 to 3. */
    static byte[] setPriority(String host, String traceId, int priority) {
        return withBody(
                new StringBuilder("PUT /x/" + traceId + " HTTP/1.1\r\nHost: " + host),
                Integer.toString(priority).getBytes(StandardCharsets.US_ASCII));
    }

    /** The GET of the engine's load. */
    static byte[] getLoad(String host) {
        return withoutBody("GET /load", host);
    }

    private static byte[] withoutBody(String call, String host) {
        return (call + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] withBody(StringBuilder head, byte[] body) {
        head.append("\r\nContent-Length: ").append(body.length).append("\r\n\r\n");
        byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] request = Arrays.copyOf(headBytes, headBytes.length + body.length);
        System.arraycopy(body, 0, request, headBytes.length, body.length);
        return request;
    }
}
