package sandpaddle.fleet.verdict.watch;

import java.util.HashMap;
import java.util.Map;
import sandpaddle.fleet.verdict.evidence.Finding;

/**
 * Which engines answer this gateway: outside its hall, inside only, or none. Nothing outside: at least
 * {@link #MIN_FAILURES} attempts at two engines (one, where there is but one) got no answer since the last answer
 * from outside. Bound: a time for each engine of the list.
 */
final class ReachWatch {
    private static final int MIN_FAILURES = 3;
    private static final int MIN_ENGINES = 2; // one may just be dead

    private final long windowUs;
    private final Map<String, Long> unanswered = new HashMap<>(); // engines outside, since the last answer from there
    private int failures;
    private long outsideAt = Long.MIN_VALUE / 2;
    private long insideAt = Long.MIN_VALUE / 2;
    private long failedAt = Long.MIN_VALUE / 2;
    private Finding finding;
    private long sinceUs;

    ReachWatch(long windowUs) {
        this.windowUs = windowUs;
    }

    void answer(long now, boolean outside) {
        if (outside) {
            outsideAt = now;
            failures = 0;
            unanswered.clear();
        } else {
            insideAt = now;
        }
    }

    void noAnswer(long now, String engine, boolean outside) {
        if (outside) {
            failures++;
            failedAt = now;
            unanswered.put(engine, now);
        }
    }

    /** {@code outside}: the engines of the list that stand outside. */
    void judge(long now, int outside) {
        unanswered.values().removeIf(at -> now - at >= windowUs);
        if (unanswered.isEmpty()) {
            failures = 0;
        }
        Finding next = null;
        if (failures >= MIN_FAILURES && unanswered.size() >= Math.min(MIN_ENGINES, outside)) {
            next = now - insideAt < windowUs ? Finding.ONLY_INSIDE : Finding.NOTHING_ANSWERS;
        } else if (now - outsideAt < windowUs) {
            next = Finding.OUTSIDE_ANSWERS;
        }
        if (next != finding) {
            finding = next;
            sinceUs = now;
        }
    }

    /** Null: nothing can be said. */
    Finding finding() {
        return finding;
    }

    long sinceUs() {
        return sinceUs;
    }

    long madeUs() {
        return finding == Finding.OUTSIDE_ANSWERS ? outsideAt : failedAt;
    }

    int strength() {
        return finding == Finding.OUTSIDE_ANSWERS ? 1 : failures;
    }
}
