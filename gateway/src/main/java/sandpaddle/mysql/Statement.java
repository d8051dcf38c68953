package sandpaddle.mysql;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import sandpaddle.query.Query;

/**
 * The parsed text of a COM_QUERY: a statement that the gateway itself answers, or a query for an engine. A query states
 * its fields as {@code name=value} pairs, separated by commas, in a comment before the SQL ({@link FieldComment}):
 *
 * <ul>
 *   <li>{@code route}: request class; required
 *   <li>{@code trace}: trace id, 16 hex digits; required
 *   <li>{@code patience}: timeout in milliseconds; required
 *   <li>{@code weight}: estimated work in milliseconds
 *   <li>{@code est_mb}: estimated memory in MB
 *   <li>{@code once}: name of the run of a load, which must not run twice
 *   <li>{@code again}: 1 if an earlier attempt under the name in {@code once} may have run, else 0
 *   <li>{@code customer}: tenant
 *   <li>{@code nonce}: idempotency key
 *   <li>{@code entity}: ordering key
 * </ul>
 */
sealed interface Statement {
    /**
     * KILL [QUERY | CONNECTION] id.
     *
     * @param queryOnly whether the connection stays open
     * @param connectionId the connection to kill
     */
    record Kill(boolean queryOnly, int connectionId) implements Statement {}

    /** A query to run on an engine. */
    record RunQuery(Query query) implements Statement {}

    /** SHOW WARNINGS: returns the note that came with the answer to the session's last query, or no row without one. */
    record ShowWarnings() implements Statement {}

    /** SET without a field comment, which drivers send by themselves; acknowledged without effect. */
    record SetOption() implements Statement {}

    /** A text that is rejected; the client receives the reason. */
    record Malformed(String reason) implements Statement {}

    // Possessive quantifiers, so that a text that does not match is read once: a statement may have 64 KB.
    Pattern KILL = Pattern.compile(
            "\\s*+KILL\\s++(?:(QUERY|CONNECTION)\\s++)?+(\\d{1,9}+)\\s*+;?+\\s*+", Pattern.CASE_INSENSITIVE);
    Pattern SHOW_WARNINGS = Pattern.compile("\\s*+SHOW\\s++WARNINGS\\s*+;?+\\s*+", Pattern.CASE_INSENSITIVE);
    Pattern SET = Pattern.compile("SET\\s", Pattern.CASE_INSENSITIVE);
    Pattern TRACE_ID = Pattern.compile("[0-9a-fA-F]{16}");
    Pattern TENANT = Pattern.compile("[^\\p{Cntrl}]{1,64}");
    Pattern RUN_NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    Pattern HEADER_VALUE = Pattern.compile("[\\x21-\\x7E]{1,128}"); // sent to engines as the value of an HTTP header
    Pattern DECIMAL = Pattern.compile("[+-]?+(?:\\d++\\.?+\\d*+|\\.\\d++)(?:[eE][+-]?+\\d{1,3}+)?+");
    long MAX_MS = Duration.ofDays(1).toMillis();

    /**
     * Parses the text of a COM_QUERY. Returns {@link Malformed} for a query without a required field or with an invalid
     * one.
     */
    static Statement parse(byte[] text) {
        int start = SqlScanner.statementStart(text);
        // one character per byte
        String withoutComments = new String(text, start, text.length - start, StandardCharsets.ISO_8859_1);
        Matcher kill = KILL.matcher(withoutComments);
        if (kill.matches()) {
            return new Kill("QUERY".equalsIgnoreCase(kill.group(1)), Integer.parseInt(kill.group(2)));
        }
        if (SHOW_WARNINGS.matcher(withoutComments).matches()) {
            return new ShowWarnings();
        }
        FieldComment comment = FieldComment.find(text);
        if (comment == null) {
            return SET.matcher(withoutComments).lookingAt()
                    ? new SetOption()
                    : new Malformed("no comment with the field 'route'");
        }
        return parseQuery(comment.fields(), comment.statement());
    }

    private static Statement parseQuery(Map<String, String> fields, byte[] statement) {
        String traceId = fields.getOrDefault("trace", "");
        if (!TRACE_ID.matcher(traceId).matches()) {
            return new Malformed("field 'trace' is not 16 hex digits");
        }
        double timeoutMs = numberField(fields, "patience", -1);
        if (!(timeoutMs > 0 && timeoutMs <= MAX_MS)) {
            return new Malformed("field 'patience' is not a number of milliseconds");
        }
        double estimatedWorkMs = numberField(fields, "weight", 0);
        if (!(estimatedWorkMs >= 0 && estimatedWorkMs <= MAX_MS)) {
            return new Malformed("field 'weight' is not a number of milliseconds");
        }
        double memoryMb = numberField(fields, "est_mb", 0);
        if (!(memoryMb >= 0 && memoryMb < Integer.MAX_VALUE)) {
            return new Malformed("field 'est_mb' is not a number of MB");
        }
        String runName = fields.getOrDefault("once", "");
        if (!runName.isEmpty() && !RUN_NAME.matcher(runName).matches()) {
            return new Malformed("field 'once' is not 1 to 64 letters, digits, dots, dashes or underscores");
        }
        String again = fields.getOrDefault("again", "0");
        if (!again.equals("0") && !again.equals("1") || again.equals("1") && runName.isEmpty()) {
            return new Malformed("field 'again' is not 0 or 1 beside 'once'");
        }
        String tenant = new String(
                fields.getOrDefault("customer", "").getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
        if (!tenant.isEmpty() && !TENANT.matcher(tenant).matches()) {
            return new Malformed("field 'customer' is not 1 to 64 printable characters");
        }
        for (String field : new String[] {"nonce", "entity"}) {
            if (fields.containsKey(field)
                    && !HEADER_VALUE.matcher(fields.get(field)).matches()) {
                return new Malformed("field '" + field + "' is not 1 to 128 printable characters");
            }
        }
        if (FieldComment.isBlank(statement, statement.length)) {
            return new Malformed("no statement after the fields");
        }
        return new RunQuery(new Query(
                fields.get("route"),
                traceId,
                duration(timeoutMs),
                duration(estimatedWorkMs),
                memoryMb,
                SqlScanner.tableGroup(statement),
                statement,
                runName,
                again.equals("1"),
                tenant,
                "",
                fields.getOrDefault("nonce", ""),
                fields.getOrDefault("entity", "")));
    }

    private static Duration duration(double ms) {
        return Duration.ofNanos(Math.round(ms * 1e6));
    }

    /** The value of a numeric field: the default if the field is absent, NaN if its text is not a number. */
    private static double numberField(Map<String, String> fields, String name, double defaultValue) {
        String text = fields.get(name);
        if (text == null) {
            return defaultValue;
        }
        return DECIMAL.matcher(text).matches() ? Double.parseDouble(text) : Double.NaN;
    }
}
