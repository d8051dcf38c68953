package sandpaddle.lab.capacity;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Compares and updates the generated tables of the capacity page. A table is delimited by {@code <!-- table: NAME -->}
 * and {@code <!-- end: NAME -->}. The text outside must not contain digits, except in code and links.
 */
final class CapacityPage {
    private static final Pattern TABLE_BEGIN = Pattern.compile("<!-- table: ([a-z-]+) -->");
    private static final Pattern TABLE_END = Pattern.compile("<!-- end: ([a-z-]+) -->");
    private static final Pattern CODE_SPAN_OR_LINK = Pattern.compile("`[^`]*`|\\]\\([^)]*\\)");
    private static final Pattern DIGIT = Pattern.compile("\\d");

    private final List<String> lines;
    private final List<String> differences = new ArrayList<>();

    private CapacityPage(List<String> lines) {
        this.lines = lines;
    }

    /** One message for each difference between the page and the tables, with its line; empty if there is none. */
    static List<String> differences(List<String> page, Map<String, List<String>> tables) {
        CapacityPage capacityPage = new CapacityPage(page);
        capacityPage.compare(tables);
        return capacityPage.differences;
    }

    private void compare(Map<String, List<String>> tables) {
        Set<String> missing = new LinkedHashSet<>(tables.keySet());
        boolean inCodeBlock = false;
        for (int i = 0; i < lines.size(); i++) {
            Matcher begin = TABLE_BEGIN.matcher(lines.get(i));
            if (begin.matches()) {
                String name = begin.group(1);
                int end = endOf(name, i);
                if (end < 0) {
                    addDifference(i, "table '" + name + "' has no end");
                    return;
                }
                if (!tables.containsKey(name)) {
                    addDifference(i, "table '" + name + "' is not known");
                } else if (!missing.remove(name)) {
                    addDifference(i, "table '" + name + "' comes twice");
                } else {
                    compare(tables.get(name), i + 1, end);
                }
                i = end;
                continue;
            }
            inCodeBlock ^= lines.get(i).startsWith("```");
            boolean prose = !inCodeBlock && !lines.get(i).startsWith("    ");
            if (prose
                    && DIGIT.matcher(CODE_SPAN_OR_LINK.matcher(lines.get(i)).replaceAll(""))
                            .find()) {
                addDifference(i, "a figure outside a table: " + lines.get(i));
            }
        }
        missing.forEach(name -> differences.add("table '" + name + "' is missing"));
    }

    private int endOf(String name, int from) {
        for (int i = from + 1; i < lines.size(); i++) {
            Matcher end = TABLE_END.matcher(lines.get(i));
            if (end.matches()) {
                return end.group(1).equals(name) ? i : -1;
            }
        }
        return -1;
    }

    private void compare(List<String> table, int from, int end) {
        for (int i = 0; i < Math.max(table.size(), end - from); i++) {
            String actual = from + i < end ? lines.get(from + i) : "";
            String expected = i < table.size() ? table.get(i) : "";
            if (!actual.equals(expected)) {
                addDifference(from + i, "is '" + actual + "', measured: '" + expected + "'");
            }
        }
    }

    private void addDifference(int line, String description) {
        differences.add("line " + (line + 1) + ": " + description);
    }

    /** Returns the page with its tables replaced and all other lines unchanged. */
    static List<String> withTables(List<String> page, Map<String, List<String>> tables) {
        List<String> rewrittenLines = new ArrayList<>();
        String currentTable = null;
        for (String line : page) {
            Matcher begin = TABLE_BEGIN.matcher(line);
            if (currentTable == null) {
                rewrittenLines.add(line);
                if (begin.matches() && tables.containsKey(begin.group(1))) {
                    currentTable = begin.group(1);
                    rewrittenLines.addAll(tables.get(currentTable));
                }
            } else if (TABLE_END.matcher(line).matches()) {
                rewrittenLines.add(line);
                currentTable = null;
            }
        }
        return rewrittenLines;
    }
}
