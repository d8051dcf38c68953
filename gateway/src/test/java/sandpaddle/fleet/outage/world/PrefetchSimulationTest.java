package sandpaddle.fleet.outage.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.content.Candidate;
import sandpaddle.fleet.outage.schedule.TimeRange;

/**
 * Compares the fraction of the requested value that each strategy serves in outages, on the same generated days in
 * virtual time. Value is the sum of the priority weights of requests.
 */
class PrefetchSimulationTest {
    private static final int LEARNING_DAYS = 4;
    private static final long MINUTE_MS = 60_000;
    private static final long WORK_US_PER_SECOND = 300_000; // 0.3 cores, from half an hour before the loss
    /** An answer stored this shortly before a change counts as outdated by it. */
    private static final long CHANGE_MARGIN_MS = 30_000;

    /** Returns the value served divided by the value requested, on the days after the learning days. */
    static double servedFraction(GeneratedWorkload workload, AnswerCache cache) {
        Map<Long, Long> lastChangeMs = new HashMap<>();
        int nextLoad = 0;
        int nextRequest = 0;
        double requestedValue = 0;
        double servedValue = 0;
        boolean wasIsolated = false;
        for (long nowMs = 0; nowMs < workload.days * GeneratedWorkload.DAY_MS; nowMs += MINUTE_MS) {
            int day = (int) (nowMs / GeneratedWorkload.DAY_MS);
            TimeRange outage = workload.outageOf(day);
            boolean isIsolated = outage.contains(nowMs);
            if (isIsolated && !wasIsolated) {
                cache.outageStarted(day);
            }
            wasIsolated = isIsolated;
            if (!isIsolated) {
                cache.minutePassed(nowMs);
            } else if (cache instanceof AnswerCaches.Prefetching prefetching) {
                prefetching.isolatedMinutePassed(nowMs, outage.startMs());
            }
            for (;
                    nextLoad < workload.loads.size()
                            && workload.loads.get(nextLoad).wallMs() < nowMs + MINUTE_MS;
                    nextLoad++) {
                GeneratedWorkload.Load load = workload.loads.get(nextLoad);
                lastChangeMs.put(load.group(), load.wallMs());
                if (!isIsolated) {
                    cache.dataChanged(load.group(), load.wallMs());
                }
            }
            for (;
                    nextRequest < workload.requests.size()
                            && workload.requests.get(nextRequest).wallMs() < nowMs + MINUTE_MS;
                    nextRequest++) {
                GeneratedWorkload.Request request = workload.requests.get(nextRequest);
                boolean isMeasured = isIsolated && day >= LEARNING_DAYS;
                requestedValue += isMeasured ? request.priorityWeight() : 0;
                if (request.statement() >= 0) {
                    Candidate candidate = workload.statements.get(request.statement());
                    if (isIsolated) {
                        servedValue += isMeasured && isServed(cache, candidate, request.wallMs(), outage, lastChangeMs)
                                ? request.priorityWeight()
                                : 0;
                    } else {
                        cache.answerServed(candidate, request.wallMs());
                    }
                }
            }
        }
        return servedValue / requestedValue;
    }

    /**
     * Applies the rules of the product: maximum age, and the changes that are known, which are those before the loss.
     */
    private static boolean isServed(
            AnswerCache cache, Candidate candidate, long wallMs, TimeRange outage, Map<Long, Long> lastChangeMs) {
        long fetchedAtMs = cache.storedAtMs(candidate);
        return fetchedAtMs >= 0
                && wallMs - fetchedAtMs <= candidate.maxAgeMs()
                && candidate.groups().stream().noneMatch(group -> {
                    long change = lastChangeMs.getOrDefault(group, -1L);
                    return change >= fetchedAtMs - CHANGE_MARGIN_MS && change < outage.startMs();
                });
    }

    /** Returns a table row: store size in kB, seed, and the fractions of no store, LRU, prefetching and oracle. */
    private static String compare(long bytes, long seed, int days) {
        GeneratedWorkload workload = new GeneratedWorkload(seed, days);
        double none = servedFraction(workload, new AnswerCaches.Lru(0));
        double lru = servedFraction(workload, new AnswerCaches.Lru(bytes));
        double prefetch = servedFraction(workload, new AnswerCaches.Prefetching(bytes, WORK_US_PER_SECOND));
        double oracle = servedFraction(workload, new AnswerCaches.Oracle(workload, bytes, WORK_US_PER_SECOND));
        String line = String.format(
                Locale.ROOT,
                "| %d | %d | %.3f | %.3f | %.3f | %.3f |",
                bytes / 1000,
                seed,
                none,
                lru,
                prefetch,
                oracle);
        assertTrue(none == 0 && prefetch > lru && prefetch < oracle && oracle < 1, line);
        return line;
    }

    @Test
    void prefetchingServesMoreValueThanLruAndLessThanOracle() {
        System.out.println(compare(500_000, 1, 6));
    }

    /** Prints the table of the design page. */
    public static void main(String[] args) {
        for (long bytes : new long[] {500_000, 1_500_000, 5_000_000}) {
            for (long seed = 1; seed <= 5; seed++) {
                System.out.println(compare(bytes, seed, 9));
            }
        }
    }
}
