package sandpaddle.fleet.outage.plan;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import sandpaddle.fleet.content.Candidate;
import sandpaddle.fleet.outage.schedule.TimeRange;

/**
 * Chooses the answers to prefetch for an outage and schedules their fetches.
 *
 * <p>The choice is greedy by surrogate density (Pirkul 1987): marginal value divided by the sum of the fractions of the
 * byte budget and of the work budget that a candidate takes. If the single best candidate has more value than all of
 * those together, it is chosen alone. The value is at least a quarter of the optimum, as the design page proves, and
 * close to it if each candidate takes little of the budgets. Fetches are scheduled backwards by maximum age from a
 * deadline before the expected loss of the link: the answers with the shortest maximum age are fetched last, so that
 * they are youngest when the link is lost. O(n log n) for n candidates.
 */
public final class Planner {
    /** Largest number of candidates in one plan; the rest of the list is ignored. */
    public static final int MAX_CANDIDATES = 50_000;

    /** Demand forecast for statements. */
    public interface Forecast {
        /** Returns the number of requests of a statement expected in a time range (wall clock, ms). */
        double demand(long fingerprint, TimeRange range);
    }

    /**
     * Smallest marginal value of a fetch as a fraction of the value of a fresh answer: a stored copy that is nearly as
     * good is not fetched again, since the work is better spent on other answers.
     */
    private static final double MIN_MARGINAL_FRACTION = 0.05;

    private record Choice(Candidate candidate, double marginalValue, double density) {}

    private Planner() {}

    /**
     * Plans the prefetch for an expected outage.
     *
     * @param wallMs wall-clock time in milliseconds
     * @param expectedOutage from the earliest expected loss to the expected return
     * @param candidates answers that may be fetched
     * @param budget limits of the prefetch
     * @param forecast demand forecast
     */
    public static Plan plan(
            long wallMs,
            TimeRange expectedOutage,
            List<Candidate> candidates,
            PrefetchBudget budget,
            Forecast forecast) {
        long deadlineMs = expectedOutage.startMs() - budget.safetyMs();
        boolean isDelayed = deadlineMs - wallMs < budget.delayedOnsetMs();
        TimeRange outage = isDelayed
                ? new TimeRange(
                        Math.max(expectedOutage.startMs(), wallMs), Math.max(expectedOutage.endMs(), wallMs + 1))
                : expectedOutage;
        double workUs = budget.workUs(isDelayed ? budget.delayedOnsetMs() : deadlineMs - wallMs);
        double storedValueSum = 0;
        long bytes = budget.bytes();
        List<Choice> eligible = new ArrayList<>();
        for (Candidate candidate : candidates.subList(0, Math.min(MAX_CANDIDATES, candidates.size()))) {
            double storedValue = storedValue(candidate, outage, forecast);
            storedValueSum += storedValue;
            // a stored copy that is still valid in the outage keeps its bytes
            bytes -= storedValue > 0 ? candidate.size() : 0;
            double freshValue = value(candidate, isDelayed ? wallMs : deadlineMs, outage, forecast);
            if (freshValue - storedValue > MIN_MARGINAL_FRACTION * freshValue) {
                eligible.add(new Choice(candidate, freshValue - storedValue, 0));
            }
        }
        List<Choice> chosen = choose(eligible, Math.max(0, bytes), workUs, budget);
        List<Fetch> fetches = new ArrayList<>();
        double plannedValue = isDelayed
                ? scheduleImmediately(chosen, wallMs, fetches)
                : scheduleBackwards(chosen, deadlineMs, outage, budget, forecast, fetches);
        return new Plan(fetches, storedValueSum + plannedValue, eligible.size() - fetches.size());
    }

    /** Returns the value of the stored copy, 0 if there is none. */
    private static double storedValue(Candidate candidate, TimeRange outage, Forecast forecast) {
        return candidate.cachedRequestedAtMs() < 0
                ? 0
                : value(candidate, candidate.cachedRequestedAtMs(), outage, forecast);
    }

    /**
     * Schedules all fetches at once, by marginal value per engine work and regardless of maximum age, since the link
     * may be lost at any moment.
     */
    private static double scheduleImmediately(List<Choice> chosen, long wallMs, List<Fetch> fetches) {
        List<Choice> byDensity = new ArrayList<>(chosen);
        byDensity.sort(Comparator.comparingDouble(
                        (Choice choice) -> -choice.marginalValue / Math.max(1, choice.candidate.workUs()))
                .thenComparing(choice -> choice.candidate.key().id()));
        byDensity.forEach(choice -> fetches.add(new Fetch(choice.candidate, wallMs, choice.marginalValue)));
        return chosen.stream().mapToDouble(Choice::marginalValue).sum();
    }

    /**
     * Returns the value of an answer fetched at a time: the requests expected in the outage until its maximum age is
     * reached, times the priority weight.
     */
    static double value(Candidate candidate, long fetchedAtMs, TimeRange expectedOutage, Forecast forecast) {
        long endMs = Math.min(expectedOutage.endMs(), fetchedAtMs + candidate.maxAgeMs());
        return endMs <= expectedOutage.startMs()
                ? 0
                : candidate.priorityWeight()
                        * forecast.demand(candidate.fingerprint(), new TimeRange(expectedOutage.startMs(), endMs));
    }

    /** Returns the bytes that a fetch adds to the store; a refreshed copy replaces the stored one. */
    private static long additionalBytes(Candidate candidate) {
        return candidate.cachedRequestedAtMs() < 0 ? candidate.size() : 0;
    }

    private static List<Choice> choose(List<Choice> eligible, long bytes, double workUs, PrefetchBudget budget) {
        List<Choice> byDensity = new ArrayList<>();
        Choice best = null;
        for (Choice choice : eligible) {
            long size = additionalBytes(choice.candidate);
            if (size > bytes || choice.candidate.workUs() > workUs) {
                continue;
            }
            double fractionSum = fraction(size, bytes) + fraction(choice.candidate.workUs(), workUs);
            byDensity.add(new Choice(
                    choice.candidate, choice.marginalValue, choice.marginalValue / Math.max(fractionSum, 1e-12)));
            best = best == null || choice.marginalValue > best.marginalValue ? choice : best;
        }
        // deterministic order, so that replanning alone changes nothing
        byDensity.sort(Comparator.comparingDouble(Choice::density)
                .reversed()
                .thenComparing(choice -> choice.candidate.key().id()));
        List<Choice> chosen = new ArrayList<>();
        double totalValue = 0;
        long remainingBytes = bytes;
        double remainingWorkUs = workUs;
        for (Choice choice : byDensity) {
            if (additionalBytes(choice.candidate) <= remainingBytes && choice.candidate.workUs() <= remainingWorkUs) {
                remainingBytes -= additionalBytes(choice.candidate);
                remainingWorkUs -= choice.candidate.workUs();
                totalValue += choice.marginalValue;
                chosen.add(choice);
            }
        }
        return best != null && best.marginalValue > totalValue ? List.of(best) : chosen;
    }

    private static double fraction(double required, double budget) {
        return required <= 0 ? 0 : required / budget;
    }

    /**
     * Schedules the chosen candidates backwards from the deadline and returns their marginal value at their start
     * times. Candidates without marginal value at their start time are dropped.
     */
    private static double scheduleBackwards(
            List<Choice> chosen,
            long deadlineMs,
            TimeRange expectedOutage,
            PrefetchBudget budget,
            Forecast forecast,
            List<Fetch> fetches) {
        List<Choice> byMaxAge = new ArrayList<>(chosen);
        byMaxAge.sort(Comparator.comparingLong((Choice choice) -> choice.candidate.maxAgeMs())
                .thenComparing(choice -> choice.candidate.key().id()));
        double laterWorkUs = 0;
        double plannedValue = 0;
        for (Choice choice : byMaxAge) {
            long startAtMs = deadlineMs - budget.durationMs(laterWorkUs + choice.candidate.workUs());
            double marginalValue = value(choice.candidate, startAtMs, expectedOutage, forecast)
                    - storedValue(choice.candidate, expectedOutage, forecast);
            if (marginalValue > 0) {
                laterWorkUs += choice.candidate.workUs();
                plannedValue += marginalValue;
                fetches.add(new Fetch(choice.candidate, startAtMs, marginalValue));
            }
        }
        Collections.reverse(fetches);
        return plannedValue;
    }
}
