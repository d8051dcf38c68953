package sandpaddle.fleet.outage.world;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import sandpaddle.fleet.content.CacheKey;
import sandpaddle.fleet.content.Candidate;
import sandpaddle.fleet.outage.schedule.TimeRange;

/**
 * Days of a zone, drawn from a seed: statements asked by Zipf's law, each with its own hours of the day, of four
 * classes that age differently; loads that change data groups; and an outage every day that strays from its plan.
 */
final class Drawn {
    static final long HOUR = 3_600_000;
    static final long DAY = 24 * HOUR;
    static final int STATEMENTS = 4000;
    private static final int GROUPS = 40;
    private static final int ASKS_A_DAY = 20_000;
    private static final long[] MAX_AGE = {HOUR / 2, 2 * HOUR, 8 * HOUR, 24 * HOUR};
    private static final double[] WORTH = {1, 2, 3, 5};

    /** An ask of a statement, or (-1) a load, which no stored answer can answer. */
    record Ask(long wall, int statement, double worth) {}

    /** A load on a data group is over. */
    record Load(long wall, long group) {}

    final List<Candidate> statements = new ArrayList<>();
    final List<Ask> asks = new ArrayList<>();
    final List<Load> loads = new ArrayList<>();
    final List<TimeRange> outages = new ArrayList<>();

    final int days;

    Drawn(long seed, int days) {
        this.days = days;
        Random r = new Random(seed);
        double[] weight = new double[STATEMENTS];
        int[] peak = new int[STATEMENTS];
        for (int n = 0; n < STATEMENTS; n++) {
            int cls = r.nextInt(4);
            long size = (long) (2000 * Math.exp(r.nextGaussian() * 1.2));
            long work = (long) (400_000 * Math.exp(r.nextGaussian()));
            byte[] text = ("select " + n).getBytes(StandardCharsets.UTF_8);
            statements.add(new Candidate(
                    new CacheKey("t" + n % 7, "u" + n % 50, "c" + cls, text),
                    n,
                    Set.of((long) r.nextInt(GROUPS)),
                    size,
                    work,
                    MAX_AGE[cls],
                    WORTH[cls],
                    -1));
            weight[n] = 1 / Math.pow(n + 1, 0.9);
            peak[n] = r.nextInt(24);
        }
        for (int day = 0; day < days; day++) {
            outages.add(new TimeRange(
                    day * DAY + 13 * HOUR + (long) (r.nextGaussian() * 5 * 60_000),
                    day * DAY + 15 * HOUR + (long) (r.nextGaussian() * 5 * 60_000)));
            draw(day, weight, peak, r);
        }
        asks.sort((a, b) -> Long.compare(a.wall, b.wall));
        loads.sort((a, b) -> Long.compare(a.wall, b.wall));
    }

    private void draw(int day, double[] weight, int[] peak, Random r) {
        for (int hour = 0; hour < 24; hour++) {
            double[] sum = new double[STATEMENTS];
            double all = 0;
            for (int n = 0; n < STATEMENTS; n++) {
                int off = Math.min(Math.floorMod(hour - peak[n], 24), Math.floorMod(peak[n] - hour, 24));
                all += weight[n] * Math.exp(-off * off / 8.0);
                sum[n] = all;
            }
            int count = (int) (ASKS_A_DAY / 24.0 * (hour >= 7 && hour < 20 ? 1.6 : 0.3));
            for (int i = 0; i < count; i++) {
                long at = day * DAY + hour * HOUR + (long) (r.nextDouble() * HOUR);
                int found = java.util.Arrays.binarySearch(sum, r.nextDouble() * all);
                int n = Math.min(STATEMENTS - 1, found < 0 ? -found - 1 : found);
                boolean load = r.nextInt(20) == 0;
                asks.add(new Ask(at, load ? -1 : n, load ? 3 : statements.get(n).priorityWeight()));
            }
            if (r.nextInt(2) == 0) {
                loads.add(new Load(day * DAY + hour * HOUR + (long) (r.nextDouble() * HOUR), r.nextInt(GROUPS)));
            }
        }
    }

    TimeRange outageOf(int day) {
        return outages.get(day);
    }
}
