package sandpaddle.overload;

/**
 * Detects retry storms from this gateway's own traffic, and holds the {@link OverloadPhase}. A phase is entered only
 * after the signals have indicated it for a minimum time, which prevents flapping: {@code enterUs} for a storm, a third
 * of that for recovery, {@code exitUs} for normal operation. After a pause of the process the minimum time starts over.
 *
 * <p>Confined to the event loop's thread. Times are in microseconds and never decrease.
 */
final class RetryStormDetector {
    private static final long SIGNAL_TIME_CONSTANT_US = 1_000_000;
    private static final double USUAL_TIME_CONSTANT_US = 60e6;
    private static final long MIN_CALM_OBSERVED_US = 5_000_000; // before the usual rate of first arrivals is used
    private static final long MAX_TICK_GAP_US = 1_000_000; // after a longer gap the process was paused
    private static final int RECOVERY_SPEEDUP = 3; // recovery needs a third of the time that a storm needs

    /** A change of phase, with the signals that caused it. */
    record Change(OverloadPhase from, OverloadPhase to, OverloadSignals signals) {}

    private OverloadSettings.Detection settings;
    private final DecayingRate firstArrivals, retries, successes, failures, connections;
    private OverloadPhase phase = OverloadPhase.CALM;
    private OverloadPhase indicatedPhase = OverloadPhase.CALM; // by the latest evaluation
    private long indicatedSinceUs, evaluatedAtUs, calmObservedUs;
    private double usualFirstArrivalsPerS, usualConnectionsPerS;

    RetryStormDetector(OverloadSettings.Detection settings, long nowUs) {
        this.settings = settings;
        firstArrivals = new DecayingRate(SIGNAL_TIME_CONSTANT_US, nowUs);
        retries = new DecayingRate(SIGNAL_TIME_CONSTANT_US, nowUs);
        successes = new DecayingRate(SIGNAL_TIME_CONSTANT_US, nowUs);
        failures = new DecayingRate(SIGNAL_TIME_CONSTANT_US, nowUs);
        connections = new DecayingRate(SIGNAL_TIME_CONSTANT_US, nowUs);
        evaluatedAtUs = nowUs;
        indicatedSinceUs = nowUs;
    }

    void settings(OverloadSettings.Detection newSettings) {
        settings = newSettings;
    }

    void recordArrival(long nowUs, boolean isRetry) {
        (isRetry ? retries : firstArrivals).add(nowUs, 1);
    }

    void recordAnswer(long nowUs, boolean isSuccess) {
        (isSuccess ? successes : failures).add(nowUs, 1);
    }

    void recordConnection(long nowUs) {
        connections.add(nowUs, 1);
    }

    OverloadPhase phase() {
        return phase;
    }

    /** The usual rate of new connections, observed in the phase CALM. */
    double usualConnectionsPerS() {
        return usualConnectionsPerS;
    }

    OverloadSignals signals(long nowUs, double reachableShare) {
        return new OverloadSignals(
                firstArrivals.perSecond(nowUs),
                retries.perSecond(nowUs),
                successes.perSecond(nowUs),
                failures.perSecond(nowUs),
                connections.perSecond(nowUs),
                calmObservedUs >= MIN_CALM_OBSERVED_US ? usualFirstArrivalsPerS : Double.NaN,
                reachableShare);
    }

    /** Evaluates the signals; returns null if the phase does not change. Call it several times a second. */
    Change evaluate(long nowUs, double reachableShare) {
        long elapsedUs = nowUs - evaluatedAtUs;
        evaluatedAtUs = nowUs;
        OverloadSignals signals = signals(nowUs, reachableShare);
        OverloadPhase next = phase.next(signals, settings);
        if (next != indicatedPhase || elapsedUs > MAX_TICK_GAP_US) {
            indicatedPhase = next;
            indicatedSinceUs = nowUs;
        }
        if (next == phase) {
            updateUsualRates(signals, Math.min(elapsedUs, MAX_TICK_GAP_US));
            return null;
        }
        if (nowUs - indicatedSinceUs < requiredUs(next)) {
            return null;
        }
        Change change = new Change(phase, next, signals);
        phase = next;
        return change;
    }

    private long requiredUs(OverloadPhase next) {
        return switch (next) {
            case STORM -> settings.enterUs();
            case RECOVERING -> settings.enterUs() / RECOVERY_SPEEDUP;
            case CALM -> settings.exitUs();
        };
    }

    /** Updates the usual rates in the phase CALM; they are frozen in the others. */
    private void updateUsualRates(OverloadSignals signals, long elapsedUs) {
        if (phase == OverloadPhase.CALM && elapsedUs > 0) {
            calmObservedUs += elapsedUs;
            double weight = elapsedUs / Math.min(USUAL_TIME_CONSTANT_US, calmObservedUs);
            usualFirstArrivalsPerS += weight * (signals.firstArrivalsPerS() - usualFirstArrivalsPerS);
            usualConnectionsPerS += weight * (signals.connectionsPerS() - usualConnectionsPerS);
        }
    }
}
