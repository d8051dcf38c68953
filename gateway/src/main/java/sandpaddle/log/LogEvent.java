package sandpaddle.log;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.tinylog.Level;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;
import org.tinylog.provider.LoggingProvider;
import org.tinylog.provider.ProviderRegistry;

/**
 * A structured log entry: a message with named fields, which {@link LineWriter} writes after the message or as members
 * of a JSON object. Entries about a query carry its trace id, see {@link #trace}. Not thread-safe: one thread builds
 * and writes an entry.
 */
public final class LogEvent {
    /** Prefix of numbers in the context, whose values are strings; {@link LineWriter} writes them without quotes. */
    static final char NUMBER_PREFIX = '\u0001';

    private static final String TRACE_KEY = "trace";
    private static final LoggingProvider LOG = ProviderRegistry.getLoggingProvider();
    private static final int CALLER_DEPTH = 3; // stack frames from the logging provider to the caller of this class

    private final String message;
    private final Map<String, String> fields = new LinkedHashMap<>();

    private LogEvent(String message) {
        this.message = message;
    }

    /** Starts an entry with a message. */
    public static LogEvent of(String message) {
        return new LogEvent(message);
    }

    /** Adds the trace id of the query that the entry is about. */
    public LogEvent trace(String traceId) {
        fields.put(TRACE_KEY, traceId);
        return this;
    }

    /** Adds a string. */
    public LogEvent with(String key, String value) {
        fields.put(key, String.valueOf(value));
        return this;
    }

    /** Adds an integer. */
    public LogEvent with(String key, long value) {
        fields.put(key, NUMBER_PREFIX + Long.toString(value));
        return this;
    }

    /** Adds a number with three decimal places; {@code none} if it is infinite or NaN. */
    public LogEvent with(String key, double value) {
        fields.put(key, Double.isFinite(value) ? NUMBER_PREFIX + String.format(Locale.ROOT, "%.3f", value) : "none");
        return this;
    }

    /** Writes the entry with level INFO. */
    public void info() {
        write(Level.INFO);
    }

    /** Writes the entry with level WARN. */
    public void warn() {
        write(Level.WARN);
    }

    /** Writes the entry with level DEBUG. */
    public void debug() {
        write(Level.DEBUG);
    }

    /** Whether entries with level DEBUG are written; check it first if an entry is expensive to build. */
    public static boolean isDebugOn() {
        return Logger.isDebugEnabled();
    }

    private void write(Level level) {
        fields.forEach(ThreadContext::put);
        try {
            LOG.log(CALLER_DEPTH, null, level, null, null, message, (Object[]) null);
        } finally {
            fields.keySet().forEach(ThreadContext::remove);
        }
    }
}
