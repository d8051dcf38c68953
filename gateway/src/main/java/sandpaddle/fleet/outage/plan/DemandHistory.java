package sandpaddle.fleet.outage.plan;

import org.apache.datasketches.frequencies.ErrorType;
import org.apache.datasketches.frequencies.LongsSketch;
import sandpaddle.fleet.outage.schedule.TimeRange;

/**
 * Request frequency of statements by hour of the day (UTC). Each hour has two frequent-items sketches (Anderson et al.,
 * "A High-Performance Algorithm for Identifying Frequent Items in Data Streams", 2017, as implemented in DataSketches):
 * one of the current day and an exponentially weighted one of earlier days, in which each further day has {@code 1 -
 * newestDayWeight} times the weight.
 *
 * <p>Counts are stored as multiples of 1/{@value #COUNT_SCALE}, so that small counts do not round to zero when they
 * decay. The error of an estimate is at most 3.5/{@value #MAX_MAP_SIZE} of the requests of its hour. Memory: at most 48
 * sketches, two for each hour, of {@value #MAX_MAP_SIZE} entries of 18 bytes, 0.9 MB. Recording a request costs one
 * hash. Not thread-safe.
 */
public final class DemandHistory {
    static final int MAX_MAP_SIZE = 1024;
    static final int COUNT_SCALE = 256;
    private static final double SAME_HOUR_WEIGHT = 0.5;
    private static final double ADJACENT_HOURS_WEIGHT = 0.35;
    private static final int HOURS_PER_DAY = 24;
    private static final long HOUR_MS = 3_600_000;
    private static final int MAX_IDLE_DAYS = 60; // days without a request after which no count is left

    private static final class Hour {
        private LongsSketch today = new LongsSketch(MAX_MAP_SIZE);
        private LongsSketch earlierDays = new LongsSketch(MAX_MAP_SIZE);
        private long day = Long.MIN_VALUE;
        private boolean hasEarlierDays;
    }

    private final Hour[] hours = new Hour[HOURS_PER_DAY];
    private final double newestDayWeight;

    /**
     * Creates an empty history.
     *
     * @param newestDayWeight weight of the newest day against all earlier days together, above 0 and at most 1; usually
     *     0.3
     */
    public DemandHistory(double newestDayWeight) {
        this.newestDayWeight = newestDayWeight;
        for (int hourOfDay = 0; hourOfDay < HOURS_PER_DAY; hourOfDay++) {
            hours[hourOfDay] = new Hour();
        }
    }

    /**
     * Records a request.
     *
     * @param wallMs wall-clock time of the request in milliseconds
     * @param fingerprint fingerprint of the statement
     */
    public void recordRequest(long wallMs, long fingerprint) {
        Hour hour = hours[hourOfDay(wallMs)];
        startDay(hour, Math.floorDiv(wallMs, HOUR_MS * HOURS_PER_DAY));
        hour.today.update(fingerprint, COUNT_SCALE);
    }

    private static int hourOfDay(long wallMs) {
        return (int) Math.floorMod(Math.floorDiv(wallMs, HOUR_MS), (long) HOURS_PER_DAY);
    }

    /**
     * Merges the counts of the hour's previous day into those of earlier days when a new day begins. After the clock
     * was set back, counting continues in the current sketch.
     */
    private void startDay(Hour hour, long day) {
        if (hour.day == Long.MIN_VALUE || day <= hour.day) {
            hour.day = day; // otherwise all days until the clock catches up would count as one
            return;
        }
        double newestWeight = hour.hasEarlierDays ? newestDayWeight : 1;
        LongsSketch merged = new LongsSketch(MAX_MAP_SIZE);
        addWeighted(merged, hour.today, newestWeight);
        addWeighted(merged, hour.earlierDays, 1 - newestWeight);
        long idleDays = Math.min(MAX_IDLE_DAYS, day - hour.day - 1);
        if (idleDays > 0) {
            LongsSketch decayed = new LongsSketch(MAX_MAP_SIZE);
            addWeighted(decayed, merged, Math.pow(1 - newestDayWeight, idleDays));
            merged = decayed;
        }
        hour.earlierDays = merged;
        hour.today = new LongsSketch(MAX_MAP_SIZE);
        hour.hasEarlierDays = true;
        hour.day = day;
    }

    private static void addWeighted(LongsSketch target, LongsSketch source, double weight) {
        for (LongsSketch.Row row : source.getFrequentItems(ErrorType.NO_FALSE_NEGATIVES)) {
            long scaledCount = Math.round(row.getEstimate() * weight);
            if (scaledCount > 0) {
                target.update(row.getItem(), scaledCount);
            }
        }
    }

    /**
     * Returns the number of requests of a statement expected in a future time range (wall clock, ms). A range longer
     * than a day counts as its first day.
     */
    public double expectedDemand(long fingerprint, TimeRange range) {
        double sum = 0;
        long endMs = Math.min(range.endMs(), range.startMs() + HOURS_PER_DAY * HOUR_MS);
        for (long timeMs = range.startMs(); timeMs < endMs; ) {
            long nextMs = Math.min(endMs, (Math.floorDiv(timeMs, HOUR_MS) + 1) * HOUR_MS);
            sum += hourlyRate(timeMs, fingerprint) * (nextMs - timeMs) / HOUR_MS;
            timeMs = nextMs;
        }
        return sum;
    }

    /**
     * Returns the expected requests per hour at a time: half of it comes from the same hour of the day, the rest
     * from the adjacent hours and the whole day. Without the latter, a statement requested at ten to the hour yesterday
     * would not be expected ten minutes later today.
     */
    private double hourlyRate(long wallMs, long fingerprint) {
        double sum = 0;
        for (int hourOfDay = 0; hourOfDay < HOURS_PER_DAY; hourOfDay++) {
            Hour hour = hours[hourOfDay];
            double todayWeight = weight(hour, hourOfDay, wallMs, true);
            double earlierWeight = weight(hour, hourOfDay, wallMs, false);
            sum += todayWeight == 0 ? 0 : todayWeight * hour.today.getEstimate(fingerprint);
            sum += earlierWeight == 0 ? 0 : earlierWeight * hour.earlierDays.getEstimate(fingerprint);
        }
        return sum / COUNT_SCALE;
    }

    /**
     * Returns the weight of one hour's sketch in the rate at a time. An hour that has not begun again since its last
     * day has the weights that its sketches will have when merged. An hour that is in progress or over for today
     * contributes its earlier days and what today has so far, which at worst counts a part of it twice.
     */
    private double weight(Hour hour, int hourOfDay, long wallMs, boolean isToday) {
        int targetHour = hourOfDay(wallMs);
        int distance = Math.min(
                Math.floorMod(targetHour - hourOfDay, HOURS_PER_DAY),
                Math.floorMod(hourOfDay - targetHour, HOURS_PER_DAY));
        double hourWeight = (1 - SAME_HOUR_WEIGHT - ADJACENT_HOURS_WEIGHT) / HOURS_PER_DAY
                + (distance == 0 ? SAME_HOUR_WEIGHT : distance == 1 ? ADJACENT_HOURS_WEIGHT / 2 : 0);
        if (!hour.hasEarlierDays) {
            return isToday ? hourWeight : 0;
        }
        return hourWeight * (isToday ? newestDayWeight : 1 - newestDayWeight);
    }

    /**
     * Returns a forecast with the values of {@link #expectedDemand} for all statements and any part of one time range.
     */
    public Planner.Forecast forecast(TimeRange range) {
        TabulatedForecast forecast = new TabulatedForecast(range, HOUR_MS, HOURS_PER_DAY);
        for (int hourOfDay = 0; hourOfDay < HOURS_PER_DAY; hourOfDay++) {
            addToForecast(forecast, hourOfDay, true, hours[hourOfDay].today);
            addToForecast(forecast, hourOfDay, false, hours[hourOfDay].earlierDays);
        }
        return forecast;
    }

    private void addToForecast(TabulatedForecast forecast, int hourOfDay, boolean isToday, LongsSketch sketch) {
        double[] weights = new double[forecast.hourCount()];
        for (int index = 0; index < weights.length; index++) {
            weights[index] = weight(hours[hourOfDay], hourOfDay, forecast.startOfHourMs(index), isToday) / COUNT_SCALE;
        }
        for (LongsSketch.Row row : sketch.getFrequentItems(ErrorType.NO_FALSE_NEGATIVES)) {
            for (int index = 0; index < weights.length; index++) {
                forecast.add(index, row.getItem(), weights[index] * row.getEstimate());
            }
        }
    }
}
