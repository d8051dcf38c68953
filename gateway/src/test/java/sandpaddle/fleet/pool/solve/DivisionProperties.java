package sandpaddle.fleet.pool.solve;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Compares filling and rounding with a reference solver and with all integer divisions of small problems. */
class DivisionProperties {
    private static int[] tieBreakers(int rows, long seed) {
        return new Random(seed).ints(rows).toArray();
    }

    private static int[] solve(Network network, int[] previous) {
        return Rounding.round(
                network, ProgressiveFilling.fill(network).value(), previous, tieBreakers(network.rows(), 5));
    }

    @Property(seed = "21", tries = 1_000)
    void exactSharesEqualReferenceSolution(@ForAll long seed) {
        Network network = Networks.draw(new Random(seed), 8, 20, 4);
        assertArrayEquals(
                Networks.referenceShares(network),
                ProgressiveFilling.fill(network).value(),
                1e-4);
    }

    /** No integer division has a lexicographically greater sorted vector of shares relative to weights. */
    @Property(seed = "22", tries = 300)
    void exactSharesAreLexicographicallyMaxMin(@ForAll long seed) {
        Network network = Networks.draw(new Random(seed), 4, 4, 3);
        double[] best =
                normalizedShares(network, ProgressiveFilling.fill(network).value());
        int[] candidate = network.min().clone();
        do {
            if (Networks.fits(network, candidate)) {
                double[] other = normalizedShares(
                        network, Arrays.stream(candidate).asDoubleStream().toArray());
                assertFalse(
                        isFairer(other, best),
                        () -> Arrays.toString(candidate) + " is fairer than "
                                + Arrays.toString(
                                        ProgressiveFilling.fill(network).value()));
            }
        } while (nextVector(network, candidate));
    }

    /** No other integer division gives some row more and no row less. */
    @Property(seed = "23", tries = 300)
    void integerDivisionIsParetoOptimal(@ForAll long seed) {
        Network network = Networks.draw(new Random(seed), 4, 4, 3);
        int[] rounded = solve(network, new int[network.rows()]);
        int[] candidate = network.min().clone();
        do {
            boolean noLess = true;
            int more = 0;
            for (int row = 0; row < rounded.length; row++) {
                noLess &= candidate[row] >= rounded[row];
                more += candidate[row] - rounded[row];
            }
            assertFalse(
                    noLess && more > 0 && Networks.fits(network, candidate),
                    () -> Arrays.toString(candidate) + " dominates");
        } while (nextVector(network, candidate));
    }

    @Property(seed = "24", tries = 1_000)
    void integerDivisionRespectsBoundsAndStaysNearExactShares(@ForAll long seed) {
        Network network = Networks.draw(new Random(seed), 40, 30, 5);
        double[] shares = ProgressiveFilling.fill(network).value();
        int[] rounded = solve(network, new int[network.rows()]);
        assertTrue(Networks.fits(network, rounded));
        for (int row = 0; row < rounded.length; row++) {
            assertTrue(rounded[row] >= network.min()[row] && rounded[row] <= network.max()[row]);
            assertTrue(rounded[row] > shares[row] - 1, "must be less than one connection below its share");
        }
    }

    @Property(seed = "25", tries = 500)
    void withOneLinkEveryRowIsWithinOneConnectionOfItsShare(@ForAll long seed) {
        Network network = Networks.draw(new Random(seed), 40, 30, 1);
        double[] shares = ProgressiveFilling.fill(network).value();
        int[] rounded = solve(network, new int[network.rows()]);
        for (int row = 0; row < rounded.length; row++) {
            assertTrue(Math.abs(rounded[row] - shares[row]) < 1, rounded[row] + " for " + shares[row]);
        }
    }

    @Property(seed = "26", tries = 500)
    void higherWeightNeverYieldsASmallerShare(@ForAll long seed) {
        Random random = new Random(seed);
        Network network = Networks.draw(random, 12, 30, 1);
        int raised = random.nextInt(network.rows());
        long[] weight = network.weight().clone();
        weight[raised] = weight[raised] * (2 + random.nextInt(20)) / (1 + random.nextInt(2)) + 1;
        Network heavier = new Network(weight, network.min(), network.max(), network.links(), network.capacity());
        int[] none = new int[network.rows()];
        assertTrue(ProgressiveFilling.fill(heavier).value()[raised]
                >= ProgressiveFilling.fill(network).value()[raised] - 1e-9);
        assertTrue(solve(heavier, none)[raised] >= solve(network, none)[raised]);
    }

    @Property(seed = "27", tries = 1_000)
    void unchangedInputKeepsTheDivision(@ForAll long seed) {
        Network network = Networks.draw(new Random(seed), 40, 30, 4);
        int[] first = solve(network, new int[network.rows()]);
        assertArrayEquals(first, solve(network, first));
    }

    /** One more connection of capacity goes to one row, and at most one other connection moves. */
    @Property(seed = "28", tries = 500)
    void oneMoreConnectionOfCapacityMovesAtMostThree(@ForAll long seed) {
        Random random = new Random(seed);
        Network network = Networks.draw(random, 40, 30, 1);
        int[] first = solve(network, new int[network.rows()]);
        Network more = new Network(
                network.weight(), network.min(), network.max(), network.links(), new long[] {network.capacity()[0] + 1
                });
        int[] second = solve(more, first);
        int moved = 0;
        for (int row = 0; row < first.length; row++) {
            moved += Math.abs(second[row] - first[row]);
        }
        assertTrue(moved <= 3, moved + " moved");
    }

    @Property(seed = "29", tries = 20)
    void stepsAreBoundedByRowsTimesLogRows(@ForAll long seed) {
        Random random = new Random(seed);
        for (int rows : new int[] {1_000, 8_000}) {
            Network network = drawLarge(random, rows);
            double bound = 12.0 * rows * 4 * Math.log(rows) / Math.log(2);
            assertTrue(
                    ProgressiveFilling.fill(network).steps() <= bound,
                    ProgressiveFilling.fill(network).steps() + " steps for " + rows);
            assertEquals(rows, network.rows());
        }
    }

    private static Network drawLarge(Random random, int rows) {
        int groups = rows / 20;
        long[] weight = random.longs(rows, 10_000, 5_000_000).toArray();
        int[] max = random.ints(rows, 0, 100).toArray();
        int[][] links = new int[rows][];
        long[] capacity = random.longs(1 + 2L * groups, 100, 600).toArray();
        capacity[0] = rows * 10L;
        for (int row = 0; row < rows; row++) {
            links[row] = new int[] {0, 1 + random.nextInt(groups), 1 + groups + random.nextInt(groups)};
        }
        return new Network(weight, new int[rows], max, links, capacity);
    }

    private static double[] normalizedShares(Network network, double[] value) {
        double[] share = new double[value.length];
        for (int row = 0; row < share.length; row++) {
            share[row] = value[row] / network.weight()[row] * 1e6;
        }
        Arrays.sort(share);
        return share;
    }

    private static boolean isFairer(double[] a, double[] b) {
        for (int i = 0; i < a.length; i++) {
            if (Math.abs(a[i] - b[i]) > 1e-4) {
                return a[i] > b[i];
            }
        }
        return false;
    }

    /** Advances to the next vector between the minima and the maxima; false after the last one. */
    private static boolean nextVector(Network network, int[] candidate) {
        for (int row = 0; row < candidate.length; row++) {
            if (candidate[row] < network.max()[row]) {
                candidate[row]++;
                return true;
            }
            candidate[row] = network.min()[row];
        }
        return false;
    }
}
