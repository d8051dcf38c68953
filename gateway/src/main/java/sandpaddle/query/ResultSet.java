package sandpaddle.query;

import java.util.List;

/**
 * A result as text: rows of {@value #COLUMNS} cells that are separated by tabs, each row terminated by a line feed.
 *
 * @param pages the result in parts of complete rows
 */
public record ResultSet(List<byte[]> pages) {
    /** Number of cells in a row. */
    public static final int COLUMNS = 3;

    /** Whether a page consists of complete rows of {@value #COLUMNS} cells. */
    public static boolean hasCompleteRows(byte[] page) {
        int tabs = 0;
        for (byte octet : page) {
            if (octet == '\t') {
                tabs++;
            } else if (octet == '\n') {
                if (tabs != COLUMNS - 1) {
                    return false;
                }
                tabs = 0;
            }
        }
        return tabs == 0 && (page.length == 0 || page[page.length - 1] == '\n');
    }
}
