package sandpaddle.fleet.verdict.watch;

import java.util.Arrays;
import sandpaddle.fleet.verdict.evidence.Finding;

/**
 * The latest outcomes of one engine, at most {@link #CAPACITY} and none older than the window, and the finding
 * derived from them. At low traffic a single failure is a finding; the evaluator adds up the outcome counts of all
 * reporters. Hysteresis: a fault starts at half of the outcomes; it ends after {@link #RECOVERY_RUN} consecutive
 * successes or below a fifth.
 */
final class EngineOutcomes {
    static final int CAPACITY = 16;
    /** Fraction of faulty outcomes at which a fault starts. */
    private static final double FAULT_START_FRACTION = 0.5;
    /** Fraction of faulty outcomes below which a fault ends. */
    private static final double FAULT_END_FRACTION = 0.2;
    /** Minimum excess over the failure fraction of the other engines, which is not due to this engine. */
    private static final double MIN_EXCESS_FAILURE_FRACTION = 0.3;
    /** Multiple of the expected latency above which an answer is slow. */
    private static final double SLOW_FACTOR = 4;
    /** Minimum number of slow answers for a fault; one or two may be expensive queries. */
    private static final int MIN_SLOW_ANSWERS = 3;
    /** Number of consecutive successes that end a fault. */
    private static final int RECOVERY_RUN = 2;

    private enum OutcomeKind {
        HEALTHY,
        SLOW,
        FAILED,
        UNANSWERED
    }

    final ListedEngine listed;
    private final long windowUs;
    private final long firstListedUs;
    private final OutcomeKind[] outcomes = new OutcomeKind[CAPACITY];
    private final long[] endedUs = new long[CAPACITY];
    private final int[] recentCounts = new int[OutcomeKind.values().length];
    private int outcomeCount; // since the start; the latest CAPACITY are stored
    private long lastAnswerUs = Long.MIN_VALUE / 2;
    private Finding finding; // null: not enough outcomes
    private long sinceUs;
    private long observedAtUs;
    private int strength;

    /**
     * Creates an empty window.
     *
     * @param listed entry of the engine list
     * @param windowUs age up to which outcomes count
     * @param firstListedUs time when this engine process was first seen in the list
     */
    EngineOutcomes(ListedEngine listed, long windowUs, long firstListedUs) {
        this.listed = listed;
        this.windowUs = windowUs;
        this.firstListedUs = firstListedUs;
    }

    /** Returns the same outcomes with a changed list entry. */
    EngineOutcomes withListEntry(ListedEngine entry) {
        EngineOutcomes next = new EngineOutcomes(entry, windowUs, firstListedUs);
        System.arraycopy(outcomes, 0, next.outcomes, 0, CAPACITY);
        System.arraycopy(endedUs, 0, next.endedUs, 0, CAPACITY);
        next.outcomeCount = outcomeCount;
        next.lastAnswerUs = lastAnswerUs;
        next.finding = finding;
        next.sinceUs = sinceUs;
        next.observedAtUs = observedAtUs;
        next.strength = strength;
        return next;
    }

    /**
     * Adds an outcome. Two kinds are ignored: a missing answer if the engine answered other queries since the attempt
     * was sent, and a failed or unanswered attempt that was sent before this engine process was listed, that is, to its
     * predecessor.
     *
     * @param nowUs current time
     * @param outcome outcome of the attempt
     * @param latencyUs time since the attempt was sent
     * @param expectedUs expected latency, 0 if unknown
     */
    void add(long nowUs, AttemptOutcome outcome, long latencyUs, long expectedUs) {
        boolean isSlowQuery = outcome == AttemptOutcome.NO_ANSWER && lastAnswerUs > nowUs - latencyUs;
        boolean isOfPredecessor = outcome != AttemptOutcome.ANSWERED && nowUs - latencyUs < firstListedUs;
        if (isSlowQuery || isOfPredecessor) {
            return;
        }
        OutcomeKind kind = switch (outcome) {
            case ANSWERED ->
                expectedUs > 0 && latencyUs > SLOW_FACTOR * expectedUs ? OutcomeKind.SLOW : OutcomeKind.HEALTHY;
            case FAILED -> OutcomeKind.FAILED;
            case NO_ANSWER, UNREACHABLE -> OutcomeKind.UNANSWERED;
        };
        outcomes[outcomeCount % CAPACITY] = kind;
        endedUs[outcomeCount % CAPACITY] = nowUs;
        outcomeCount++;
        if (outcome.isAnswered()) {
            lastAnswerUs = nowUs;
        }
    }

    /** Counts the outcomes in the window. Has to be called before any count is read. */
    void countRecent(long nowUs) {
        Arrays.fill(recentCounts, 0);
        for (int i = 0; i < Math.min(outcomeCount, CAPACITY); i++) {
            if (nowUs - endedUs[i] < windowUs && (outcomes[i] != OutcomeKind.UNANSWERED || endedUs[i] > lastAnswerUs)) {
                recentCounts[outcomes[i].ordinal()]++;
            }
        }
    }

    private int recent(OutcomeKind kind) {
        return recentCounts[kind.ordinal()];
    }

    /** Returns the number of successful outcomes in the window since a time. */
    int successesSince(long nowUs, long fromUs) {
        int successes = 0;
        for (int i = 0; i < Math.min(outcomeCount, CAPACITY); i++) {
            if (outcomes[i] == OutcomeKind.HEALTHY && endedUs[i] >= fromUs && nowUs - endedUs[i] < windowUs) {
                successes++;
            }
        }
        return successes;
    }

    int failed() {
        return recent(OutcomeKind.FAILED);
    }

    int answers() {
        return recent(OutcomeKind.HEALTHY) + recent(OutcomeKind.SLOW) + failed();
    }

    private int trailingSuccesses() {
        int run = 0;
        while (run < Math.min(outcomeCount, CAPACITY)
                && outcomes[(outcomeCount - 1 - run) % CAPACITY] == OutcomeKind.HEALTHY) {
            run++;
        }
        return run;
    }

    /**
     * Derives the finding from the counts.
     *
     * @param nowUs current time
     * @param othersFailureFraction fraction of the other engines' answers that are failures
     */
    void evaluate(long nowUs, double othersFailureFraction) {
        int unanswered = recent(OutcomeKind.UNANSWERED);
        int failed = failed();
        int slow = recent(OutcomeKind.SLOW);
        int healthy = recent(OutcomeKind.HEALTHY);
        double minFraction = finding != null && finding.isEngineFault() ? FAULT_END_FRACTION : FAULT_START_FRACTION;
        int answers = healthy + slow + failed;
        Finding next = null;
        if (unanswered > 0 && (double) unanswered / (unanswered + answers) >= minFraction) {
            next = Finding.UNRESPONSIVE;
        } else if (finding != null && finding.isEngineFault() && trailingSuccesses() >= RECOVERY_RUN && healthy > 0) {
            next = Finding.HEALTHY;
            discardFaults();
        } else if (failed > 0
                && fraction(failed, answers)
                        >= Math.max(minFraction, othersFailureFraction + MIN_EXCESS_FAILURE_FRACTION)) {
            next = Finding.FAILING;
        } else if (slow >= MIN_SLOW_ANSWERS && fraction(slow, answers) >= minFraction) {
            next = Finding.SLOW;
        } else if (healthy > 0) {
            next = Finding.HEALTHY;
        }
        if (next != finding) {
            sinceUs = nowUs;
            finding = next;
        }
        if (next != null) {
            OutcomeKind kind = kindOf(next);
            strength = recent(kind);
            observedAtUs = latestUs(kind);
        }
    }

    /** Removes all outcomes but successes from the window, so that faults before a recovery do not count again. */
    private void discardFaults() {
        for (int i = 0; i < CAPACITY; i++) {
            endedUs[i] = outcomes[i] == OutcomeKind.HEALTHY ? endedUs[i] : Long.MIN_VALUE / 2;
        }
    }

    private static double fraction(int part, int total) {
        return total == 0 ? 0 : (double) part / total;
    }

    private static OutcomeKind kindOf(Finding finding) {
        return switch (finding) {
            case UNRESPONSIVE -> OutcomeKind.UNANSWERED;
            case FAILING -> OutcomeKind.FAILED;
            case SLOW -> OutcomeKind.SLOW;
            default -> OutcomeKind.HEALTHY;
        };
    }

    private long latestUs(OutcomeKind kind) {
        long latest = Long.MIN_VALUE / 2;
        for (int i = 0; i < Math.min(outcomeCount, CAPACITY); i++) {
            latest = outcomes[i] == kind ? Math.max(latest, endedUs[i]) : latest;
        }
        return latest;
    }

    /** Returns the finding, or null without enough outcomes. */
    Finding finding() {
        return finding;
    }

    long sinceUs() {
        return sinceUs;
    }

    long observedAtUs() {
        return observedAtUs;
    }

    int strength() {
        return strength;
    }
}
