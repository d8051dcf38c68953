package sandpaddle.fleet.outage.plan;

import java.util.HashMap;
import java.util.Map;
import sandpaddle.fleet.outage.schedule.TimeRange;

/**
 * Requests expected within one time range, computed once for all statements, so that a plan of many candidates costs
 * one table lookup per candidate. Has at most 48 * 768 statements, the capacity of the sketches of {@link
 * DemandHistory}, with a rate for each hour of the range.
 */
final class TabulatedForecast implements Planner.Forecast {
    private final long hourMs;
    private final long firstHour; // hours since 1970
    private final int hourCount;
    private final Map<Long, double[]> ratesByFingerprint = new HashMap<>();

    TabulatedForecast(TimeRange range, long hourMs, int maxHours) {
        this.hourMs = hourMs;
        firstHour = Math.floorDiv(range.startMs(), hourMs);
        hourCount = (int) Math.min(maxHours, Math.floorDiv(range.endMs() - 1, hourMs) - firstHour + 1);
    }

    int hourCount() {
        return hourCount;
    }

    /** Returns the start of an hour of the range (wall clock, ms). */
    long startOfHourMs(int hour) {
        return (firstHour + hour) * hourMs;
    }

    void add(int hour, long fingerprint, double ratePerHour) {
        ratesByFingerprint.computeIfAbsent(fingerprint, key -> new double[hourCount])[hour] += ratePerHour;
    }

    @Override
    public double demand(long fingerprint, TimeRange range) {
        double[] hourlyRates = ratesByFingerprint.get(fingerprint);
        double sum = 0;
        for (int hour = 0; hourlyRates != null && hour < hourCount; hour++) {
            long startMs = Math.max(range.startMs(), startOfHourMs(hour));
            long endMs = Math.min(range.endMs(), startOfHourMs(hour) + hourMs);
            sum += endMs > startMs ? hourlyRates[hour] * (endMs - startMs) / hourMs : 0;
        }
        return sum;
    }
}
