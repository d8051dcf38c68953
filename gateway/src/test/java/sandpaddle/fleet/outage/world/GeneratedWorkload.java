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
 * Days of one zone, generated from a seed: statements of four classes with different maximum ages, requested with Zipf
 * frequencies and each with its own peak hour; loads that change data groups; and one outage per day that deviates from
 * its schedule.
 */
final class GeneratedWorkload {
    static final long HOUR_MS = 3_600_000;
    static final long DAY_MS = 24 * HOUR_MS;
    static final int STATEMENTS = 4000;
    private static final int DATA_GROUPS = 40;
    private static final int REQUESTS_PER_DAY = 20_000;
    private static final long[] MAX_AGES_MS = {HOUR_MS / 2, 2 * HOUR_MS, 8 * HOUR_MS, 24 * HOUR_MS};
    private static final double[] PRIORITY_WEIGHTS = {1, 2, 3, 5};

    /** A request of a statement, or of a load (statement -1), which no stored answer can serve. */
    record Request(long wallMs, int statement, double priorityWeight) {}

    /** The end of a load on a data group. */
    record Load(long wallMs, long group) {}

    final List<Candidate> statements = new ArrayList<>();
    final List<Request> requests = new ArrayList<>();
    final List<Load> loads = new ArrayList<>();
    final List<TimeRange> outages = new ArrayList<>();

    final int days;

    GeneratedWorkload(long seed, int days) {
        this.days = days;
        Random random = new Random(seed);
        double[] weights = new double[STATEMENTS];
        int[] peakHours = new int[STATEMENTS];
        for (int statement = 0; statement < STATEMENTS; statement++) {
            int requestClass = random.nextInt(4);
            long size = (long) (2000 * Math.exp(random.nextGaussian() * 1.2));
            long work = (long) (400_000 * Math.exp(random.nextGaussian()));
            byte[] text = ("select " + statement).getBytes(StandardCharsets.UTF_8);
            statements.add(new Candidate(
                    new CacheKey("t" + statement % 7, "u" + statement % 50, "c" + requestClass, text),
                    statement,
                    Set.of((long) random.nextInt(DATA_GROUPS)),
                    size,
                    work,
                    MAX_AGES_MS[requestClass],
                    PRIORITY_WEIGHTS[requestClass],
                    -1));
            weights[statement] = 1 / Math.pow(statement + 1, 0.9);
            peakHours[statement] = random.nextInt(24);
        }
        for (int day = 0; day < days; day++) {
            outages.add(new TimeRange(
                    day * DAY_MS + 13 * HOUR_MS + (long) (random.nextGaussian() * 5 * 60_000),
                    day * DAY_MS + 15 * HOUR_MS + (long) (random.nextGaussian() * 5 * 60_000)));
            generateRequests(day, weights, peakHours, random);
        }
        requests.sort((first, second) -> Long.compare(first.wallMs, second.wallMs));
        loads.sort((first, second) -> Long.compare(first.wallMs, second.wallMs));
    }

    private void generateRequests(int day, double[] weights, int[] peakHours, Random random) {
        for (int hour = 0; hour < 24; hour++) {
            double[] cumulative = new double[STATEMENTS];
            double totalWeight = 0;
            for (int statement = 0; statement < STATEMENTS; statement++) {
                int hourDistance = Math.min(
                        Math.floorMod(hour - peakHours[statement], 24), Math.floorMod(peakHours[statement] - hour, 24));
                totalWeight += weights[statement] * Math.exp(-hourDistance * hourDistance / 8.0);
                cumulative[statement] = totalWeight;
            }
            int count = (int) (REQUESTS_PER_DAY / 24.0 * (hour >= 7 && hour < 20 ? 1.6 : 0.3));
            for (int i = 0; i < count; i++) {
                long wallMs = day * DAY_MS + hour * HOUR_MS + (long) (random.nextDouble() * HOUR_MS);
                int index = java.util.Arrays.binarySearch(cumulative, random.nextDouble() * totalWeight);
                int statement = Math.min(STATEMENTS - 1, index < 0 ? -index - 1 : index);
                boolean isLoad = random.nextInt(20) == 0;
                requests.add(new Request(
                        wallMs,
                        isLoad ? -1 : statement,
                        isLoad ? 3 : statements.get(statement).priorityWeight()));
            }
            if (random.nextInt(2) == 0) {
                loads.add(new Load(
                        day * DAY_MS + hour * HOUR_MS + (long) (random.nextDouble() * HOUR_MS),
                        random.nextInt(DATA_GROUPS)));
            }
        }
    }

    TimeRange outageOf(int day) {
        return outages.get(day);
    }
}
