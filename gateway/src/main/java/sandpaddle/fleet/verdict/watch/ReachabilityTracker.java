package sandpaddle.fleet.verdict.watch;

import java.util.HashMap;
import java.util.Map;
import sandpaddle.fleet.verdict.evidence.Finding;

/**
 * Tracks which engines answer this gateway: those outside its zone, only those inside, or none. No engine outside
 * counts as reachable after {@link #MIN_FAILURES} unanswered attempts at {@link #MIN_ENGINES} engines (or the only one)
 * since the last answer from outside. Memory: one time for each listed engine.
 */
final class ReachabilityTracker {
    private static final int MIN_FAILURES = 3;
    private static final int MIN_ENGINES = 2; // a single engine may itself be at fault

    private final long windowUs;
    /** Time of the last unanswered attempt by engine outside the zone, since the last answer from outside. */
    private final Map<String, Long> unansweredEngines = new HashMap<>();

    private int failures;
    private long lastOutsideAnswerUs = Long.MIN_VALUE / 2;
    private long lastInsideAnswerUs = Long.MIN_VALUE / 2;
    private long lastFailureUs = Long.MIN_VALUE / 2;
    private Finding finding;
    private long sinceUs;

    ReachabilityTracker(long windowUs) {
        this.windowUs = windowUs;
    }

    void answered(long nowUs, boolean isOutside) {
        if (isOutside) {
            lastOutsideAnswerUs = nowUs;
            failures = 0;
            unansweredEngines.clear();
        } else {
            lastInsideAnswerUs = nowUs;
        }
    }

    void unanswered(long nowUs, String engine, boolean isOutside) {
        if (isOutside) {
            failures++;
            lastFailureUs = nowUs;
            unansweredEngines.put(engine, nowUs);
        }
    }

    /**
     * Derives the finding.
     *
     * @param nowUs current time
     * @param enginesOutside number of listed engines outside the zone
     */
    void evaluate(long nowUs, int enginesOutside) {
        unansweredEngines.values().removeIf(unansweredUs -> nowUs - unansweredUs >= windowUs);
        if (unansweredEngines.isEmpty()) {
            failures = 0;
        }
        Finding next = null;
        if (failures >= MIN_FAILURES && unansweredEngines.size() >= Math.min(MIN_ENGINES, enginesOutside)) {
            next = nowUs - lastInsideAnswerUs < windowUs ? Finding.ONLY_OWN_ZONE_REACHABLE : Finding.NONE_REACHABLE;
        } else if (nowUs - lastOutsideAnswerUs < windowUs) {
            next = Finding.OUTSIDE_REACHABLE;
        }
        if (next != finding) {
            finding = next;
            sinceUs = nowUs;
        }
    }

    /** Returns the finding, or null without enough attempts. */
    Finding finding() {
        return finding;
    }

    long sinceUs() {
        return sinceUs;
    }

    long observedAtUs() {
        return finding == Finding.OUTSIDE_REACHABLE ? lastOutsideAnswerUs : lastFailureUs;
    }

    int strength() {
        return finding == Finding.OUTSIDE_REACHABLE ? 1 : failures;
    }
}
