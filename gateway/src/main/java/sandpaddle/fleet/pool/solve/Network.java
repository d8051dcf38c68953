package sandpaddle.fleet.pool.solve;

/**
 * A problem of division: rows that want connections, and links, each of which bounds the sum over its rows. Budgets and
 * ceilings are links; the word is that of networks, where flows share links in the same way.
 *
 * @param weight of each row, 1 to 10^12: whole, so that sums over 2^18 rows are exact
 * @param min what each row has in any case, from floors; the sums of these fit into the links
 * @param max what each row may have, at least {@code min}
 * @param links of each row, none twice
 * @param capacity of each link
 */
record Network(long[] weight, int[] min, int[] max, int[][] links, long[] capacity) {
    int rows() {
        return weight.length;
    }

    /** The rows of each link. */
    int[][] members() {
        int[] count = new int[capacity.length];
        for (int[] of : links) {
            for (int link : of) {
                count[link]++;
            }
        }
        int[][] members = new int[capacity.length][];
        for (int link = 0; link < members.length; link++) {
            members[link] = new int[count[link]];
        }
        for (int row = 0; row < links.length; row++) {
            for (int link : links[row]) {
                members[link][--count[link]] = row;
            }
        }
        return members;
    }
}
