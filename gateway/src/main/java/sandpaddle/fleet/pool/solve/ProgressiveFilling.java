package sandpaddle.fleet.pool.solve;

/**
 * Weighted max-min fairness by progressive filling (Bertsekas and Gallager, Data Networks, 6.5.2), also called
 * water-filling, with a minimum and a maximum for each row. A level rises from 0, and the share of each row is its
 * weight times the level, but at least its minimum; the share is frozen when it reaches the maximum or one of its links
 * is saturated. In the result, the share of a row can grow only at the expense of a row whose share relative to its
 * weight is not greater. The events are taken from two heaps, of rows and of links, rather than found by small
 * increments of the level: O((n + m) k log(n + m)) for n rows with at most k of m links each.
 */
final class ProgressiveFilling {
    private static final byte AT_MINIMUM = 0;
    private static final byte RISING = 1;
    private static final byte FROZEN = 2;

    private final Network network;
    private final int[][] rowsByLink;
    private final byte[] state;
    private final double[] value;
    private final double[] fixedSum; // for each link: sum of the shares of its rows that are not rising
    private final long[]
            risingWeight; // for each link: sum of the weights of its rising rows; integers, since rounding could exceed
    // the capacity
    private final int[] risingRows;
    private final IndexedHeap rowEvents;
    private final IndexedHeap linkEvents;
    private double level;
    private long steps;

    private ProgressiveFilling(Network network) {
        this.network = network;
        int links = network.capacity().length;
        rowsByLink = network.rowsByLink();
        state = new byte[network.rows()];
        value = new double[network.rows()];
        fixedSum = new double[links];
        risingWeight = new long[links];
        risingRows = new int[links];
        rowEvents = new IndexedHeap(network.rows());
        linkEvents = new IndexedHeap(links);
    }

    /** The shares before rounding to integers, and the number of steps as a measure of the cost. */
    record Shares(double[] value, long steps) {}

    static Shares fill(Network network) {
        ProgressiveFilling filling = new ProgressiveFilling(network);
        filling.run();
        return new Shares(filling.value, filling.steps + filling.rowEvents.steps() + filling.linkEvents.steps());
    }

    private void run() {
        for (int row = 0; row < network.rows(); row++) {
            int min = network.min()[row];
            value[row] = min;
            for (int link : network.links()[row]) {
                fixedSum[link] += min;
            }
            if (network.max()[row] <= min) {
                state[row] = FROZEN;
            } else if (min > 0) {
                rowEvents.putOrUpdate(row, min / (double) network.weight()[row]);
            } else {
                startRising(row);
            }
        }
        for (int link = 0; link < fixedSum.length; link++) {
            scheduleSaturation(link);
        }
        while (!rowEvents.isEmpty()) {
            if (linkEvents.peekKey() <= rowEvents.peekKey()) {
                onLinkEvent(linkEvents.peek(), linkEvents.peekKey());
            } else {
                level = Math.max(level, rowEvents.peekKey());
                onRowEvent(rowEvents.peek());
            }
        }
    }

    /** Handles the event that the level has reached the minimum or the maximum of the row. */
    private void onRowEvent(int row) {
        if (state[row] == RISING) {
            freeze(row, network.max()[row]);
            return;
        }
        startRising(row);
        for (int link : network.links()[row]) {
            scheduleSaturation(link);
        }
    }

    private void startRising(int row) {
        state[row] = RISING;
        for (int link : network.links()[row]) {
            fixedSum[link] -= network.min()[row];
            risingWeight[link] += network.weight()[row];
            risingRows[link]++;
        }
        rowEvents.putOrUpdate(row, network.max()[row] / (double) network.weight()[row]);
    }

    /**
     * Handles the event that the link may be saturated. Rows that were frozen since the event was scheduled delay the
     * saturation without rescheduling the event, so this checks the level anew and reschedules if needed.
     */
    private void onLinkEvent(int link, double scheduledLevel) {
        steps++;
        double currentLevel = risingRows[link] == 0
                ? Double.POSITIVE_INFINITY
                : (network.capacity()[link] - fixedSum[link]) / risingWeight[link];
        if (currentLevel > scheduledLevel && currentLevel > level) {
            scheduleSaturation(link);
        } else {
            level = Math.max(level, scheduledLevel); // a rounding error must not lower the level
            saturate(link);
        }
    }

    /** Freezes all rows of a saturated link. */
    private void saturate(int link) {
        for (int row : rowsByLink[link]) {
            steps++;
            if (state[row] != FROZEN) {
                double reached = state[row] == RISING ? network.weight()[row] * level : network.min()[row];
                freeze(row, Math.max(network.min()[row], Math.min(network.max()[row], reached)));
            }
        }
        linkEvents.remove(link);
    }

    private void freeze(int row, double frozenValue) {
        boolean wasRising = state[row] == RISING;
        state[row] = FROZEN;
        value[row] = frozenValue;
        rowEvents.remove(row);
        if (!wasRising) {
            return;
        }
        for (int link : network.links()[row]) {
            fixedSum[link] += frozenValue;
            risingRows[link]--;
            risingWeight[link] -= network.weight()[row];
        }
    }

    /** Schedules the event of the saturation of the link, by the weights of its rising rows. */
    private void scheduleSaturation(int link) {
        steps++;
        if (risingRows[link] == 0) {
            linkEvents.remove(link);
        } else {
            linkEvents.putOrUpdate(
                    link, Math.max(level, (network.capacity()[link] - fixedSum[link]) / risingWeight[link]));
        }
    }
}
