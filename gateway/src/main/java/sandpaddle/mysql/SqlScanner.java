package sandpaddle.mysql;

import java.util.List;

/**
 * Scans SQL for names. It recognizes strings, comments and quoted identifiers, but does not parse the grammar.
 *
 * <p>Works on the bytes of the statement, each a character of ISO 8859-1, and names ranges by their positions, {@code
 * start} inclusive and {@code end} exclusive. A scan allocates nothing for a comment or a name, so that its cost for
 * each byte is bounded, whatever the text contains.
 */
final class SqlScanner {
    private static final int DELIMITER_LENGTH = 2; // of block comments, and of line comments that begin with dashes

    private static final List<String> KEYWORDS_BEFORE_TABLES = List.of("from", "join", "into", "update", "table");
    private static final int MIN_KEYWORD_LENGTH = 4;
    private static final String STAGING_SCHEMA = "staging";
    private static final long NO_TABLE_GROUP = -1;
    private static final int MAX_DIGITS = 9;
    private static final int DECIMAL = 10;
    private static final char FILE_SEPARATOR = 0x1C; // the first of four separators that count as whitespace
    private static final int CASE_BIT = 0x20; // distinguishes the cases of an ASCII letter

    private final byte[] sql;
    private int position;
    private int commentStart, commentTextStart, commentTextEnd; // of the latest comment before the statement
    private int nameStart, nameEnd; // of the latest name, without quotes

    SqlScanner(byte[] sql) {
        this.sql = sql;
    }

    /** Whether a byte is whitespace, as {@link Character#isWhitespace(int)} defines it. */
    static boolean isWhitespace(byte character) {
        return character >= '\t' && character <= '\r' || character >= FILE_SEPARATOR && character <= ' ';
    }

    /**
     * Advances to the next comment before the statement, beginning after the last one; skips unterminated ones. Returns
     * whether there is one.
     */
    boolean nextLeadingComment() {
        while (position < sql.length) {
            commentStart = position;
            if (isWhitespace(sql[position])) {
                position++;
            } else if (!skipComment()) {
                return false;
            } else if (setCommentText()) {
                return true;
            }
        }
        return false;
    }

    /** Sets the range of the comment's text, without its delimiters; returns whether the comment is terminated. */
    private boolean setCommentText() {
        commentTextEnd = position;
        if (sql[commentStart] == '#') {
            commentTextStart = commentStart + 1;
            return true;
        }
        commentTextStart = commentStart + DELIMITER_LENGTH;
        if (sql[commentStart] == '-') {
            return true;
        }
        commentTextEnd -= DELIMITER_LENGTH;
        return commentTextEnd >= commentTextStart && isPairAt(commentTextEnd, '*', '/');
    }

    /** Start of the comment that {@link #nextLeadingComment} found. */
    int commentStart() {
        return commentStart;
    }

    /** End of that comment. */
    int commentEnd() {
        return position;
    }

    /** Start of the text of that comment. */
    int commentTextStart() {
        return commentTextStart;
    }

    /** End of the text of that comment. */
    int commentTextEnd() {
        return commentTextEnd;
    }

    /** The position behind leading whitespace and comments. */
    static int statementStart(byte[] sql) {
        SqlScanner scanner = new SqlScanner(sql);
        scanner.skipWhitespaceAndComments();
        return scanner.position;
    }

    /**
     * The table group of a statement: the number at the end of the first schema name in a table position, such as 17 in
     * {@code FROM sales_17.orders}; -1 if there is none. Names in strings and comments and staging schemas are ignored.
     */
    static long tableGroup(byte[] sql) {
        return new SqlScanner(sql).firstTableGroup();
    }

    private long firstTableGroup() {
        boolean inTablePosition = false;
        while (position < sql.length) {
            byte character = sql[position];
            if (character == '\'' || character == '"') {
                skipQuoted(character);
            } else if (character == '`' || isNameCharacter(character)) {
                readName();
                if (character != '`' && isKeywordBeforeTables()) {
                    inTablePosition = true;
                } else {
                    skipWhitespaceAndComments();
                    boolean isSchema = isAt('.');
                    long group = isSchema && inTablePosition ? groupOfSchema() : NO_TABLE_GROUP;
                    if (group != NO_TABLE_GROUP) {
                        return group;
                    }
                    if (isSchema) {
                        skipRestOfName();
                    }
                    skipWhitespaceAndComments();
                    inTablePosition &= isAt(',');
                }
            } else if (!skipComment()) {
                inTablePosition &= character == ',' || character == '(' || isWhitespace(character);
                position++;
            }
        }
        return NO_TABLE_GROUP;
    }

    private boolean isAt(char character) {
        return position < sql.length && sql[position] == character;
    }

    private boolean isKeywordBeforeTables() {
        if (nameEnd - nameStart < MIN_KEYWORD_LENGTH) { // as most names that a statement repeats without end
            return false;
        }
        for (String keyword : KEYWORDS_BEFORE_TABLES) {
            if (keyword.length() == nameEnd - nameStart && nameStartsWith(keyword)) {
                return true;
            }
        }
        return false;
    }

    /** Whether the latest name starts with a prefix of lower-case letters, in either case. */
    private boolean nameStartsWith(String prefix) {
        if (nameEnd - nameStart < prefix.length()) {
            return false;
        }
        for (int i = 0; i < prefix.length(); i++) {
            if ((sql[nameStart + i] | CASE_BIT) != prefix.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** The table group of the latest name, which is that of a schema. */
    private long groupOfSchema() {
        int digitsStart = nameEnd;
        while (digitsStart > nameStart && isDigit(sql[digitsStart - 1])) {
            digitsStart--;
        }
        int digits = nameEnd - digitsStart;
        boolean isNumbered =
                digits > 0 && digits <= MAX_DIGITS && digitsStart - 1 > nameStart && sql[digitsStart - 1] == '_';
        return isNumbered && !isStagingSchema() ? number(digitsStart, nameEnd) : NO_TABLE_GROUP;
    }

    private static boolean isDigit(byte character) {
        return character >= '0' && character <= '9';
    }

    private long number(int start, int end) {
        long value = 0;
        for (int i = start; i < end; i++) {
            value = DECIMAL * value + (sql[i] - '0');
        }
        return value;
    }

    private boolean isStagingSchema() {
        int end = nameStart + STAGING_SCHEMA.length();
        return nameStartsWith(STAGING_SCHEMA) && (end == nameEnd || sql[end] == '_');
    }

    /** Skips the rest of a qualified name: dots and further names. */
    private void skipRestOfName() {
        skipWhitespaceAndComments();
        while (isAt('.')) {
            position++;
            skipWhitespaceAndComments();
            if (position < sql.length && (sql[position] == '`' || isNameCharacter(sql[position]))) {
                readName();
            }
            skipWhitespaceAndComments();
        }
    }

    /** Reads the name at the current position; sets its range without quotes. */
    private void readName() {
        nameStart = position;
        if (sql[position] == '`') {
            nameStart++;
            position = indexAfter('`', nameStart);
            nameEnd = Math.max(nameStart, position - 1);
            return;
        }
        while (position < sql.length && isNameCharacter(sql[position])) {
            position++;
        }
        nameEnd = position;
    }

    private static boolean isNameCharacter(byte character) {
        int lowerCase = character | CASE_BIT;
        return lowerCase >= 'a' && lowerCase <= 'z'
                || isDigit(character)
                || character == '_'
                || character == '$'
                || character < 0; // beyond ASCII
    }

    private void skipWhitespaceAndComments() {
        while (position < sql.length && (isWhitespace(sql[position]) || skipComment())) {
            while (position < sql.length && isWhitespace(sql[position])) {
                position++;
            }
        }
    }

    /** Skips a string; a quote after a backslash and a doubled quote do not end it. */
    private void skipQuoted(byte quote) {
        position++;
        while (position < sql.length) {
            byte character = sql[position++];
            if (character == '\\') {
                position++;
            } else if (character == quote) {
                if (position >= sql.length || sql[position] != quote) {
                    return;
                }
                position++;
            }
        }
    }

    /** Skips the comment that begins at the current position; returns whether there is one. */
    private boolean skipComment() {
        byte character = sql[position];
        if (character == '/' && isPairAt(position, '/', '*')) {
            position = indexAfterBlockComment(position + DELIMITER_LENGTH);
            return true;
        }
        if (character == '#' || character == '-' && isDashComment()) {
            position = indexAfter('\n', position);
            return true;
        }
        return false;
    }

    private boolean isDashComment() {
        int end = position + DELIMITER_LENGTH;
        return isPairAt(position, '-', '-') && (end == sql.length || isWhitespace(sql[end]));
    }

    private boolean isPairAt(int at, char first, char second) {
        return at + 1 < sql.length && sql[at] == first && sql[at + 1] == second;
    }

    /** The position behind the next end of a block comment; the end of the text if there is none. */
    private int indexAfterBlockComment(int from) {
        for (int i = from + 1; i < sql.length; i++) {
            if (sql[i] == '/' && sql[i - 1] == '*') {
                return i + 1;
            }
        }
        return sql.length;
    }

    /** The position behind the next occurrence of a character; the end of the text if there is none. */
    private int indexAfter(char character, int from) {
        for (int i = from; i < sql.length; i++) {
            if (sql[i] == character) {
                return i + 1;
            }
        }
        return sql.length;
    }
}
