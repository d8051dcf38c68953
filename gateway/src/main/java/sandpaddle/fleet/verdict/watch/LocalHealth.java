package sandpaddle.fleet.verdict.watch;

import sandpaddle.fleet.verdict.evidence.Finding;

/**
 * Self-suspicion of a gateway before it accuses engines, like the local health multiplier of Lifeguard (Dadgar et al.,
 * 2018). A score from 0 to {@link #MAX_SCORE} increases with each late tick and decreases with time on schedule. While
 * it is above 0, or while most engines seem faulty at once, the gateway's evidence on engines is ignored.
 */
final class LocalHealth {
    static final int MAX_SCORE = 8;
    /** Number of tick intervals without a tick after which the process counts as stalled. */
    private static final int STALL_TICKS = 4;
    /** Time on schedule that decrements the score. */
    private static final long RECOVERY_STEP_US = 500_000;
    /** Further time stalled that increments the score once more. */
    private static final long SCORE_STEP_US = 1_000_000;
    /** Minimum number of engines with a finding, since "most" of a single engine means nothing. */
    private static final int MIN_ENGINES = 2;

    private final long tickIntervalUs;
    private long lastTickUs;
    private long lastRecoveryStepUs;
    private int score;
    private boolean mostEnginesFailing;
    private long mostEnginesFailingUs;

    LocalHealth(long tickIntervalUs, long nowUs) {
        this.tickIntervalUs = tickIntervalUs;
        lastTickUs = nowUs;
        lastRecoveryStepUs = nowUs;
    }

    /** Returns whether the last tick is so long ago that late outcomes may be due to this gateway. */
    boolean isStalled(long nowUs) {
        return nowUs - lastTickUs > STALL_TICKS * tickIntervalUs;
    }

    /**
     * Updates the score and whether most engines seem faulty.
     *
     * @param nowUs current time
     * @param enginesWithFinding number of engines with a finding
     * @param faultyEngines number of engines with a fault
     */
    void tick(long nowUs, int enginesWithFinding, int faultyEngines) {
        if (isStalled(nowUs)) {
            score = (int) Math.min(MAX_SCORE, score + 1 + (nowUs - lastTickUs) / SCORE_STEP_US);
            lastRecoveryStepUs = nowUs;
        } else if (score > 0 && nowUs - lastRecoveryStepUs >= RECOVERY_STEP_US) {
            score--;
            lastRecoveryStepUs = nowUs;
        }
        lastTickUs = nowUs;
        if (enginesWithFinding >= MIN_ENGINES && 2 * faultyEngines > enginesWithFinding) {
            mostEnginesFailing = true;
            mostEnginesFailingUs = nowUs;
        } else if (nowUs - mostEnginesFailingUs >= RECOVERY_STEP_US) {
            mostEnginesFailing = false;
        }
    }

    int score() {
        return score;
    }

    Finding finding() {
        if (score > 0) {
            return Finding.STALLED;
        }
        return mostEnginesFailing ? Finding.MOST_ENGINES_FAILING : Finding.SELF_HEALTHY;
    }
}
