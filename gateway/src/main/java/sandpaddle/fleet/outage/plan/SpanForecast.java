package sandpaddle.fleet.outage.plan;

import java.util.HashMap;
import java.util.Map;
import sandpaddle.fleet.outage.schedule.TimeRange;

/**
 * Asks expected within one time, worked out once for all statements, so that a plan over many candidates costs a look
 * into a table for each. Built from what the sketches hold: at most 48 * 768 statements, each with a rate for every
 * hour of the time.
 */
final class SpanForecast implements Planner.Forecast {
    private final long hourMs;
    private final long first; // the hour, counted from 1970, that the time begins in
    private final int hours;
    private final Map<Long, double[]> rates = new HashMap<>();

    SpanForecast(TimeRange span, long hourMs, int maxHours) {
        this.hourMs = hourMs;
        first = Math.floorDiv(span.from(), hourMs);
        hours = (int) Math.min(maxHours, Math.floorDiv(span.to() - 1, hourMs) - first + 1);
    }

    int hours() {
        return hours;
    }

    /** When (wall, ms) an hour of the time begins. */
    long beginning(int hour) {
        return (first + hour) * hourMs;
    }

    void add(int hour, long fingerprint, double rate) {
        rates.computeIfAbsent(fingerprint, f -> new double[hours])[hour] += rate;
    }

    @Override
    public double asks(long fingerprint, TimeRange span) {
        double[] rate = rates.get(fingerprint);
        double sum = 0;
        for (int h = 0; rate != null && h < hours; h++) {
            long from = Math.max(span.from(), beginning(h));
            long to = Math.min(span.to(), beginning(h) + hourMs);
            sum += to > from ? rate[h] * (to - from) / hourMs : 0;
        }
        return sum;
    }
}
