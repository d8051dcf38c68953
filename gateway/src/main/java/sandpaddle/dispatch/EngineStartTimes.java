package sandpaddle.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sandpaddle.decision.Micros;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineStatus;

/**
 * Estimates by the event loop's clock when engines started. The endpoint list states start times by the clock of the
 * discovery service. This process reads the wall clock once, at its start, so a later step does not matter; but the
 * clock may be wrong by then. Two observations bound the error. No engine is listed before it has started, so the
 * latest start received is a lower bound on the discovery service's time. And a start that a change of the list
 * states is recent: the wall clock counts only if one was at most {@link #MAX_CLOCK_ERROR} old by it, since it is then
 * ahead by no more. Otherwise the latest engine counts as started when it was listed, the others in proportion.
 *
 * <p>Bounded by the endpoint list. Confined to the event loop's thread.
 */
final class EngineStartTimes {
    /**
     * Greatest error by which an engine may count as older than it is. Slow start uses half of what a starting engine
     * bears, which covers it.
     */
    private static final Duration MAX_CLOCK_ERROR = Duration.ofSeconds(5);

    /** How long an observation counts: after that two clocks may have drifted apart, or one may have been set. */
    private static final Duration OBSERVATION_LIFETIME = Duration.ofMinutes(1);

    /** Greatest plausible time from an engine's start until a change of the list states it. */
    private static final Duration MAX_LISTING_DELAY = Duration.ofSeconds(30);

    /** An engine's start by the clock of the discovery service, and the estimate of it. */
    private record Start(long listedUs, Instant estimated) {}

    private final Map<String, Start> starts = new HashMap<>();
    private long referenceUs; // a time of the discovery service that had passed at referenceAt
    private Instant referenceAt = Instant.MIN;
    private final Duration wallClockOffset;
    private Instant wallClockCheckedAt = Instant.MIN;

    /**
     * Creates an estimator.
     *
     * @param wallClock the time of the wall clock at {@code now}
     * @param now the event loop's time
     */
    EngineStartTimes(Instant wallClock, Instant now) {
        wallClockOffset = Duration.between(now, wallClock);
    }

    /**
     * Returns the entries of a list with estimated start times. An engine keeps its estimate until it is removed or
     * starts anew.
     *
     * @param entries the entries as listed
     * @param isFullList whether engines that are not among the entries are removed
     * @param now when the list was received
     */
    List<EngineEntry> estimate(List<EngineEntry> entries, boolean isFullList, Instant now) {
        if (isFullList) {
            Set<String> listed =
                    Set.copyOf(entries.stream().map(EngineEntry::id).toList());
            starts.keySet().retainAll(listed);
        }
        List<EngineEntry> started = entries.stream().filter(this::isStart).toList();
        if (!started.isEmpty()) {
            updateReference(started, isFullList, now);
            checkWallClock(started, isFullList, now);
        }
        started.forEach(entry -> starts.put(entry.id(), new Start(entry.listedStartUs(), estimate(entry, now))));
        return entries.stream().map(this::withEstimate).toList();
    }

    private boolean isStart(EngineEntry entry) {
        Start known = starts.get(entry.id());
        return entry.listedStartUs() > 0 && (known == null || known.listedUs != entry.listedStartUs());
    }

    private static long latestStartUs(List<EngineEntry> started) {
        return started.stream().mapToLong(EngineEntry::listedStartUs).max().orElse(0);
    }

    private void updateReference(List<EngineEntry> started, boolean isFullList, Instant now) {
        long latestUs = latestStartUs(started);
        boolean isExpired = referenceAt.isBefore(now.minus(OBSERVATION_LIFETIME));
        boolean isLater = isExpired || latestUs >= referenceTimeUs(now);
        boolean isTooOld = !isFullList && !isLater && referenceTimeUs(now) - latestUs > Micros.of(MAX_LISTING_DELAY);
        if (isLater || isTooOld) {
            referenceUs = latestUs;
            referenceAt = now;
        }
    }

    private void checkWallClock(List<EngineEntry> started, boolean isFullList, Instant now) {
        boolean isRecent = wallClockUs(now) - latestStartUs(started) <= Micros.of(MAX_CLOCK_ERROR);
        if (isRecent && !isFullList) {
            wallClockCheckedAt = now;
        }
    }

    private long wallClockUs(Instant now) {
        return Micros.of(now.plus(wallClockOffset));
    }

    private long referenceTimeUs(Instant now) {
        return referenceUs + ChronoUnit.MICROS.between(referenceAt, now);
    }

    private long discoveryTimeUs(Instant now) {
        boolean isWallClockUsable = !wallClockCheckedAt.isBefore(now.minus(OBSERVATION_LIFETIME));
        return isWallClockUsable ? Math.max(wallClockUs(now), referenceTimeUs(now)) : referenceTimeUs(now);
    }

    private Instant estimate(EngineEntry entry, Instant now) {
        long ageUs = Math.max(0, discoveryTimeUs(now) - entry.listedStartUs());
        return now.minus(ageUs, ChronoUnit.MICROS);
    }

    private EngineEntry withEstimate(EngineEntry entry) {
        Start start = starts.get(entry.id());
        if (entry.status() == EngineStatus.REMOVED) {
            starts.remove(entry.id());
        }
        return start == null || start.listedUs != entry.listedStartUs()
                ? entry.withStartedUs(0)
                : entry.withStartedUs(Math.max(0, Micros.of(start.estimated)));
    }
}
