package sandpaddle.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Connections at engines against the budget of the pool policy, counted at the engines. While a proxy has yet to close
 * a connection, its replacement may already be open for one turn of the lab's event loop: an excess counts only if it
 * lasts {@value #MIN_EXCESS_DURATION_US} us.
 */
final class PoolAudit {
    static final long MIN_EXCESS_DURATION_US = 100_000;

    private record BudgetChange(long each, long setUs, long effectiveUs) {}

    private final List<BudgetChange> budgets = new ArrayList<>();
    private final Map<String, Long> open = new HashMap<>();
    private final Map<String, Long> excessSince = new HashMap<>();
    private final Map<String, Long> currentExcess = new HashMap<>();
    private long maxExcess;
    private long maxOpen;

    /**
     * Records a budget.
     *
     * @param each connections that an engine may have
     * @param effectiveUs from when the budget is in effect for certain
     */
    void budget(long each, long timestampUs, long effectiveUs) {
        budgets.add(new BudgetChange(each, timestampUs, effectiveUs));
    }

    /** The largest budget that may be in effect. */
    private long allowed(long timestampUs) {
        long max = 0;
        for (int i = budgets.size() - 1; i >= 0; i--) {
            max = Math.max(max, budgets.get(i).each);
            if (budgets.get(i).effectiveUs <= timestampUs) {
                break;
            }
        }
        return max;
    }

    void connections(String engine, long count, long timestampUs) {
        recordLastingExcess(engine, timestampUs);
        open.put(engine, count);
        maxOpen = Math.max(maxOpen, count);
        long over = budgets.isEmpty() ? 0 : count - allowed(timestampUs);
        if (over > 0) {
            excessSince.putIfAbsent(engine, timestampUs);
            currentExcess.merge(engine, over, Math::min);
        } else {
            excessSince.remove(engine);
            currentExcess.remove(engine);
        }
    }

    /** Records the excess up to now, if it lasted long enough. */
    private void recordLastingExcess(String engine, long timestampUs) {
        Long since = excessSince.get(engine);
        if (since != null && timestampUs - since >= MIN_EXCESS_DURATION_US) {
            maxExcess = Math.max(maxExcess, currentExcess.get(engine));
        }
    }

    /** Ends the audit. */
    void end(long timestampUs) {
        List.copyOf(open.keySet()).forEach(e -> connections(e, open.get(e), timestampUs));
    }

    void figures(Map<String, Object> figures) {
        figures.put("poolOverMost", maxExcess);
        figures.put("poolOpenMost", maxOpen);
    }
}
