package sandpaddle.fleet.pool.solve;

/**
 * A max-min fair sharing problem: rows, the flows of a network, demand connections, and each link bounds the sum over
 * the rows that use it. Budgets and ceilings are links.
 *
 * @param weight of each row, 1 to 10^12; integers, so that sums over 2^18 rows are exact
 * @param min the least share of each row, from floors; within each link, their sum does not exceed the capacity
 * @param max the greatest share of each row, at least {@code min}
 * @param links indices of the links that each row uses, without duplicates
 * @param capacity of each link
 */
record Network(long[] weight, int[] min, int[] max, int[][] links, long[] capacity) {
    int rows() {
        return weight.length;
    }

    /** The indices of the rows that use each link. */
    int[][] rowsByLink() {
        int[] count = new int[capacity.length];
        for (int[] rowLinks : links) {
            for (int link : rowLinks) {
                count[link]++;
            }
        }
        int[][] rowsByLink = new int[capacity.length][];
        for (int link = 0; link < rowsByLink.length; link++) {
            rowsByLink[link] = new int[count[link]];
        }
        for (int row = 0; row < links.length; row++) {
            for (int link : links[row]) {
                rowsByLink[link][--count[link]] = row;
            }
        }
        return rowsByLink;
    }
}
