package sandpaddle.fleet.pool.solve;

import java.util.Arrays;

/**
 * Rounds fair shares to integers by the largest remainder method: each share is rounded down, and the remaining
 * capacity of the links is granted one connection at a time to the rows with the largest remainders. A row that had the
 * connection before gets a bonus of {@value #INCUMBENT_BONUS}, so that small variations of the demand move no
 * connections; ties are broken by a hash of the row's names, so that no name is favored everywhere. Capacity that is
 * left after that, since links overlap, goes to the row with the least share relative to its weight until no row can
 * have more. O(n k log n).
 */
final class Rounding {
    private static final double INCUMBENT_BONUS = 0.25;
    private static final double EPSILON = 1e-6;
    private static final int ROW_BITS = 18;
    private static final int TIE_BITS = 24;

    private Rounding() {}

    /**
     * Rounds the shares.
     *
     * @param shares fair shares, within the capacities of the links
     * @param previous connections of each row before; 0 if unknown
     * @param tieBreakers hashes of the keys of the rows
     */
    static int[] round(Network network, double[] shares, int[] previous, int[] tieBreakers) {
        int rows = network.rows();
        int[] rounded = new int[rows];
        long[] remaining = network.capacity().clone();
        for (int row = 0; row < rows; row++) {
            rounded[row] = (int) Math.floor(shares[row] + EPSILON);
            for (int link : network.links()[row]) {
                remaining[link] -= rounded[row];
            }
        }
        for (long entry : grantOrder(network, shares, rounded, previous, tieBreakers)) {
            int row = (int) (entry & (1 << ROW_BITS) - 1);
            if (rounded[row] < network.max()[row] && hasCapacity(network, row, remaining)) {
                grantOne(network, row, rounded, remaining);
            }
        }
        distributeRemaining(network, rounded, remaining);
        return rounded;
    }

    /**
     * The rows that have a remainder or had more connections before, in the order in which they are granted one more.
     * Each entry packs the sort key, the tie-breaker and the row into one number.
     */
    private static long[] grantOrder(
            Network network, double[] shares, int[] rounded, int[] previous, int[] tieBreakers) {
        long[] grantOrder = new long[network.rows()];
        int count = 0;
        for (int row = 0; row < network.rows(); row++) {
            double remainder = Math.max(0, shares[row] - rounded[row]);
            boolean hadMore = previous[row] > rounded[row];
            if (remainder > EPSILON || hadMore) {
                long sortKey = Math.round(
                        (2 - remainder - (hadMore ? INCUMBENT_BONUS : 0)) / EPSILON / 4); // up to 500,000: 19 bits
                long tieBreaker = tieBreakers[row] >>> 32 - TIE_BITS;
                grantOrder[count++] = (sortKey << TIE_BITS | tieBreaker) << ROW_BITS | row;
            }
        }
        long[] sorted = Arrays.copyOf(grantOrder, count);
        Arrays.sort(sorted);
        return sorted;
    }

    private static boolean hasCapacity(Network network, int row, long[] remaining) {
        for (int link : network.links()[row]) {
            if (remaining[link] < 1) {
                return false;
            }
        }
        return true;
    }

    private static void grantOne(Network network, int row, int[] rounded, long[] remaining) {
        rounded[row]++;
        for (int link : network.links()[row]) {
            remaining[link]--;
        }
    }

    private static void distributeRemaining(Network network, int[] rounded, long[] remaining) {
        IndexedHeap queue = new IndexedHeap(network.rows());
        for (int row = 0; row < network.rows(); row++) {
            if (rounded[row] < network.max()[row] && hasCapacity(network, row, remaining)) {
                queue.putOrUpdate(row, (rounded[row] + 1) / (double) network.weight()[row]);
            }
        }
        while (!queue.isEmpty()) {
            int row = queue.peek();
            if (rounded[row] < network.max()[row] && hasCapacity(network, row, remaining)) {
                grantOne(network, row, rounded, remaining);
                queue.putOrUpdate(row, (rounded[row] + 1) / (double) network.weight()[row]);
            } else {
                queue.remove(row); // remaining capacity never grows, so the row stays blocked
            }
        }
    }
}
