package sandpaddle.config;

/** Distance between two keys, to suggest the key that a misspelt one was meant to be. */
final class EditDistance {
    private EditDistance() {}

    /** The Levenshtein distance: the fewest characters to insert, delete or replace, with one row of its table. */
    static int between(String first, String second) {
        int[] row = new int[second.length() + 1];
        for (int j = 0; j <= second.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= first.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= second.length(); j++) {
                int above = row[j];
                int replaced = diagonal + (first.charAt(i - 1) == second.charAt(j - 1) ? 0 : 1);
                row[j] = Math.min(replaced, Math.min(row[j], row[j - 1]) + 1);
                diagonal = above;
            }
        }
        return row[second.length()];
    }
}
