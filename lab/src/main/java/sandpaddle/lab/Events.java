package sandpaddle.lab;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What every party saw, one JSON object a line: {@code us} (Unix microseconds), {@code party}, {@code kind}, and where
 * they apply {@code request} (one for all tries of a client), {@code attempt} (the trace of a try), {@code engine},
 * {@code class}, {@code outcome}. From any thread. {@link Audit} recounts an experiment from it.
 */
public final class Events implements Closeable {
    private final OutputStream out;
    private final JsonGenerator json;

    /** Into a file, or to nowhere where it is null. */
    public Events(Path file) throws IOException {
        out = file == null ? OutputStream.nullOutputStream() : new BufferedOutputStream(Files.newOutputStream(file));
        json = new JsonFactory().createGenerator(out);
        json.setRootValueSeparator(new com.fasterxml.jackson.core.io.SerializedString("\n"));
    }

    /** Keys and values in turn; values that are null are left out. */
    public synchronized void add(long us, String party, String kind, Object... fields) {
        try {
            json.writeStartObject();
            json.writeNumberField("us", us);
            json.writeStringField("party", party);
            json.writeStringField("kind", kind);
            for (int i = 0; i < fields.length; i += 2) {
                String key = (String) fields[i];
                Object v = fields[i + 1];
                if (v instanceof Long || v instanceof Integer) {
                    json.writeNumberField(key, ((Number) v).longValue());
                } else if (v instanceof Double d) {
                    json.writeNumberField(key, d);
                } else if (v != null) {
                    json.writeStringField(key, v.toString());
                }
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("the events file cannot be written", e);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        json.close();
        out.close();
    }
}
