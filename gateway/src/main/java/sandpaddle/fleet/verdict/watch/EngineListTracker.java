package sandpaddle.fleet.verdict.watch;

import java.util.Map;
import java.util.TreeMap;
import sandpaddle.fleet.verdict.evidence.Finding;
import sandpaddle.fleet.verdict.evidence.Subject;
import sandpaddle.fleet.verdict.evidence.Topic;

/**
 * Reports changes of the engine list: starts, drains and ends of drains. Each is repeated for {@code
 * announceDurationUs}, for gateways that receive the list later. Starts in the first list are not reported. Memory:
 * three times for each listed engine.
 */
final class EngineListTracker {
    private final long announceDurationUs;
    private final Map<String, Long> startSeenUs = new TreeMap<>();
    private final Map<String, Long> drainSeenUs = new TreeMap<>();
    private final Map<String, Long> drainEndedUs = new TreeMap<>();

    EngineListTracker(long announceDurationUs) {
        this.announceDurationUs = announceDurationUs;
    }

    /**
     * Records the changes of an engine's entry.
     *
     * @param nowUs current time
     * @param previous the engine's previous entry, or null if it is new
     * @param entry the new entry
     * @param isFirstList whether this is the first engine list
     */
    void engineListed(long nowUs, ListedEngine previous, ListedEngine entry, boolean isFirstList) {
        boolean isStarted = previous == null || previous.startedUs() != entry.startedUs();
        if (isStarted) {
            drainSeenUs.remove(entry.name());
            drainEndedUs.remove(entry.name());
            if (!isFirstList && entry.startedUs() > 0) {
                startSeenUs.put(entry.name(), nowUs);
            }
        }
        if (entry.isDraining()) {
            drainSeenUs.putIfAbsent(entry.name(), nowUs);
            drainEndedUs.remove(entry.name());
        } else if (drainSeenUs.remove(entry.name()) != null) {
            drainEndedUs.put(entry.name(), nowUs);
        }
    }

    /** Passes the changes that are still repeated to the reporter. */
    void reportChanges(long nowUs, Map<String, EngineOutcomes> engines, EvidenceReporter reporter) {
        startSeenUs.keySet().retainAll(engines.keySet());
        drainSeenUs.keySet().retainAll(engines.keySet());
        drainEndedUs.keySet().retainAll(engines.keySet());
        reportChanges(nowUs, startSeenUs, Topic.ENGINE_START, Finding.WARMING_UP, engines, reporter);
        reportChanges(nowUs, drainSeenUs, Topic.DRAIN, Finding.DRAINING, engines, reporter);
        reportChanges(nowUs, drainEndedUs, Topic.DRAIN, Finding.WITHDRAWN, engines, reporter);
        startSeenUs.values().removeIf(seenAtUs -> nowUs - seenAtUs >= announceDurationUs);
        drainEndedUs.values().removeIf(seenAtUs -> nowUs - seenAtUs >= announceDurationUs);
    }

    private void reportChanges(
            long nowUs,
            Map<String, Long> seenUs,
            Topic topic,
            Finding finding,
            Map<String, EngineOutcomes> engines,
            EvidenceReporter reporter) {
        seenUs.forEach((name, seenAtUs) -> {
            if (nowUs - seenAtUs < announceDurationUs) {
                long startUs = engines.get(name).listed.startedUs();
                reporter.report(nowUs, new Subject(topic, name), finding, startUs, 1, 0, seenAtUs, nowUs);
            }
        });
    }
}
