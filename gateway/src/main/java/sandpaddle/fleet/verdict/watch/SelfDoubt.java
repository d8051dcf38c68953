package sandpaddle.fleet.verdict.watch;

import sandpaddle.fleet.verdict.evidence.Finding;

/**
 * A gateway doubts itself before it accuses (Lifeguard, Dadgar et al., 2018: the local health multiplier). A score from
 * 0 to {@link #MAX_SCORE} grows with each timer that runs late and falls with time on time; while it is not 0, what
 * the gateway finds of engines has no weight. So it is while most engines look bad to it at once.
 */
final class SelfDoubt {
    static final int MAX_SCORE = 8;
    private static final int LATE_TICKS = 4; // a tick this many late: the process stood still
    private static final long EASE_US = 500_000; // us on time that take one from the score
    private static final long A_SECOND_US = 1_000_000; // each second stood still adds one more
    private static final int MIN_ENGINES = 2; // heard of lately, before "most" means anything

    private final long tickUs;
    private long tickedAt;
    private long easedAt;
    private int score;
    private boolean mostBad;
    private long mostBadAt;

    SelfDoubt(long tickUs, long now) {
        this.tickUs = tickUs;
        tickedAt = now;
        easedAt = now;
    }

    /** Whether the last tick is so long ago that what seems late may be this gateway's own delay. */
    boolean standsStill(long now) {
        return now - tickedAt > LATE_TICKS * tickUs;
    }

    void tick(long now, int engines, int bad) {
        if (standsStill(now)) {
            score = (int) Math.min(MAX_SCORE, score + 1 + (now - tickedAt) / A_SECOND_US);
            easedAt = now;
        } else if (score > 0 && now - easedAt >= EASE_US) {
            score--;
            easedAt = now;
        }
        tickedAt = now;
        if (engines >= MIN_ENGINES && 2 * bad > engines) {
            mostBad = true;
            mostBadAt = now;
        } else if (now - mostBadAt >= EASE_US) {
            mostBad = false;
        }
    }

    int score() {
        return score;
    }

    Finding finding() {
        if (score > 0) {
            return Finding.STALLED;
        }
        return mostBad ? Finding.MOST_BAD : Finding.WELL;
    }
}
