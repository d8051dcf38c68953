package sandpaddle.fleet.outage.plan;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import sandpaddle.fleet.content.Candidate;
import sandpaddle.fleet.outage.schedule.TimeRange;

/**
 * Chooses what to store for an outage and when to fetch it. Chosen is by worth for what it takes of both budgets
 * (greedy by surrogate density, Pirkul 1987; size and work are each a part of their budget, and summed), or the one
 * best candidate where that is worth more: at least a quarter of the best choice, as the design page proves, and near
 * it where each takes little. Fetched is backwards from the loss: what may be kept shortest comes last, so that it is
 * youngest when the loss comes. O(n log n) for n candidates.
 */
public final class Planner {
    /** Candidates looked at in one plan; what is beyond is left out. */
    public static final int MAX_CANDIDATES = 50_000;

    /** Asks of one statement expected in a time (wall, ms). */
    public interface Forecast {
        double asks(long fingerprint, TimeRange span);
    }

    /** A copy at hand that is nearly as good as a fresh one is not fetched again: work is better spent on others. */
    private static final double MIN_GAIN = 0.05;

    private record Choice(Candidate what, double gain, double density) {}

    private Planner() {}

    /** Plans at {@code wall} (ms) for an outage from {@code loss.from()}, the earliest loss, to {@code loss.to()}. */
    public static Plan plan(long wall, TimeRange loss, List<Candidate> candidates, Budget budget, Forecast forecast) {
        long until = loss.from() - budget.safetyMs();
        boolean isLate = until - wall < budget.lateMs();
        TimeRange outage = isLate ? new TimeRange(Math.max(loss.from(), wall), Math.max(loss.to(), wall + 1)) : loss;
        double work = budget.work(isLate ? budget.lateMs() : until - wall);
        double atHand = 0;
        long bytes = budget.bytes();
        List<Choice> all = new ArrayList<>();
        for (Candidate c : candidates.subList(0, Math.min(MAX_CANDIDATES, candidates.size()))) {
            double has = has(c, outage, forecast);
            atHand += has;
            bytes -= has > 0 ? c.size() : 0; // a copy that still serves keeps its place
            double fresh = worth(c, isLate ? wall : until, outage, forecast);
            if (fresh - has > MIN_GAIN * fresh) {
                all.add(new Choice(c, fresh - has, 0));
            }
        }
        List<Choice> chosen = choose(all, Math.max(0, bytes), work, budget);
        List<Fetch> fetches = new ArrayList<>();
        double gained = isLate ? atOnce(chosen, wall, fetches) : lay(chosen, until, outage, budget, forecast, fetches);
        return new Plan(fetches, atHand + gained, all.size() - fetches.size());
    }

    private static double has(Candidate c, TimeRange outage, Forecast forecast) {
        return c.cachedRequestedAtMs() < 0 ? 0 : worth(c, c.cachedRequestedAtMs(), outage, forecast);
    }

    /** The loss may come at any moment: what gains most for its work goes first, whatever its age may be. */
    private static double atOnce(List<Choice> chosen, long wall, List<Fetch> fetches) {
        List<Choice> densest = new ArrayList<>(chosen);
        densest.sort(Comparator.comparingDouble((Choice c) -> -c.gain / Math.max(1, c.what.workUs()))
                .thenComparing(c -> c.what.key().id()));
        densest.forEach(c -> fetches.add(new Fetch(c.what, wall, c.gain)));
        return chosen.stream().mapToDouble(Choice::gain).sum();
    }

    /** What a copy asked for at a time gives in the outage: asks that find it no older than it may be. */
    static double worth(Candidate c, long askedAt, TimeRange loss, Forecast forecast) {
        long to = Math.min(loss.to(), askedAt + c.maxAgeMs());
        return to <= loss.from()
                ? 0
                : c.priorityWeight() * forecast.asks(c.fingerprint(), new TimeRange(loss.from(), to));
    }

    /** A refresh of a copy at hand takes no bytes beyond those that the copy has. */
    private static long newBytes(Candidate c) {
        return c.cachedRequestedAtMs() < 0 ? c.size() : 0;
    }

    private static List<Choice> choose(List<Choice> all, long bytes, double work, Budget budget) {
        List<Choice> byDensity = new ArrayList<>();
        Choice best = null;
        for (Choice c : all) {
            long size = newBytes(c.what);
            if (size > bytes || c.what.workUs() > work) {
                continue;
            }
            double part = part(size, bytes) + part(c.what.workUs(), work);
            byDensity.add(new Choice(c.what, c.gain, c.gain / Math.max(part, 1e-12)));
            best = best == null || c.gain > best.gain ? c : best;
        }
        byDensity.sort(Comparator.comparingDouble(Choice::density)
                .reversed()
                .thenComparing(c -> c.what.key().id())); // a fixed order, so that replanning changes nothing by itself
        List<Choice> chosen = new ArrayList<>();
        double sum = 0;
        long freeBytes = bytes;
        double freeWork = work;
        for (Choice c : byDensity) {
            if (newBytes(c.what) <= freeBytes && c.what.workUs() <= freeWork) {
                freeBytes -= newBytes(c.what);
                freeWork -= c.what.workUs();
                sum += c.gain;
                chosen.add(c);
            }
        }
        return best != null && best.gain > sum ? List.of(best) : chosen;
    }

    private static double part(double taken, double budget) {
        return taken <= 0 ? 0 : taken / budget;
    }

    /** Lays the chosen out backwards from {@code until}; returns the gain of what is worth fetching at its time. */
    private static double lay(
            List<Choice> chosen, long until, TimeRange loss, Budget budget, Forecast forecast, List<Fetch> fetches) {
        List<Choice> shortestFirst = new ArrayList<>(chosen);
        shortestFirst.sort(Comparator.comparingLong((Choice c) -> c.what.maxAgeMs())
                .thenComparing(c -> c.what.key().id()));
        double workAfter = 0;
        double gained = 0;
        for (Choice c : shortestFirst) {
            long begin = until - budget.millis(workAfter + c.what.workUs());
            double gain = worth(c.what, begin, loss, forecast) - has(c.what, loss, forecast);
            if (gain > 0) {
                workAfter += c.what.workUs();
                gained += gain;
                fetches.add(new Fetch(c.what, begin, gain));
            }
        }
        Collections.reverse(fetches);
        return gained;
    }
}
