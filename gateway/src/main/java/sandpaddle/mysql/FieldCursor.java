package sandpaddle.mysql;

import java.nio.charset.StandardCharsets;

/**
 * Walks the {@code name=value} pairs in a range of a text of ISO 8859-1, which commas separate. Names are compared
 * where they stand, without copies, so that the cost for each byte is bounded. Text without a name before an equals
 * sign is skipped.
 */
final class FieldCursor {
    private final byte[] text;
    private int next, end;
    private int nameStart, nameEnd, valueStart, valueEnd; // of the current pair, without the whitespace around them

    FieldCursor(byte[] text) {
        this.text = text;
    }

    /** Moves before the first pair of a range: {@code start} inclusive, {@code rangeEnd} exclusive. */
    void moveTo(int start, int rangeEnd) {
        next = start;
        end = rangeEnd;
    }

    /** Advances to the next pair; returns whether there is one. */
    boolean next() {
        while (next < end) {
            int start = next;
            int equals = -1;
            int position = start;
            while (position < end && text[position] != ',') {
                equals = equals < 0 && text[position] == '=' ? position : equals;
                position++;
            }
            next = position + 1;
            if (equals > start) {
                setPair(start, equals, position);
                return true;
            }
        }
        return false;
    }

    private void setPair(int start, int equals, int pairEnd) {
        nameStart = skipWhitespace(start, equals);
        nameEnd = skipWhitespaceBackwards(nameStart, equals);
        valueStart = skipWhitespace(equals + 1, pairEnd);
        valueEnd = skipWhitespaceBackwards(valueStart, pairEnd);
    }

    private int skipWhitespace(int from, int to) {
        int position = from;
        while (position < to && SqlScanner.isWhitespace(text[position])) {
            position++;
        }
        return position;
    }

    private int skipWhitespaceBackwards(int from, int to) {
        int position = to;
        while (position > from && SqlScanner.isWhitespace(text[position - 1])) {
            position--;
        }
        return position;
    }

    /** Whether the current pair has this name, in ASCII. */
    boolean hasName(String name) {
        if (nameEnd - nameStart != name.length()) {
            return false;
        }
        for (int i = 0; i < name.length(); i++) {
            if (text[nameStart + i] != name.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** Start of the current pair's value. */
    int valueStart() {
        return valueStart;
    }

    /** End of the current pair's value. */
    int valueEnd() {
        return valueEnd;
    }

    /** The text of a range, as {@link #valueStart} and {@link #valueEnd} gave it. */
    String text(int from, int to) {
        return new String(text, from, to - from, StandardCharsets.ISO_8859_1);
    }
}
