package sandpaddle.mysql;

import java.util.HashMap;
import java.util.Map;

/**
 * The fields of a query, which a client sends as {@code name=value} pairs in a comment before the statement.
 *
 * @param fields values by name
 * @param statement the text without that comment
 */
record FieldComment(Map<String, String> fields, String statement) {
    private static final String REQUIRED_FIELD = "route";

    /**
     * Finds the first comment before the statement that contains the required field; null if there is none. Whitespace
     * around names, values and the comment is ignored, and the order of the fields does not matter.
     */
    static FieldComment find(String text, SqlScanner scanner) {
        for (SqlScanner.Span comment : scanner.leadingComments()) {
            Map<String, String> fields = parseFields(comment.text(text));
            if (fields.containsKey(REQUIRED_FIELD)) {
                String before = text.substring(0, comment.start());
                return new FieldComment(
                        fields,
                        (before.isBlank() ? "" : before)
                                + text.substring(comment.end()).stripLeading());
            }
        }
        return null;
    }

    private static Map<String, String> parseFields(String comment) {
        Map<String, String> fields = new HashMap<>();
        for (String pair : comment.split(",")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                fields.put(
                        pair.substring(0, equals).strip(),
                        pair.substring(equals + 1).strip());
            }
        }
        return fields;
    }
}
