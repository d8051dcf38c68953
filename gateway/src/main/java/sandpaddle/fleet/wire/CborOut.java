package sandpaddle.fleet.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.function.BiConsumer;

/**
 * Writes a message as CBOR (RFC 8949): a sequence of values without names, which {@link CborIn} reads. Not
 * thread-safe.
 */
public final class CborOut {
    /** Replaces unpaired surrogates in texts, which clients may have sent, instead of failing. */
    private static final CBORFactory FACTORY = CBORFactory.builder()
            .enable(CBORGenerator.Feature.LENIENT_UTF_ENCODING)
            .build();

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final JsonGenerator generator;

    /** Starts a message. */
    public CborOut() {
        try {
            generator = FACTORY.createGenerator(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private interface Step {
        void run() throws IOException;
    }

    private CborOut write(Step step) {
        try {
            step.run(); // writes to memory, so it fails only because of a bug
            return this;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Writes a text. */
    public CborOut text(String value) {
        return write(() -> generator.writeString(value));
    }

    /** Writes an integer. */
    public CborOut number(long value) {
        return write(() -> generator.writeNumber(value));
    }

    /** Writes a floating-point number. */
    public CborOut real(double value) {
        return write(() -> generator.writeNumber(value));
    }

    /** Writes a boolean. */
    public CborOut flag(boolean value) {
        return write(() -> generator.writeBoolean(value));
    }

    /** Writes a byte string. */
    public CborOut bytes(byte[] value) {
        return write(() -> generator.writeBinary(value));
    }

    /** Writes a list: its length, then each item by {@code item}. */
    public <T> CborOut list(Collection<T> values, BiConsumer<CborOut, T> item) {
        number(values.size());
        values.forEach(value -> item.accept(this, value));
        return this;
    }

    /** Ends the message and returns its bytes; nothing can be written afterwards. */
    public byte[] done() {
        write(generator::close);
        return bytes.toByteArray();
    }
}
