package sandpaddle.fleet.pool.check;

import java.util.Collection;
import java.util.List;

/** Known names close to an unknown one by edit distance, to suggest in the error message. */
final class NameSuggestions {
    private static final int MAX_SHOWN = 3;
    private static final int MAX_DISTANCE = 2;

    private NameSuggestions() {}

    /** Describes what is allowed, followed by similar names if there are any. */
    static String describe(String general, String unknown, Collection<String> names) {
        List<String> suggestions = names.stream()
                .filter(name -> isNear(unknown, name))
                .sorted()
                .limit(MAX_SHOWN)
                .toList();
        return suggestions.isEmpty() ? general : general + ", perhaps " + String.join(" or ", suggestions);
    }

    private static boolean isNear(String unknown, String candidate) {
        if (Math.abs(unknown.length() - candidate.length()) > MAX_DISTANCE) {
            return false;
        }
        int[] previousRow = new int[candidate.length() + 1];
        for (int column = 0; column <= candidate.length(); column++) {
            previousRow[column] = column;
        }
        for (int row = 1; row <= unknown.length(); row++) {
            int[] currentRow = new int[candidate.length() + 1];
            currentRow[0] = row;
            int rowMinimum = row;
            for (int column = 1; column <= candidate.length(); column++) {
                int substituted =
                        previousRow[column - 1] + (unknown.charAt(row - 1) == candidate.charAt(column - 1) ? 0 : 1);
                currentRow[column] = Math.min(substituted, 1 + Math.min(previousRow[column], currentRow[column - 1]));
                rowMinimum = Math.min(rowMinimum, currentRow[column]);
            }
            if (rowMinimum > MAX_DISTANCE) {
                return false;
            }
            previousRow = currentRow;
        }
        return previousRow[candidate.length()] <= Math.min(MAX_DISTANCE, Math.max(1, unknown.length() / 2));
    }
}
