package sandpaddle.lab;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Statistics kept by the load generator and the stand-ins. {@link RetryStormAudit} computes the same figures
 * independently from the events.
 */
public final class ClientStatistics {
    private static final long DRAIN_GRACE_US = 300_000; // the drain grace period plus an allowance for socket delays

    private record TrackedRequest(LabDeployment.RequestClass requestClass, long firstSentUs, boolean measured) {}

    /** Priority weight demanded and earned by the requests first sent in one second. */
    static final class SecondTotals {
        double demanded, earned;
    }

    private final Map<String, TrackedRequest> requests = new HashMap<>();
    final Map<String, Long> answers = new TreeMap<>();
    final TreeMap<Long, Map<String, Long>> answersBySecond = new TreeMap<>();
    final TreeMap<Long, SecondTotals> seconds = new TreeMap<>();
    final Histogram latency = new Histogram(60_000_000L, 3); // microseconds, of first answers with a result
    // by engine: when the feed first reported it as draining or gone
    final Map<String, Long> drainAnnouncedUs = new HashMap<>();
    private final Map<String, Integer> loadRuns = new HashMap<>();
    long attempts, duplicateAnswers, served, inTime, coldCrashes, drainViolations;
    long probes, engineConnections; // health checks received by engines, and connections open at them

    /** Records that an engine started a query. */
    void attemptStarted(String request, LabDeployment.RequestClass requestClass, String engine, long timestampUs) {
        if (!requestClass.repeatable()) {
            loadRuns.merge(request, 1, Integer::sum);
        }
        Long announcedUs = drainAnnouncedUs.get(engine);
        drainViolations += announcedUs != null && timestampUs > announcedUs + DRAIN_GRACE_US ? 1 : 0;
    }

    long loadsRunTwice() {
        return loadRuns.values().stream().filter(n -> n > 1).count();
    }

    void requestSent(String id, LabDeployment.RequestClass requestClass, long timestampUs, boolean measured) {
        requests.put(id, new TrackedRequest(requestClass, timestampUs, measured));
        if (measured) {
            seconds.computeIfAbsent(timestampUs / 1_000_000, s -> new SecondTotals()).demanded +=
                    requestClass.priorityWeight();
        }
    }

    void countAnswer(String outcome) {
        answers.merge(outcome, 1L, Long::sum);
    }

    /** Counts an answer by the second in which it arrived. */
    void countAnswerAt(long timestampUs, String outcome) {
        answersBySecond
                .computeIfAbsent(timestampUs / 1_000_000, s -> new TreeMap<>())
                .merge(outcome, 1L, Long::sum);
    }

    /**
     * Records that a request was served.
     *
     * @param durationUs time since its first attempt
     */
    void requestServed(String id, long durationUs, long latencyObjectiveUs, LabDeployment.RequestClass requestClass) {
        TrackedRequest a = requests.get(id);
        served++;
        inTime += durationUs <= latencyObjectiveUs ? 1 : 0;
        latency.recordValue(Math.min(durationUs, latency.getHighestTrackableValue()));
        if (a.measured) {
            seconds.get(a.firstSentUs / 1_000_000).earned += durationUs <= latencyObjectiveUs
                    ? requestClass.priorityWeight()
                    : requestClass.priorityWeight() * requestClass.lateWeightFactor();
        }
    }

    long requests() {
        return requests.size();
    }

    long count(String outcome) {
        return answers.getOrDefault(outcome, 0L);
    }
}
