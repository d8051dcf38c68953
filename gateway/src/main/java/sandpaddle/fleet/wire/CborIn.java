package sandpaddle.fleet.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the values of a CBOR message (RFC 8949) in order, as {@link CborOut} writes them. The message may come from an
 * untrusted sender: the type and the bounds of every value are checked, and an error states the value's position in
 * the message. Not thread-safe.
 */
public final class CborIn {
    private static final CBORFactory FACTORY = new CBORFactory();
    private static final int MAX_INITIAL_CAPACITY = 64; // of a list

    /** A message is malformed, or a value is out of its bounds. */
    public static final class FaultyMessageException extends Exception {
        private static final long serialVersionUID = 1;

        /** Creates an exception that says what is wrong and where. */
        public FaultyMessageException(String message) {
            super(message);
        }
    }

    /** Reads one item of a list. */
    public interface Item<T> {
        /** Reads the values of one item. */
        T read(CborIn in) throws FaultyMessageException;
    }

    private final JsonParser parser;
    private int position; // of the value read last, from 1

    /** Starts reading a message. */
    public CborIn(byte[] message) throws FaultyMessageException {
        try {
            parser = FACTORY.createParser(message);
        } catch (IOException e) {
            throw new FaultyMessageException("not a CBOR message: " + e.getMessage());
        }
    }

    private interface Step<T> {
        T read() throws IOException;
    }

    /** Runs a step of the parser, which may also throw unchecked exceptions if the bytes are corrupt. */
    private <T> T translateErrors(Step<T> step) throws FaultyMessageException {
        try {
            return step.read();
        } catch (IOException | RuntimeException e) {
            throw wrong("cannot be read: " + firstLine(e));
        }
    }

    private JsonToken next() throws FaultyMessageException {
        position++;
        return translateErrors(parser::nextToken);
    }

    private static String firstLine(Exception error) {
        return String.valueOf(error.getMessage()).split("\n", 2)[0];
    }

    /** Creates an exception about the value read last; {@code problem} completes the sentence "value N ...". */
    public FaultyMessageException wrong(String problem) {
        return new FaultyMessageException("value " + position + " " + problem);
    }

    /** Reads a text of at most {@code maxBytes} of UTF-8. */
    public String text(int maxBytes) throws FaultyMessageException {
        if (next() != JsonToken.VALUE_STRING) {
            throw wrong("is no text");
        }
        String value = translateErrors(parser::getText);
        if (value.length() > maxBytes || value.getBytes(StandardCharsets.UTF_8).length > maxBytes) {
            throw wrong("is longer than " + maxBytes + " bytes");
        }
        return value;
    }

    /** Reads a whole number within bounds. */
    public long number(long min, long max) throws FaultyMessageException {
        if (next() != JsonToken.VALUE_NUMBER_INT) {
            throw wrong("is no whole number");
        }
        long value = translateErrors(parser::getLongValue);
        if (value < min || value > max) {
            throw wrong("is " + value + ", not from " + min + " to " + max);
        }
        return value;
    }

    /** Reads a finite number. */
    public double real() throws FaultyMessageException {
        JsonToken token = next();
        if (token != JsonToken.VALUE_NUMBER_FLOAT && token != JsonToken.VALUE_NUMBER_INT) {
            throw wrong("is no number");
        }
        double value = translateErrors(parser::getDoubleValue);
        if (!Double.isFinite(value)) {
            throw wrong("is not finite");
        }
        return value;
    }

    /** Reads a boolean. */
    public boolean flag() throws FaultyMessageException {
        JsonToken token = next();
        if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
            throw wrong("is neither true nor false");
        }
        return token == JsonToken.VALUE_TRUE;
    }

    /** Reads a byte string of at most {@code limit} bytes. */
    public byte[] bytes(int limit) throws FaultyMessageException {
        if (next() != JsonToken.VALUE_EMBEDDED_OBJECT) {
            throw wrong("is no byte string");
        }
        byte[] value = translateErrors(parser::getBinaryValue);
        if (value.length > limit) {
            throw wrong("is longer than " + limit + " bytes");
        }
        return value;
    }

    /** Reads a list of at most {@code limit} items. */
    public <T> List<T> list(int limit, Item<T> item) throws FaultyMessageException {
        int size = (int) number(0, limit);
        // a claimed size allocates no memory before the items are read
        List<T> values = new ArrayList<>(Math.min(size, MAX_INITIAL_CAPACITY));
        for (int i = 0; i < size; i++) {
            values.add(item.read(this));
        }
        return values;
    }

    /** Checks that the message ends here. */
    public void end() throws FaultyMessageException {
        if (next() != null) {
            throw wrong("follows the end of the message");
        }
    }
}
