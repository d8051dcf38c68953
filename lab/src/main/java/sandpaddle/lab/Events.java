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
 * Writes the event file of an experiment, one JSON object per line: {@code us} (Unix time in microseconds), {@code
 * party}, {@code kind}, and where they apply {@code request} (shared by all attempts of a client's request), {@code
 * attempt} (the trace ID of an attempt), {@code engine}, {@code class}, {@code outcome}. Thread-safe. {@link
 * RetryStormAudit} and {@link FleetAudit} recompute an experiment's figures from it.
 */
public final class Events implements Closeable {
    private final OutputStream out;
    private final JsonGenerator json;

    /**
     * Opens an event file.
     *
     * @param file null to discard all events
     */
    public Events(Path file) throws IOException {
        out = file == null ? OutputStream.nullOutputStream() : new BufferedOutputStream(Files.newOutputStream(file));
        json = new JsonFactory().createGenerator(out);
        json.setRootValueSeparator(new com.fasterxml.jackson.core.io.SerializedString("\n"));
    }

    /**
     * Writes an event.
     *
     * @param fields alternating keys and values; null values are left out
     */
    public synchronized void add(long timestampUs, String party, String kind, Object... fields) {
        try {
            json.writeStartObject();
            json.writeNumberField("us", timestampUs);
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
            throw new UncheckedIOException("cannot write the event file", e);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        json.close();
        out.close();
    }
}
