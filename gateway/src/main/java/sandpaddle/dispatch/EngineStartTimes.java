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
 * discovery service, which no clock of this machine is compared with: the wall clock may be wrong. No engine is listed
 * before it has started, so the latest start that was received is a lower bound on that service's time. The estimate is
 * never earlier than the true start, so that an engine is not given more work than its slow start allows; it is late by
 * at most the least delay with which a start was received.
 *
 * <p>Bounded by the endpoint list. Confined to the event loop's thread.
 */
final class EngineStartTimes {
    /** How long the bound counts: after that two clocks may have drifted apart, or one may have been set. */
    private static final Duration REFERENCE_LIFETIME = Duration.ofMinutes(1);

    /** Greatest plausible time from an engine's start until a change of the list states it. */
    private static final Duration MAX_LISTING_DELAY = Duration.ofSeconds(30);

    /** An engine's start by the clock of the discovery service, and the estimate of it. */
    private record Start(long listedUs, Instant estimated) {}

    private final Map<String, Start> starts = new HashMap<>();
    private long referenceUs; // a time of the discovery service that had passed at referenceAt
    private Instant referenceAt = Instant.MIN;

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
        updateReference(started, isFullList, now);
        started.forEach(entry -> starts.put(entry.id(), new Start(entry.listedStartUs(), estimate(entry, now))));
        return entries.stream().map(this::withEstimate).toList();
    }

    private boolean isStart(EngineEntry entry) {
        Start known = starts.get(entry.id());
        return entry.listedStartUs() > 0 && (known == null || known.listedUs != entry.listedStartUs());
    }

    private void updateReference(List<EngineEntry> started, boolean isFullList, Instant now) {
        if (started.isEmpty()) {
            return;
        }
        long latestUs =
                started.stream().mapToLong(EngineEntry::listedStartUs).max().getAsLong();
        boolean isExpired = referenceAt.isBefore(now.minus(REFERENCE_LIFETIME));
        boolean isLater = isExpired || latestUs >= discoveryTimeUs(now);
        boolean isTooOld = !isFullList && !isLater && discoveryTimeUs(now) - latestUs > Micros.of(MAX_LISTING_DELAY);
        if (isLater || isTooOld) {
            referenceUs = latestUs;
            referenceAt = now;
        }
    }

    private long discoveryTimeUs(Instant now) {
        return referenceUs + ChronoUnit.MICROS.between(referenceAt, now);
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
