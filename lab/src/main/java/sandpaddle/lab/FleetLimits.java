package sandpaddle.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Excess over the fleet's limits, counted at the engines alone: concurrent queries against the largest amount that may
 * be in effect, starts against their rate limit.
 */
final class FleetLimits {
    private static final double US_PER_SECOND = 1e6;
    private static final long SETTLING_US = 2_000_000; // after a change of demand

    private record LimitRecord(
            String requestClass,
            String engine,
            long amount,
            double perSecond,
            long burst,
            long gateways,
            long setUs,
            long effectiveUs) {}

    private final Map<String, List<LimitRecord>> limits = new HashMap<>();
    // by limit, or by limit and engine for limits per engine
    private final Map<String, Long> runningCounts = new HashMap<>();
    // by rate limit: bucket level and the time of its last update
    private final Map<String, double[]> rateLevels = new HashMap<>();
    private long maxExcess = Long.MIN_VALUE;
    private String maxExcessLocation = "";
    private double maxRateExcess;
    private double rateExcessBound;
    private long unevenFromUs = -1;
    private long unevenUntilUs;
    private long integratedUntilUs;
    private double usedTime;
    private double availableTime;

    void limitChanged(Map<String, String> event, long timestampUs) {
        limits.computeIfAbsent(event.get("limit"), k -> new ArrayList<>())
                .add(new LimitRecord(
                        event.get("class"),
                        event.get("engine"),
                        Long.parseLong(event.get("running")),
                        Double.parseDouble(event.get("per_s")),
                        Long.parseLong(event.get("burst")),
                        Long.parseLong(event.get("gateways")),
                        timestampUs,
                        Long.parseLong(event.get("holds"))));
    }

    /** From now on demand is uneven and exceeds the limit. */
    void unevenDemandStarted(long timestampUs) {
        unevenFromUs = timestampUs + SETTLING_US;
        unevenUntilUs = Long.MAX_VALUE;
        integratedUntilUs = unevenFromUs;
    }

    void unevenDemandEnded(long timestampUs) {
        integrate(timestampUs);
        unevenUntilUs = timestampUs;
    }

    /**
     * The largest amount that may be in effect: that of the newest record, and of earlier ones until a record is in
     * effect for certain.
     */
    private static long allowed(List<LimitRecord> history, long timestampUs) {
        long max = 0;
        for (int i = history.size() - 1; i >= 0; i--) {
            max = Math.max(max, history.get(i).amount);
            if (history.get(i).effectiveUs <= timestampUs) {
                break;
            }
        }
        return max;
    }

    private static boolean appliesTo(LimitRecord current, String requestClass) {
        return current.requestClass == null || current.requestClass.equals(requestClass);
    }

    private static String key(String limit, LimitRecord current, String engine) {
        return current.engine == null ? limit : limit + " " + engine;
    }

    void attemptStarted(long timestampUs, String requestClass, String engine) {
        integrate(timestampUs);
        limits.forEach((name, history) -> {
            LimitRecord current = history.get(history.size() - 1);
            if (!appliesTo(current, requestClass)) {
                return;
            }
            if (current.perSecond > 0) {
                recordRate(name, current, timestampUs);
                return;
            }
            long n = runningCounts.merge(key(name, current, engine), 1L, Long::sum);
            long over = n - allowed(history, timestampUs);
            if (over > maxExcess) {
                maxExcess = over;
                maxExcessLocation = key(name, current, engine) + " at " + timestampUs;
            }
        });
    }

    /**
     * Leaky bucket: rises by one with each start and drains at the rate. Its maximum is the largest excess over the
     * rate in any period.
     */
    private void recordRate(String name, LimitRecord current, long timestampUs) {
        double[] levelAndTime = rateLevels.computeIfAbsent(name, k -> new double[] {0, timestampUs});
        levelAndTime[0] =
                Math.max(0, levelAndTime[0] - current.perSecond * (timestampUs - levelAndTime[1]) / US_PER_SECOND) + 1;
        levelAndTime[1] = timestampUs;
        maxRateExcess = Math.max(maxRateExcess, levelAndTime[0]);
        rateExcessBound = Math.max(rateExcessBound, current.gateways * Math.max(1, current.burst));
    }

    void attemptEnded(long timestampUs, String requestClass, String engine) {
        integrate(timestampUs);
        limits.forEach((name, history) -> {
            LimitRecord current = history.get(history.size() - 1);
            if (appliesTo(current, requestClass) && current.perSecond == 0) {
                runningCounts.merge(key(name, current, engine), -1L, Long::sum);
            }
        });
    }

    private void integrate(long timestampUs) {
        List<LimitRecord> all = limits.get("all");
        if (unevenFromUs < 0 || all == null || timestampUs <= integratedUntilUs || integratedUntilUs >= unevenUntilUs) {
            return;
        }
        long span = timestampUs - integratedUntilUs;
        usedTime += span * (double) Math.min(runningCounts.getOrDefault("all", 0L), allowed(all, timestampUs));
        availableTime += span * (double) allowed(all, timestampUs);
        integratedUntilUs = timestampUs;
    }

    void figures(Map<String, Object> figures) {
        figures.put("limitOverMost", maxExcess == Long.MIN_VALUE ? 0L : Math.max(0, maxExcess));
        figures.put("limitOverBound", 0L);
        figures.put("limitOverWhere", maxExcess > 0 ? maxExcessLocation : "");
        figures.put("rateOverMost", maxRateExcess);
        figures.put("rateOverBound", rateExcessBound);
        figures.put("limitUse", availableTime == 0 ? -1.0 : usedTime / availableTime);
    }
}
