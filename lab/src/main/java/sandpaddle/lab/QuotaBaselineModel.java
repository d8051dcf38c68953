package sandpaddle.lab;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Models the utilization of the limit "all" under two other allocations, for the same attempts while demand is uneven:
 * fixed equal quotas (each gateway gets the limit divided by the number of gateways), and a central allocator without
 * failures or delay. An attempt waits in FIFO order until its client times out, then runs as long as it actually ran,
 * or as long as the mean of its class. Simplifications: engines do not slow down, and clients do not retry more often.
 */
final class QuotaBaselineModel {
    private static final long SETTLING_US = 2_000_000;

    private record ClientAttempt(
            long timestampUs, String gateway, String attempt, String requestClass, long timeoutUs) {}

    private final List<ClientAttempt> attempts = new ArrayList<>();
    private final Map<String, Long> startedUs = new HashMap<>();
    private final Map<String, Long> durations = new HashMap<>();
    private final Map<String, long[]> durationTotals = new HashMap<>(); // sum of run times and count
    private long amount;
    private long gateways;
    private long unevenFromUs = -1;
    private long unevenUntilUs;

    void limitChanged(Map<String, String> event) {
        if (event.get("limit").equals("all")) {
            amount = Long.parseLong(event.get("running"));
            gateways = Long.parseLong(event.get("gateways"));
        }
    }

    void attemptSent(Map<String, String> event, long timestampUs) {
        attempts.add(new ClientAttempt(
                timestampUs,
                event.get("gateway"),
                event.get("attempt"),
                event.get("class"),
                Long.parseLong(event.getOrDefault("patience", "0")) * 1000));
    }

    void attemptStarted(String attempt, long timestampUs) {
        startedUs.putIfAbsent(attempt, timestampUs);
    }

    void attemptEnded(String attempt, String requestClass, long timestampUs) {
        Long attemptStartUs = startedUs.get(attempt);
        if (attemptStartUs != null && durations.putIfAbsent(attempt, timestampUs - attemptStartUs) == null) {
            long[] c = durationTotals.computeIfAbsent(requestClass, k -> new long[2]);
            c[0] += timestampUs - attemptStartUs;
            c[1]++;
        }
    }

    void unevenDemandStarted(long timestampUs) {
        unevenFromUs = timestampUs + SETTLING_US;
        unevenUntilUs = Long.MAX_VALUE;
    }

    void unevenDemandEnded(long timestampUs) {
        unevenUntilUs = timestampUs;
    }

    void figures(Map<String, Object> figures) {
        boolean measurable = unevenFromUs >= 0
                && unevenUntilUs < Long.MAX_VALUE
                && unevenUntilUs > unevenFromUs
                && amount > 0
                && gateways > 0;
        figures.put("limitUseEqual", measurable ? utilization(true) : -1.0);
        figures.put("limitUseCentral", measurable ? utilization(false) : -1.0);
    }

    private double utilization(boolean equalShares) {
        Map<String, List<ClientAttempt>> queues = new HashMap<>();
        attempts.stream()
                .sorted(Comparator.comparingLong(ClientAttempt::timestampUs))
                .forEach(t -> queues.computeIfAbsent(equalShares ? t.gateway : "", k -> new ArrayList<>())
                        .add(t));
        long slots = equalShares ? amount / gateways : amount;
        double busy =
                queues.values().stream().mapToDouble(q -> busyTime(q, slots)).sum();
        return busy / ((double) amount * (unevenUntilUs - unevenFromUs));
    }

    /** Total time in which slots are in use within the measured period (us). */
    private double busyTime(List<ClientAttempt> queue, long slots) {
        PriorityQueue<Long> free = new PriorityQueue<>();
        for (long i = 0; i < slots; i++) {
            free.add(0L);
        }
        double busy = 0;
        for (ClientAttempt t : queue) {
            long start = Math.max(t.timestampUs, free.peek());
            if (start > t.timestampUs + t.timeoutUs) {
                continue;
            }
            free.poll();
            long end = start + durations.getOrDefault(t.attempt, meanDuration(t.requestClass));
            free.add(end);
            busy += Math.max(0, Math.min(end, unevenUntilUs) - Math.max(start, unevenFromUs));
        }
        return busy;
    }

    private long meanDuration(String requestClass) {
        long[] c = durationTotals.get(requestClass);
        return c == null ? 0 : c[0] / c[1];
    }
}
