package sandpaddle.log;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.PrintStream;
import java.time.Instant;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import java.util.TreeMap;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * A tinylog writer with one line for each entry on standard error, as text for people or as one JSON object. The fields
 * of a {@link LogEvent} follow the message as {@code key=value} or are members of the object. A line is written with
 * one call, so that lines of different threads do not mix. Line breaks in a message become spaces, so that an entry
 * stays on one line.
 */
public final class LineWriter implements Writer {
    /** Format of a line. */
    public enum Format {
        /** Text for people. */
        HUMAN,
        /** One JSON object. */
        JSON
    }

    private static final DateTimeFormatter TIME_FORMAT = DateTimeFormatter.ofPattern("HH:mm:ss.SSS");
    private static final int MAX_CHARS = 8192; // limit on one text, since messages may contain input from peers

    private final PrintStream out;
    private final Format format;
    private final ZoneId zone = ZoneId.systemDefault();

    /**
     * Creates a writer to standard error; called by tinylog.
     *
     * @param properties the writer's properties, of which {@code format} is {@code human} or {@code json}
     */
    public LineWriter(Map<String, String> properties) {
        this(System.err, "json".equalsIgnoreCase(properties.get("format")) ? Format.JSON : Format.HUMAN);
    }

    LineWriter(PrintStream out, Format format) {
        this.out = out;
        this.format = format;
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(
                LogEntryValue.DATE,
                LogEntryValue.LEVEL,
                LogEntryValue.CLASS,
                LogEntryValue.MESSAGE,
                LogEntryValue.EXCEPTION,
                LogEntryValue.CONTEXT);
    }

    @Override
    public void write(LogEntry entry) {
        StringBuilder line = new StringBuilder(160);
        Instant timestamp = entry.getTimestamp().toInstant();
        String className = entry.getClassName();
        String simpleName = className.substring(className.lastIndexOf('.') + 1);
        if (format == Format.JSON) {
            appendJson(line, entry, timestamp, simpleName);
        } else {
            appendText(line, entry, timestamp, simpleName);
        }
        out.print(line.append('\n'));
        out.flush();
    }

    private void appendText(StringBuilder line, LogEntry entry, Instant timestamp, String simpleName) {
        TIME_FORMAT.formatTo(timestamp.atZone(zone), line);
        line.append(' ')
                .append(entry.getLevel())
                .append(' ')
                .append(simpleName)
                .append(": ")
                .append(withoutLineBreaks(message(entry)));
        new TreeMap<>(entry.getContext())
                .forEach((key, value) ->
                        line.append(' ').append(key).append('=').append(withoutLineBreaks(withoutPrefix(value))));
        if (entry.getException() != null) {
            line.append('\n').append(stackTrace(entry.getException()));
        }
    }

    private static void appendJson(StringBuilder line, LogEntry entry, Instant timestamp, String simpleName) {
        line.append('{');
        appendMember(line, "time", timestamp.toString());
        appendMember(line.append(','), "level", entry.getLevel().toString().toLowerCase(java.util.Locale.ROOT));
        appendMember(line.append(','), "from", simpleName);
        appendMember(line.append(','), "message", message(entry));
        new TreeMap<>(entry.getContext()).forEach((key, value) -> appendMember(line.append(','), key, value));
        if (entry.getException() != null) {
            appendMember(line.append(','), "exception", stackTrace(entry.getException()));
        }
        line.append('}');
    }

    private static String withoutPrefix(String value) {
        return isNumber(value) ? value.substring(1) : value;
    }

    private static boolean isNumber(String value) {
        return !value.isEmpty() && value.charAt(0) == LogEvent.NUMBER_PREFIX;
    }

    private static void appendMember(StringBuilder line, String key, String value) {
        line.append('"').append(key).append("\":");
        if (isNumber(value)) {
            line.append(withoutPrefix(value));
        } else {
            line.append('"');
            JsonStringEncoder.getInstance().quoteAsString(truncate(value), line);
            line.append('"');
        }
    }

    private static String message(LogEntry entry) {
        return entry.getMessage() == null ? "" : truncate(entry.getMessage());
    }

    private static String truncate(String text) {
        return text.length() > MAX_CHARS ? text.substring(0, MAX_CHARS) + " (truncated)" : text;
    }

    private static String withoutLineBreaks(String text) {
        return text.indexOf('\n') < 0 && text.indexOf('\r') < 0
                ? text
                : text.replace('\r', ' ').replace('\n', ' ');
    }

    private static String stackTrace(Throwable exception) {
        java.io.StringWriter text = new java.io.StringWriter();
        exception.printStackTrace(new java.io.PrintWriter(text));
        return truncate(text.toString().stripTrailing());
    }

    @Override
    public void flush() {
        out.flush();
    }

    @Override
    public void close() {
        out.flush(); // standard error stays open
    }
}
