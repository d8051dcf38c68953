package sandpaddle.fleet.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;

class CborProperties {
    private static final int MAX_BYTES = 1 << 20;

    @Property(seed = "61", tries = 300)
    void valuesSurviveARoundTrip(
            @ForAll @StringLength(max = 100) String text,
            @ForAll long number,
            @ForAll double real,
            @ForAll boolean flag,
            @ForAll @Size(max = 300) byte[] bytes,
            @ForAll @Size(max = 40) List<Integer> list)
            throws FaultyMessageException {
        CborIn in = new CborIn(new CborOut()
                .text(text)
                .number(number)
                .real(real)
                .flag(flag)
                .bytes(bytes)
                .list(list, (out, item) -> out.number(item))
                .done());
        String decoded = in.text(MAX_BYTES);
        assertEquals(text.length(), decoded.length());
        assertEquals(number, in.number(Long.MIN_VALUE, Long.MAX_VALUE));
        assertEquals(real, in.real());
        assertEquals(flag, in.flag());
        assertArrayEquals(bytes, in.bytes(MAX_BYTES));
        assertEquals(list, in.list(40, i -> (int) i.number(Integer.MIN_VALUE, Integer.MAX_VALUE)));
        in.end();
    }

    private static String errorMessage(byte[] message, CborIn.Item<Object> read) {
        return assertThrows(FaultyMessageException.class, () -> read.read(new CborIn(message)))
                .getMessage();
    }

    @Test
    void errorsStateThePositionAndTheBounds() {
        byte[] text = new CborOut().number(1).text("abcdé").done();
        assertEquals("value 2 is longer than 5 bytes", errorMessage(text, in -> in.number(0, 9) + in.text(5)));
        assertEquals("value 1 is 1, not from 2 to 9", errorMessage(text, in -> in.number(2, 9)));
        assertEquals("value 1 is no text", errorMessage(text, in -> in.text(9)));
        assertEquals(
                "value 1 is no number", errorMessage(new CborOut().flag(true).done(), CborIn::real));
        assertEquals("value 1 is neither true nor false", errorMessage(text, CborIn::flag));
        assertEquals(
                "value 1 is not finite",
                errorMessage(new CborOut().real(Double.NaN).done(), CborIn::real));
        assertEquals(
                "value 1 is longer than 3 bytes",
                errorMessage(new CborOut().bytes(new byte[4]).done(), in -> in.bytes(3)));
        assertEquals(
                "value 1 is 5, not from 0 to 4",
                errorMessage(new CborOut().number(5).done(), in -> in.list(4, CborIn::flag)));
        assertEquals("value 2 follows the end of the message", errorMessage(text, in -> {
            in.number(0, 9);
            in.end();
            return "";
        }));
        assertEquals("value 1 is no whole number", errorMessage(new byte[0], in -> in.number(0, 9)));
        assertTrue(
                errorMessage(new byte[] {0x1b, -1, -1, -1, -1, -1, -1, -1, -1}, in -> in.number(0, 9))
                        .startsWith("value 1 cannot be read"),
                "2^64-1 does not fit into a long");
    }

    /** An unpaired surrogate must not make the whole message fail. */
    @Test
    void unpairedSurrogateIsReplaced() throws FaultyMessageException {
        assertEquals(
                3, new CborIn(new CborOut().text("a\ud800b").done()).text(9).length());
    }

    /** Corrupt messages give the declared exception or values within the bounds, and no other exception. */
    @Property(seed = "62", tries = 3000)
    void randomBytesAreAnErrorOrValuesWithinBounds(
            @ForAll @Size(max = 60) byte[] randomBytes,
            @ForAll @IntRange(max = 4) int firstType,
            @ForAll @IntRange(max = 255) int initialByte) {
        byte[] message = randomBytes.clone();
        if (message.length > 0) {
            message[0] = (byte) initialByte;
        }
        try {
            CborIn in = new CborIn(message);
            for (int i = 0; i < 5; i++) {
                switch ((firstType + i) % 5) {
                    case 0 -> assertTrue(in.text(10).length() <= 10);
                    case 1 -> assertTrue(in.number(-5, 5) <= 5);
                    case 2 -> assertTrue(in.bytes(10).length <= 10);
                    case 3 -> assertTrue(in.list(3, CborIn::flag).size() <= 3);
                    default -> assertTrue(Double.isFinite(in.real()));
                }
            }
        } catch (FaultyMessageException e) {
            assertTrue(e.getMessage().startsWith("value ") || e.getMessage().startsWith("not a CBOR"), e.getMessage());
        }
    }

    @Test
    void everyPrefixOfAMessageIsAnError() {
        byte[] message = new CborOut()
                .text("abc")
                .bytes(new byte[300])
                .number(1L << 40)
                .real(0.1)
                .done();
        for (int length = 0; length < message.length; length++) {
            byte[] prefix = Arrays.copyOf(message, length);
            assertThrows(FaultyMessageException.class, () -> {
                CborIn in = new CborIn(prefix);
                in.text(9);
                in.bytes(300);
                in.number(0, Long.MAX_VALUE);
                in.real();
            });
        }
    }
}
