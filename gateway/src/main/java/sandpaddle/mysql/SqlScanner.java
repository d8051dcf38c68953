package sandpaddle.mysql;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Scans SQL for names. It recognizes strings, comments and quoted identifiers, but does not parse the grammar. */
final class SqlScanner {
    /** The range of a comment: {@code start} inclusive, {@code end} exclusive. */
    record Span(int start, int end) {
        /** The text of the comment without its delimiters. */
        String text(String sql) {
            String comment = sql.substring(start, end);
            if (comment.startsWith(BLOCK_COMMENT_START)) {
                return comment.substring(BLOCK_COMMENT_START.length(), comment.length() - BLOCK_COMMENT_END.length());
            }
            return comment.substring(
                    comment.startsWith(LINE_COMMENT_HASH) ? LINE_COMMENT_HASH.length() : LINE_COMMENT_DASHES.length());
        }
    }

    private static final String BLOCK_COMMENT_START = "/*";
    private static final String BLOCK_COMMENT_END = "*/";
    private static final String LINE_COMMENT_DASHES = "--";
    private static final String LINE_COMMENT_HASH = "#";

    private static final Set<String> KEYWORDS_BEFORE_TABLES = Set.of("from", "join", "into", "update", "table");
    private static final String STAGING_SCHEMA = "staging";
    private static final long NO_TABLE_GROUP = -1;
    private static final int MAX_DIGITS = 9;

    private final String sql;
    private int position;

    SqlScanner(String sql) {
        this.sql = sql;
    }

    /** The comments before the statement in order, without an unterminated one. */
    List<Span> leadingComments() {
        List<Span> comments = new ArrayList<>();
        position = 0;
        while (position < sql.length()) {
            int start = position;
            if (Character.isWhitespace(sql.charAt(position))) {
                position++;
            } else if (!skipComment()) {
                break;
            } else if (!sql.startsWith(BLOCK_COMMENT_START, start)
                    || sql.startsWith(BLOCK_COMMENT_END, position - BLOCK_COMMENT_END.length())
                            && position - start >= BLOCK_COMMENT_START.length() + BLOCK_COMMENT_END.length()) {
                comments.add(new Span(start, position));
            }
        }
        return comments;
    }

    /** The text without leading whitespace and comments. */
    String withoutLeadingComments() {
        position = 0;
        skipWhitespaceAndComments();
        return sql.substring(position);
    }

    /**
     * The table group of a statement: the number at the end of the first schema name in a table position, such as 17 in
     * {@code FROM sales_17.orders}; -1 if there is none. Names in strings and comments and staging schemas are ignored.
     */
    static long tableGroup(String sql) {
        return new SqlScanner(sql).firstTableGroup();
    }

    private long firstTableGroup() {
        boolean inTablePosition = false;
        while (position < sql.length()) {
            char character = sql.charAt(position);
            if (character == '\'' || character == '"') {
                skipQuoted(character);
            } else if (character == '`' || isNameCharacter(character)) {
                String name = readName();
                if (character != '`' && KEYWORDS_BEFORE_TABLES.contains(name.toLowerCase(Locale.ROOT))) {
                    inTablePosition = true;
                } else {
                    skipWhitespaceAndComments();
                    boolean isSchema = position < sql.length() && sql.charAt(position) == '.';
                    long group = isSchema && inTablePosition ? groupOfSchema(name) : NO_TABLE_GROUP;
                    if (group != NO_TABLE_GROUP) {
                        return group;
                    }
                    if (isSchema) {
                        skipRestOfName();
                    }
                    skipWhitespaceAndComments();
                    inTablePosition &= position < sql.length() && sql.charAt(position) == ',';
                }
            } else if (!skipComment()) {
                inTablePosition &= character == ',' || character == '(' || Character.isWhitespace(character);
                position++;
            }
        }
        return NO_TABLE_GROUP;
    }

    private static long groupOfSchema(String schema) {
        int underscore = schema.lastIndexOf('_');
        String digits = schema.substring(underscore + 1);
        boolean number = underscore > 0
                && !digits.isEmpty()
                && digits.length() <= MAX_DIGITS
                && digits.chars().allMatch(character -> character >= '0' && character <= '9');
        boolean staging = schema.toLowerCase(Locale.ROOT).startsWith(STAGING_SCHEMA)
                && (schema.length() == STAGING_SCHEMA.length() || schema.charAt(STAGING_SCHEMA.length()) == '_');
        return number && !staging ? Long.parseLong(digits) : NO_TABLE_GROUP;
    }

    /** Skips the rest of a qualified name: dots and further names. */
    private void skipRestOfName() {
        skipWhitespaceAndComments();
        while (position < sql.length() && sql.charAt(position) == '.') {
            position++;
            skipWhitespaceAndComments();
            if (position < sql.length() && (sql.charAt(position) == '`' || isNameCharacter(sql.charAt(position)))) {
                readName();
            }
            skipWhitespaceAndComments();
        }
    }

    private String readName() {
        int start = position;
        if (sql.charAt(position) == '`') {
            position = sql.indexOf('`', position + 1);
            position = position < 0 ? sql.length() : position + 1;
            return sql.substring(start + 1, Math.max(start + 1, position - 1));
        }
        while (position < sql.length() && isNameCharacter(sql.charAt(position))) {
            position++;
        }
        return sql.substring(start, position);
    }

    private static boolean isNameCharacter(char character) {
        return Character.isLetterOrDigit(character) || character == '_' || character == '$' || character >= 0x80;
    }

    private void skipWhitespaceAndComments() {
        while (position < sql.length() && (Character.isWhitespace(sql.charAt(position)) || skipComment())) {
            position += position < sql.length() && Character.isWhitespace(sql.charAt(position)) ? 1 : 0;
        }
    }

    /** Skips a string; a quote after a backslash and a doubled quote do not end it. */
    private void skipQuoted(char quote) {
        position++;
        while (position < sql.length()) {
            char character = sql.charAt(position++);
            if (character == '\\') {
                position++;
            } else if (character == quote) {
                if (position >= sql.length() || sql.charAt(position) != quote) {
                    return;
                }
                position++;
            }
        }
    }

    /** Skips the comment that begins at the current position; returns whether there is one. */
    private boolean skipComment() {
        if (sql.startsWith(BLOCK_COMMENT_START, position)) {
            int end = sql.indexOf(BLOCK_COMMENT_END, position + 2);
            position = end < 0 ? sql.length() : end + 2;
            return true;
        }
        boolean isDashes = sql.startsWith(LINE_COMMENT_DASHES, position)
                && (position + 2 == sql.length() || Character.isWhitespace(sql.charAt(position + 2)));
        if (isDashes || sql.startsWith(LINE_COMMENT_HASH, position)) {
            int end = sql.indexOf('\n', position);
            position = end < 0 ? sql.length() : end + 1;
            return true;
        }
        return false;
    }
}
