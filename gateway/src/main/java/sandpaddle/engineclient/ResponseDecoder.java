package sandpaddle.engineclient;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import sandpaddle.codec.HttpHead;
import sandpaddle.codec.HttpParser;
import sandpaddle.codec.MalformedHttpException;

/**
 * Decodes the responses on one connection from bytes that may be split anywhere. Rejects a response with a header that
 * has two different values. Memory is bounded by the limits below.
 */
final class ResponseDecoder implements HttpParser.Handler {
    /** Limit on a response's head. */
    static final int MAX_HEAD_BYTES = 8 * 1024;

    private static final int MAX_BODY_BYTES = 16 * 1024; // the platform's limit on a page is 6,000 bytes
    private static final int MAX_FIELDS = 100;

    private final HttpParser parser = new HttpParser(
            HttpParser.Side.RESPONSES,
            new HttpParser.Limits(MAX_HEAD_BYTES, MAX_HEAD_BYTES, MAX_FIELDS, MAX_BODY_BYTES),
            this,
            name -> true);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private HttpHead head;
    private Response complete;

    /**
     * Consumes bytes up to the end of a response.
     *
     * @return the response; null while it is incomplete
     * @throws MalformedHttpException if the bytes are not a response, or the response exceeds a limit
     */
    Response decode(ByteBuffer bytes) throws MalformedHttpException {
        if (!parser.feed(bytes)) {
            return null;
        }
        Response response = complete;
        complete = null;
        return response.withExcess(excess(bytes));
    }

    /**
     * Tells what bytes behind a response are. The rest of a page whose stated length is too short is never taken for
     * the head of another response: rows contain no empty line.
     *
     * @param bytes the bytes, of which none is consumed
     */
    static Response.Excess excess(ByteBuffer bytes) {
        if (!bytes.hasRemaining()) {
            return Response.Excess.NOTHING;
        }
        ResponseDecoder next = new ResponseDecoder();
        try {
            next.parser.feed(bytes.duplicate());
        } catch (MalformedHttpException e) {
            return Response.Excess.OTHER_BYTES;
        }
        return next.head == null ? Response.Excess.OTHER_BYTES : Response.Excess.ANOTHER_RESPONSE;
    }

    @Override
    public void head(HttpHead next) {
        head = next;
    }

    @Override
    public void body(ByteBuffer part) {
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        body.writeBytes(bytes);
    }

    @Override
    public void end() {
        complete = new Response(
                head.status(), head.headers(), body.toByteArray(), head.isKeepAlive(), Response.Excess.NOTHING);
        body.reset();
    }
}
