package sandpaddle.fleet.link.frame;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.link.MessageKind;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

class FrameProperties {
    private static final Greeting GREETING =
            new Greeting(1, 3, "paddle", new Member("gw-1", "hall-1", "10.0.0.1", 7000), "gw-2", -5, 17);

    private static byte[] body(Frame frame) {
        ByteBuffer bytes = frame.encode();
        byte[] body = new byte[bytes.getInt()];
        assertEquals(body.length, bytes.remaining());
        bytes.get(body);
        return body;
    }

    @Test
    void eachFrameIsDecodedAsItWasEncoded() throws FaultyMessageException {
        for (Frame frame : List.of(
                new Frame.Hello(GREETING),
                new Frame.Welcome(GREETING),
                new Frame.Ping(-3),
                new Frame.Rejected(RejectionCode.CLUSTER, "no"),
                new Frame.Pong(Long.MAX_VALUE),
                new Frame.Bye("so long"))) {
            assertEquals(frame, Frame.decode(body(frame)));
        }
        for (MessageKind kind : MessageKind.values()) {
            byte[] payload = new byte[kind.ordinal() * 300];
            Frame.Data decoded = (Frame.Data) Frame.decode(body(new Frame.Data(kind, payload)));
            assertEquals(kind, decoded.kind());
            assertArrayEquals(payload, decoded.payload());
            assertTrue(body(decoded).length <= payload.length + Frame.DATA_OVERHEAD_BYTES);
        }
    }

    /** The numbers on the wire must be the same in all versions. */
    @Test
    void numbersOfKindsNeverChange() {
        assertEquals(
                List.of(
                        MessageKind.RAFT,
                        MessageKind.HEARTBEAT,
                        MessageKind.GRANT,
                        MessageKind.EVIDENCE,
                        MessageKind.PROPOSAL,
                        MessageKind.CONTENT),
                List.of(MessageKind.values()).subList(0, 6));
        assertEquals(16, body(new Frame.Data(MessageKind.RAFT, new byte[0]))[0]);
        assertEquals(
                List.of(
                        RejectionCode.VERSION,
                        RejectionCode.CLUSTER,
                        RejectionCode.NAME,
                        RejectionCode.NOT_ME,
                        RejectionCode.DUPLICATE,
                        RejectionCode.STALE),
                List.of(RejectionCode.values()).subList(0, 6));
    }

    /** Another CBOR encoder may encode a short length in fewer bytes. */
    @Test
    void aMessageInAnotherCborEncodingIsEqual() throws FaultyMessageException {
        Frame.Data decoded = (Frame.Data) Frame.decode(
                new CborOut().number(21).bytes(new byte[] {1, 2, 3}).done());
        assertEquals(MessageKind.CONTENT, decoded.kind());
        assertArrayEquals(new byte[] {1, 2, 3}, decoded.payload());
        byte[] encoded = body(new Frame.Data(MessageKind.RAFT, new byte[9]));
        assertTrue(!isDecodable(java.util.Arrays.copyOf(encoded, encoded.length - 1))
                && !isDecodable(java.util.Arrays.copyOf(encoded, encoded.length + 1)));
    }

    /** A later version may add values to greetings and new frame numbers. */
    @Test
    void additionsOfALaterVersionAreSkipped() throws FaultyMessageException {
        byte[] laterVersion = new CborOut()
                .number(2)
                .number(1)
                .number(3)
                .text("paddle")
                .text("gw-1")
                .text("hall-1")
                .text("10.0.0.1")
                .number(7000)
                .text("gw-2")
                .number(-5)
                .number(17)
                .text("added")
                .flag(true)
                .done();
        assertEquals(new Frame.Welcome(GREETING), Frame.decode(laterVersion));
        assertEquals(
                new Frame.Unknown(99),
                Frame.decode(new CborOut().number(99).text("new").done()));
        assertEquals(
                new Frame.Rejected(RejectionCode.OTHER, "new"),
                Frame.decode(new CborOut().number(3).number(77).text("new").done()));
    }

    @Property(seed = "31", tries = 200)
    void anySplitOfTheBytesGivesTheSameFrames(
            @ForAll @Size(max = 12) List<@IntRange(max = 50_000) Integer> sizes,
            @ForAll @IntRange(max = 1_000_000) int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<byte[]> sent = new ArrayList<>();
        ByteBuffer stream =
                ByteBuffer.allocate(sizes.stream().mapToInt(size -> size + 4).sum());
        for (int count : sizes) {
            byte[] body = new byte[count];
            random.nextBytes(body);
            sent.add(body);
            stream.putInt(count).put(body);
        }
        stream.flip();
        FrameDecoder decoder = new FrameDecoder(50_000);
        List<byte[]> decodedBodies = new ArrayList<>();
        int max = 1 + random.nextInt(random.nextBoolean() ? 8 : 30_000);
        while (stream.hasRemaining()) {
            int count = Math.min(stream.remaining(), 1 + random.nextInt(max));
            ByteBuffer part = stream.slice(stream.position(), count);
            assertEquals(Optional.empty(), decoder.decode(part, decodedBodies::add));
            stream.position(stream.position() + count);
        }
        assertEquals(sent.size(), decodedBodies.size());
        for (int i = 0; i < sent.size(); i++) {
            assertArrayEquals(sent.get(i), decodedBodies.get(i));
        }
    }

    /** The length in a header allocates no memory before the bytes arrive, and one over the bound is an error. */
    @Property(seed = "32", tries = 300)
    void garbageNeverBuffersMoreThanTwiceItsSizeNorThrows(
            @ForAll @Size(max = 200) byte[] garbage, @ForAll @IntRange(min = 16, max = 1 << 26) int bound) {
        FrameDecoder decoder = new FrameDecoder(bound);
        Optional<String> fault = Optional.empty();
        for (byte next : garbage) {
            fault = decoder.decode(ByteBuffer.wrap(new byte[] {next}), body -> true);
            assertTrue(decoder.bufferedBytes() <= 2 * 16384, "buffered bytes " + decoder.bufferedBytes());
        }
        if (garbage.length >= 4) {
            int length = ByteBuffer.wrap(garbage).getInt();
            assertTrue(length >= 0 && length <= bound || fault.isPresent());
        }
    }

    @Test
    void aFrameOverTheBoundIsReportedWithItsLength() {
        FrameDecoder decoder = new FrameDecoder(100);
        assertEquals(
                Optional.of("frame of 101 bytes is over the bound of 100"),
                decoder.decode(ByteBuffer.allocate(8).putInt(101).putInt(0).flip(), body -> true));
        assertEquals(
                Optional.of("frame of 4294967295 bytes is over the bound of 100"),
                new FrameDecoder(100).decode(ByteBuffer.allocate(4).putInt(-1).flip(), body -> true));
    }

    @Test
    void theBoundCanBeRaisedBetweenTwoFramesOfOneRead() {
        FrameDecoder decoder = new FrameDecoder(10);
        List<Integer> sizes = new ArrayList<>();
        ByteBuffer bytes = ByteBuffer.allocate(100).putInt(4).putInt(0).putInt(60);
        assertEquals(Optional.empty(), decoder.decode(bytes.position(72).flip(), body -> {
            decoder.setMaxBodyBytes(60);
            return sizes.add(body.length);
        }));
        assertEquals(List.of(4, 60), sizes);
    }

    /** Decoding throws only the declared exception, whatever the body. */
    @Property(seed = "33", tries = 3000)
    void garbageAsABodyIsAnErrorOrAFrame(@ForAll @IntRange(max = 40) int number, @ForAll @Size(max = 80) byte[] rest) {
        byte[] body = new byte[rest.length + 1];
        body[0] = (byte) number;
        System.arraycopy(rest, 0, body, 1, rest.length);
        assertTrue(isDecodable(body) || !isDecodable(body));
    }

    /** Corrupt greetings reach more of the decoder than random bytes do. */
    @Property(seed = "34", tries = 2000)
    void aCorruptGreetingIsAnErrorOrAGreeting(@ForAll @IntRange(max = 1_000_000) int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] body = body(new Frame.Hello(GREETING));
        for (int i = random.nextInt(1, 4); i > 0; i--) {
            body[random.nextInt(body.length)] = (byte) random.nextInt();
        }
        isDecodable(java.util.Arrays.copyOf(body, random.nextInt(body.length + 1)));
        assertTrue(isDecodable(body(new Frame.Hello(GREETING))));
    }

    private static boolean isDecodable(byte[] body) {
        try {
            return Frame.decode(body) != null;
        } catch (FaultyMessageException e) {
            return false;
        }
    }

    @Property(seed = "35", tries = 200)
    void aReasonOfAnyTextFitsAndIsReadable(@ForAll @StringLength(max = 2000) String reason) {
        assertTrue(isDecodable(body(new Frame.Bye(reason))));
        assertTrue(body(new Frame.Rejected(RejectionCode.NAME, reason)).length < Frame.MAX_GREETING_BYTES);
    }

    @Property(seed = "36", tries = 300)
    void bothSidesFindTheSameVersionOrNone(
            @ForAll @IntRange(min = 1, max = 5) int a,
            @ForAll @IntRange(min = 1, max = 5) int b,
            @ForAll @IntRange(min = 1, max = 5) int c,
            @ForAll @IntRange(min = 1, max = 5) int d) {
        int min = Math.min(a, b);
        int max = Math.max(a, b);
        int otherMin = Math.min(c, d);
        int otherMax = Math.max(c, d);
        int expected = 0;
        for (int version = 1; version <= 5; version++) {
            expected =
                    version >= min && version <= max && version >= otherMin && version <= otherMax ? version : expected;
        }
        assertEquals(expected, Greeting.highestCommonVersion(min, max, otherMin, otherMax));
        assertEquals(expected, Greeting.highestCommonVersion(otherMin, otherMax, min, max));
    }
}
