package sandpaddle.overload;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.PlatformRules;

/**
 * Estimates the capacity of the fleet in cores from this gateway's endpoint list and its own attempts. An engine in
 * slow start counts at the share that the platform's rules allow at that time. Since the endpoint list may be stale, an
 * engine that was unreachable {@value #UNREACHABLE_THRESHOLD} times in a row does not count until it responds or the
 * list shows that it was restarted.
 *
 * <p>Confined to the event loop's thread; memory is bounded by the endpoint list. Times are in microseconds.
 */
final class EngineCapacityEstimator {
    static final int UNREACHABLE_THRESHOLD = 2;
    /** Time constant with which the usual capacity falls to that of a smaller fleet. */
    private static final double USUAL_TIME_CONSTANT_US = 300e6;

    private static final class ListedEngine {
        private double cores;
        private long startedAtUs;
        private long listedStartUs;
        private boolean up;
        private int consecutiveUnreachable; // attempts that could not connect or were reset
    }

    private final DecisionSettings settings;
    private final Map<String, ListedEngine> engines = new HashMap<>();
    private double usualCores;
    private long updatedAtUs;

    EngineCapacityEstimator(DecisionSettings settings, long nowUs) {
        this.settings = settings;
        updatedAtUs = nowUs;
    }

    void endpointListReceived(EngineListKind kind, List<EngineEntry> entries) {
        if (kind == EngineListKind.FAILED) {
            return;
        }
        if (kind != EngineListKind.CHANGES) {
            engines.values().forEach(engine -> engine.up = false);
        }
        for (EngineEntry entry : entries) {
            ListedEngine engine = engines.computeIfAbsent(entry.id(), k -> new ListedEngine());
            boolean startedAnew = engine.listedStartUs != entry.listedStartUs();
            engine.consecutiveUnreachable = startedAnew ? 0 : engine.consecutiveUnreachable;
            engine.startedAtUs = entry.startedUs();
            engine.listedStartUs = entry.listedStartUs();
            engine.up = entry.status() == EngineStatus.UP;
            engine.cores = cores(entry);
        }
        engines.values().removeIf(engine -> !engine.up); // bounds the map: new engines have new ids
    }

    private double cores(EngineEntry entry) {
        double cores = entry.kind() >= 0 && entry.kind() < settings.kinds().size()
                ? settings.kinds().get(entry.kind()).cores()
                : 0;
        return cores > 0 ? cores : Math.max(1, entry.rating());
    }

    void attemptEnded(String engineId, AttemptResult result) {
        ListedEngine engine = engines.get(engineId);
        if (engine == null) {
            return;
        }
        switch (result) {
            case CONNECT_FAILED, RESET -> engine.consecutiveUnreachable++;
            case OK, QUEUE_FULL, ERROR -> engine.consecutiveUnreachable = 0;
            default -> {} // says nothing about reachability
        }
    }

    private static boolean isReachable(ListedEngine engine) {
        return engine.up && engine.consecutiveUnreachable < UNREACHABLE_THRESHOLD;
    }

    /** The cores of reachable engines, scaled by their slow start at a time that may be in the future. */
    double capacityCores(long timeUs) {
        double cores = 0;
        for (ListedEngine engine : engines.values()) {
            cores += isReachable(engine) ? engine.cores * slowStartShare(engine, timeUs) : 0;
        }
        return cores;
    }

    private double slowStartShare(ListedEngine engine, long timeUs) {
        return engine.startedAtUs <= 0 ? 1 : slowStartShareAfter(timeUs - engine.startedAtUs);
    }

    /** The least share of its capacity that an engine has by the rules, by the time since its start. */
    private double slowStartShareAfter(long sinceStartUs) {
        PlatformRules rules = settings.rules();
        long ageUs = Math.max(0, sinceStartUs);
        return ageUs >= rules.slowStartUs()
                ? 1
                : rules.slowStartFrom() + (1 - rules.slowStartFrom()) * ageUs / rules.slowStartUs();
    }

    /** The capacity at a time, or that of the usual fleet if it restarted now, whichever is larger (cores). */
    double capacityAssumingRestart(long nowUs, long timeUs) {
        return Math.max(capacityCores(timeUs), usualCores * slowStartShareAfter(timeUs - nowUs));
    }

    /** Updates the usual cores; returns the share of them that is reachable now, 1 before any engine was listed. */
    double reachableShare(long nowUs) {
        double reachableCores = 0;
        for (ListedEngine engine : engines.values()) {
            reachableCores += isReachable(engine) ? engine.cores : 0;
        }
        usualCores = Math.max(reachableCores, usualCores * Math.exp(-(nowUs - updatedAtUs) / USUAL_TIME_CONSTANT_US));
        updatedAtUs = nowUs;
        return usualCores > 0 ? reachableCores / usualCores : 1;
    }

    int size() {
        return engines.size();
    }
}
