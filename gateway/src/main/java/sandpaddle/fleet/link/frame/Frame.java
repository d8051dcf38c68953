package sandpaddle.fleet.link.frame;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import sandpaddle.fleet.link.MessageKind;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

/**
 * A frame between gateways. Its body is CBOR (RFC 8949): a number, then values. Numbers below {@value #FIRST_KIND}
 * belong to the link itself; from there on they count {@link MessageKind}. Later versions may add numbers, and values
 * at the end of the handshake's frames; a decoder ignores unknown numbers and additional values.
 */
public sealed interface Frame {
    /** Frame number of the first message kind. */
    int FIRST_KIND = 16;
    /** Longest frame before the handshake has identified the peer. */
    int MAX_GREETING_BYTES = 2048;

    /** Longest reason in a frame. */
    int MAX_REASON_BYTES = 512;
    /** Longest name or host in a greeting. */
    int MAX_HOST_BYTES = 255;
    /** Number of {@link Hello}. */
    int HELLO = 1;
    /** Number of {@link Welcome}. */
    int WELCOME = 2;
    /** Number of {@link Rejected}. */
    int REJECTED = 3;
    /** Number of {@link Ping}. */
    int PING = 4;
    /** Number of {@link Pong}. */
    int PONG = 5;
    /** Number of {@link Bye}. */
    int BYE = 6;

    /** First frame of the connecting side. */
    record Hello(Greeting from) implements Frame {}

    /** Answer of the accepting side. */
    record Welcome(Greeting from) implements Frame {}

    /** Answer if no link is established; the connection closes after it. */
    record Rejected(RejectionCode code, String reason) implements Frame {}

    /** Liveness request; {@code stampUs} is the sender's monotonic time. */
    record Ping(long stampUs) implements Frame {}

    /** Answer to a ping with its stamp. */
    record Pong(long stampUs) implements Frame {}

    /** Last frame of the side that closes an established link. */
    record Bye(String reason) implements Frame {}

    /** A message of the fleet. */
    record Data(MessageKind kind, byte[] payload) implements Frame {}

    /** A frame of a later version. */
    record Unknown(long number) implements Frame {}

    /** Encodes length and body, ready to be written. */
    default ByteBuffer encode() {
        if (this instanceof Data data) {
            return encodeData(data);
        }
        CborOut out = new CborOut();
        if (this instanceof Hello hello) {
            encodeGreeting(out.number(HELLO), hello.from);
        } else if (this instanceof Welcome welcome) {
            encodeGreeting(out.number(WELCOME), welcome.from);
        } else if (this instanceof Rejected rejected) {
            out.number(REJECTED).number(rejected.code.ordinal()).text(printable(rejected.reason));
        } else if (this instanceof Ping ping) {
            out.number(PING).number(ping.stampUs);
        } else if (this instanceof Pong pong) {
            out.number(PONG).number(pong.stampUs);
        } else if (this instanceof Bye bye) {
            out.number(BYE).text(printable(bye.reason));
        } else {
            throw new IllegalArgumentException("cannot encode a frame of a later version: " + this);
        }
        byte[] body = out.done();
        ByteBuffer frame = ByteBuffer.allocate(FrameDecoder.HEADER_BYTES + body.length);
        return frame.putInt(body.length).put(body).flip();
    }

    /** Bytes that a {@link Data} frame adds to its payload. */
    int DATA_OVERHEAD_BYTES = 6;
    /** CBOR's initial byte of a byte string whose length takes four bytes. */
    byte BYTE_STRING_32_BIT_LENGTH = 0x5a;

    /** Messages are the most frequent and longest frames, so they are encoded with a single copy of the payload. */
    private static ByteBuffer encodeData(Data data) {
        ByteBuffer frame = ByteBuffer.allocate(FrameDecoder.HEADER_BYTES + DATA_OVERHEAD_BYTES + data.payload.length);
        return frame.putInt(DATA_OVERHEAD_BYTES + data.payload.length)
                .put((byte) (FIRST_KIND + data.kind.ordinal()))
                .put(BYTE_STRING_32_BIT_LENGTH)
                .putInt(data.payload.length)
                .put(data.payload)
                .flip();
    }

    private static String printable(String reason) {
        String text = reason.length() > MAX_REASON_BYTES / 3 ? reason.substring(0, MAX_REASON_BYTES / 3) : reason;
        return text.replaceAll("[^ -~]", "?"); // truncation may leave an unpaired surrogate, which cannot be encoded
    }

    private static void encodeGreeting(CborOut out, Greeting greeting) {
        out.number(greeting.minVersion())
                .number(greeting.maxVersion())
                .text(greeting.cluster())
                .text(greeting.member().name())
                .text(greeting.member().zone())
                .text(greeting.member().host())
                .number(greeting.member().port())
                .text(greeting.targetName())
                .number(greeting.incarnation())
                .number(greeting.sequence());
    }

    /** Decodes a frame in the encoding of {@link #encodeData}; null for another one, which the CBOR library decodes. */
    private static Data decodePlainData(byte[] body) {
        boolean plain = body.length >= DATA_OVERHEAD_BYTES
                && body[0] >= FIRST_KIND
                && body[0] < FIRST_KIND + MessageKind.values().length
                && body[1] == BYTE_STRING_32_BIT_LENGTH
                && ByteBuffer.wrap(body, 2, 4).getInt() == body.length - DATA_OVERHEAD_BYTES;
        return plain
                ? new Data(
                        MessageKind.values()[body[0] - FIRST_KIND],
                        Arrays.copyOfRange(body, DATA_OVERHEAD_BYTES, body.length))
                : null;
    }

    /**
     * Decodes a body. Of a frame of a later version only the number is read.
     *
     * @param body the frame without its length
     * @throws FaultyMessageException if the body is not a valid frame of any version
     */
    static Frame decode(byte[] body) throws FaultyMessageException {
        Data plain = decodePlainData(body);
        if (plain != null) {
            return plain;
        }
        CborIn in = new CborIn(body);
        long number = in.number(0, Integer.MAX_VALUE);
        Optional<MessageKind> kind = kind(number);
        if (kind.isPresent()) {
            byte[] payload = in.bytes(body.length);
            in.end();
            return new Data(kind.get(), payload);
        }
        return switch ((int) number) {
            case HELLO -> new Hello(decodeGreeting(in));
            case WELCOME -> new Welcome(decodeGreeting(in));
            case REJECTED -> new Rejected(RejectionCode.of(in.number(0, Integer.MAX_VALUE)), in.text(MAX_REASON_BYTES));
            case PING -> new Ping(in.number(Long.MIN_VALUE, Long.MAX_VALUE));
            case PONG -> new Pong(in.number(Long.MIN_VALUE, Long.MAX_VALUE));
            case BYE -> new Bye(in.text(MAX_REASON_BYTES));
            default -> new Unknown(number);
        };
    }

    private static Optional<MessageKind> kind(long number) {
        long index = number - FIRST_KIND;
        return index >= 0 && index < MessageKind.values().length
                ? Optional.of(MessageKind.values()[(int) index])
                : Optional.empty();
    }

    /** Names are not validated here, so that a rejection can state which name is invalid. */
    private static Greeting decodeGreeting(CborIn in) throws FaultyMessageException {
        int min = (int) in.number(0, Integer.MAX_VALUE);
        int max = (int) in.number(min, Integer.MAX_VALUE);
        String cluster = in.text(MAX_HOST_BYTES);
        Member member = new Member(
                in.text(MAX_HOST_BYTES), in.text(MAX_HOST_BYTES), in.text(MAX_HOST_BYTES), (int) in.number(0, 65535));
        return new Greeting(
                min,
                max,
                cluster,
                member,
                in.text(MAX_HOST_BYTES),
                in.number(Long.MIN_VALUE, Long.MAX_VALUE),
                in.number(0, Long.MAX_VALUE));
    }
}
