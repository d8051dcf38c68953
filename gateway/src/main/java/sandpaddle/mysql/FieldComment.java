package sandpaddle.mysql;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The fields of a query, which a client sends as {@code name=value} pairs in a comment before the statement.
 *
 * @param fields values by name, of known fields only
 * @param statement the text without that comment
 */
record FieldComment(Map<String, String> fields, byte[] statement) {
    /** The known fields; the first one is required. */
    private static final List<String> NAMES =
            List.of("route", "trace", "patience", "weight", "est_mb", "once", "again", "customer", "nonce", "entity");

    /** The ranges of the values in one comment, by the position of the field's name in {@link #NAMES}. */
    private static final class Values {
        private final int[] starts = new int[NAMES.size()];
        private final int[] ends = new int[NAMES.size()]; // 0 if the field is absent
        private boolean isCleared = true;

        /**
         * Reads all pairs; of several with the same name the last one counts. Returns whether the first name is there.
         */
        boolean read(FieldCursor cursor) {
            if (!isCleared) { // by far most comments have no field
                Arrays.fill(ends, 0);
                isCleared = true;
            }
            while (cursor.next()) {
                int name = 0;
                while (name < NAMES.size() && !cursor.hasName(NAMES.get(name))) {
                    name++;
                }
                if (name < NAMES.size()) {
                    starts[name] = cursor.valueStart();
                    ends[name] = cursor.valueEnd();
                    isCleared = false;
                }
            }
            return ends[0] > 0;
        }

        Map<String, String> toMap(FieldCursor cursor) {
            Map<String, String> fields = new HashMap<>();
            for (int i = 0; i < NAMES.size(); i++) {
                if (ends[i] > 0) {
                    fields.put(NAMES.get(i), cursor.text(starts[i], ends[i]));
                }
            }
            return fields;
        }
    }

    /**
     * Finds the first comment before the statement that contains the required field; null if there is none. Whitespace
     * around names, values and the comment is ignored, and the order of the fields does not matter.
     */
    static FieldComment find(byte[] text) {
        SqlScanner scanner = new SqlScanner(text);
        FieldCursor cursor = new FieldCursor(text);
        Values values = new Values();
        while (scanner.nextLeadingComment()) {
            cursor.moveTo(scanner.commentTextStart(), scanner.commentTextEnd());
            if (values.read(cursor)) {
                return new FieldComment(
                        values.toMap(cursor), withoutRange(text, scanner.commentStart(), scanner.commentEnd()));
            }
        }
        return null;
    }

    /** The text without a range and the whitespace behind it, and without what is before it if that is blank. */
    private static byte[] withoutRange(byte[] text, int start, int end) {
        int kept = isBlank(text, start) ? 0 : start;
        int from = end;
        while (from < text.length && SqlScanner.isWhitespace(text[from])) {
            from++;
        }
        byte[] rest = new byte[kept + text.length - from];
        System.arraycopy(text, 0, rest, 0, kept);
        System.arraycopy(text, from, rest, kept, text.length - from);
        return rest;
    }

    /** Whether the first bytes of a text are whitespace. */
    static boolean isBlank(byte[] text, int length) {
        for (int i = 0; i < length; i++) {
            if (!SqlScanner.isWhitespace(text[i])) {
                return false;
            }
        }
        return true;
    }
}
