package sandpaddle.fleet.outage.recovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sandpaddle.fleet.content.Candidate;
import sandpaddle.fleet.content.ResultId;
import sandpaddle.fleet.outage.plan.Fetch;
import sandpaddle.fleet.outage.plan.FetchLimit;
import sandpaddle.fleet.outage.plan.Plan;
import sandpaddle.fleet.outage.plan.PlanExecutor;

/**
 * Fetches the stored answers that clients received in an outage again after it, by requests served per engine work and
 * at the rate of {@link RecoveryRamp#refreshLimit}. At most {@value #MAX_ANSWERS} answers are recorded; any other is
 * refreshed by its next request. Not thread-safe.
 */
public final class AnswerRefresher {
    static final int MAX_ANSWERS = 10_000;

    private record ServedAnswer(Candidate candidate, long servedCount) {
        double density() {
            return servedCount * candidate.priorityWeight() / Math.max(1, candidate.workUs());
        }
    }

    private final Map<ResultId, ServedAnswer> servedAnswers = new LinkedHashMap<>();
    private final PlanExecutor planExecutor = new PlanExecutor();

    /** Records that a stored answer was served to a client. */
    public void recordServed(Candidate candidate) {
        ServedAnswer previous = servedAnswers.get(candidate.key().id());
        if (previous != null || servedAnswers.size() < MAX_ANSWERS) {
            servedAnswers.put(
                    candidate.key().id(), new ServedAnswer(candidate, previous == null ? 1 : previous.servedCount + 1));
        }
    }

    /** Records that an engine answered the statement, so that a refresh that has not started is not needed. */
    public void recordFreshAnswer(ResultId id) {
        servedAnswers.remove(id);
    }

    /** Starts refreshing the recorded answers. Call it once for each return of the link. */
    public void start() {
        List<ServedAnswer> byDensity = new ArrayList<>(servedAnswers.values());
        byDensity.sort((first, second) -> Double.compare(second.density(), first.density()));
        planExecutor.setPlan(new Plan(
                byDensity.stream()
                        .map(answer -> new Fetch(answer.candidate, Long.MIN_VALUE, answer.servedCount))
                        .toList(),
                0,
                0));
    }

    /** Returns the fetches to start now, without those that a client's request has made unnecessary. */
    public List<Fetch> startDueFetches(long nowUs, FetchLimit limit) {
        List<Fetch> started = new ArrayList<>();
        for (Fetch fetch : planExecutor.startDueFetches(nowUs, 0, limit)) {
            ResultId id = fetch.candidate().key().id();
            if (servedAnswers.containsKey(id)) {
                started.add(fetch);
            } else {
                planExecutor.fetchEnded(id, true);
            }
        }
        return started;
    }

    /** Records the end of a fetch. */
    public void fetchEnded(ResultId id, boolean stored) {
        planExecutor.fetchEnded(id, stored);
        if (stored) {
            servedAnswers.remove(id);
        }
    }

    /** Stops refreshing because the link was lost again. The remaining answers stay recorded for the next return. */
    public void stop() {
        planExecutor.stop();
    }

    /** Returns the number of queued fetches. */
    public int waitingCount() {
        return planExecutor.waitingCount();
    }
}
