package sandpaddle.fleet.pool.solve;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Generates small fair sharing problems, and solves them with a reference algorithm. */
final class Networks {
    private Networks() {}

    /** Up to {@code maxRows} rows and {@code maxLinks} links; the minima fit into the capacities. */
    static Network draw(Random random, int maxRows, int maxEach, int maxLinks) {
        int rows = 1 + random.nextInt(maxRows);
        int links = 1 + random.nextInt(maxLinks);
        long[] weight = new long[rows];
        int[] min = new int[rows];
        int[] max = new int[rows];
        int[][] rowLinks = new int[rows][];
        long[] sum = new long[links];
        for (int row = 0; row < rows; row++) {
            weight[row] = 1_000_000L * (1 + random.nextInt(4)) / (1 + random.nextInt(3));
            max[row] = random.nextInt(maxEach + 1);
            min[row] = random.nextInt(4) == 0 ? random.nextInt(max[row] + 1) : 0;
            List<Integer> linksOfRow = new ArrayList<>(List.of(0)); // shared by all rows, like the fleet budget
            for (int link = 1; link < links; link++) {
                if (random.nextBoolean()) {
                    linksOfRow.add(link);
                }
            }
            rowLinks[row] = linksOfRow.stream().mapToInt(Integer::intValue).toArray();
            for (int link : linksOfRow) {
                sum[link] += min[row];
            }
        }
        long[] capacity = new long[links];
        for (int link = 0; link < links; link++) {
            capacity[link] = sum[link] + random.nextInt(maxEach * rows / 2 + 1);
        }
        return new Network(weight, min, max, rowLinks, capacity);
    }

    /** The fair shares by repeated bisection of the level, freezing the rows of saturated links each time; O(n^2 m). */
    static double[] referenceShares(Network network) {
        int rows = network.rows();
        double[] frozen = new double[rows];
        boolean[] done = new boolean[rows];
        for (int round = 0; round <= rows; round++) {
            double low = 0;
            double high = 1;
            for (int i = 0; i < 200; i++) {
                double middle = (low + high) / 2;
                if (fits(network, valuesAtLevel(network, frozen, done, middle), 1e-12)) {
                    low = middle;
                } else {
                    high = middle;
                }
            }
            double[] reached = valuesAtLevel(network, frozen, done, low);
            double[] above = valuesAtLevel(network, frozen, done, low + 1e-9);
            for (int row = 0; row < rows; row++) {
                boolean full = false;
                for (int link : network.links()[row]) {
                    full |= sum(network, above, link) > network.capacity()[link] + 1e-12
                            && sum(network, reached, link) > network.capacity()[link] - 1e-6;
                }
                if (!done[row] && (full || low >= 1 - 1e-9)) {
                    done[row] = true;
                    frozen[row] = reached[row];
                }
            }
        }
        return frozen;
    }

    private static double[] valuesAtLevel(Network network, double[] frozen, boolean[] done, double level) {
        double[] value = frozen.clone();
        for (int row = 0; row < value.length; row++) {
            if (!done[row]) {
                value[row] = Math.max(network.min()[row], Math.min(network.max()[row], network.weight()[row] * level));
            }
        }
        return value;
    }

    static double sum(Network network, double[] value, int link) {
        double sum = 0;
        for (int row : network.rowsByLink()[link]) {
            sum += value[row];
        }
        return sum;
    }

    private static boolean fits(Network network, double[] value, double slack) {
        for (int link = 0; link < network.capacity().length; link++) {
            if (sum(network, value, link) > network.capacity()[link] + slack) {
                return false;
            }
        }
        return true;
    }

    static boolean fits(Network network, int[] value) {
        for (int link = 0; link < network.capacity().length; link++) {
            long sum = 0;
            for (int row : network.rowsByLink()[link]) {
                sum += value[row];
            }
            if (sum > network.capacity()[link]) {
                return false;
            }
        }
        return true;
    }
}
