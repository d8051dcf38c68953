package sandpaddle.fleet.outage.plan;

import java.util.List;

/**
 * A prefetch plan.
 *
 * @param fetches fetches by start time
 * @param expectedValue expected value of the fetched answers and of the stored copies together
 * @param omittedCount number of candidates that have a marginal value but are not fetched
 */
public record Plan(List<Fetch> fetches, double expectedValue, int omittedCount) {
    /** The plan without fetches. */
    public static final Plan EMPTY = new Plan(List.of(), 0, 0);

    /** Copies the list. */
    public Plan {
        fetches = List.copyOf(fetches);
    }
}
