package sandpaddle.overload;

/**
 * Detects retry storms from this gateway's own traffic, and holds the {@link OverloadPhase}. A phase is entered only
 * after the signals have indicated it for a time: {@code enterUs} for a storm, a third of that for recovery,
 * {@code exitUs} for normal operation. This guards against flapping. After a pause of the process the signals must
 * hold anew.
 *
 * <p>Called from the loop thread alone. Times are in microseconds and never decrease.
 */
final class RetryStormDetector {
    private static final long SIGNAL_TIME_CONSTANT_US = 1_000_000; // of the rates in the signals
    private static final double USUAL_TIME_CONSTANT_US = 60e6; // of the usual rates
    private static final long MIN_CALM_OBSERVED_US = 5_000_000; // before the usual rates count
    private static final long MAX_TICK_GAP_US = 1_000_000; // longer gaps mean that the process was paused
    private static final int RECOVERY_SPEEDUP = 3; // recovery is entered this many times faster than a storm

    /** A change of phase, with the signals that caused it. */
    record Change(OverloadPhase from, OverloadPhase to, OverloadSignals signs) {}

    private OverloadSettings.Detection settings;
    private final DecayingRate firsts, returns, good, bad, connections;
    private OverloadPhase phase = OverloadPhase.CALM;
    private OverloadPhase indicatedPhase = OverloadPhase.CALM; // by the latest signals
    private long indicatedSinceUs, evaluatedAtUs, calmObservedUs;
    private double usualFirsts, usualConnections;

    RetryStormDetector(OverloadSettings.Detection settings, long nowUs) {
        this.settings = settings;
        firsts = new DecayingRate(SIGNAL_TIME_CONSTANT_US, nowUs);
        returns = new DecayingRate(SIGNAL_TIME_CONSTANT_US, nowUs);
        good = new DecayingRate(SIGNAL_TIME_CONSTANT_US, nowUs);
        bad = new DecayingRate(SIGNAL_TIME_CONSTANT_US, nowUs);
        connections = new DecayingRate(SIGNAL_TIME_CONSTANT_US, nowUs);
        evaluatedAtUs = nowUs;
        indicatedSinceUs = nowUs;
    }

    void settings(OverloadSettings.Detection newSettings) {
        settings = newSettings;
    }

    void arrival(long nowUs, boolean isReturning) {
        (isReturning ? returns : firsts).add(nowUs, 1);
    }

    void answer(long nowUs, boolean isGood) {
        (isGood ? good : bad).add(nowUs, 1);
    }

    void connection(long nowUs) {
        connections.add(nowUs, 1);
    }

    OverloadPhase phase() {
        return phase;
    }

    /** Usual rate of new connections in the phase CALM (1/s). */
    double usualConnections() {
        return usualConnections;
    }

    OverloadSignals signs(long nowUs, double answeringPart) {
        return new OverloadSignals(
                firsts.perSecond(nowUs),
                returns.perSecond(nowUs),
                good.perSecond(nowUs),
                bad.perSecond(nowUs),
                connections.perSecond(nowUs),
                calmObservedUs >= MIN_CALM_OBSERVED_US ? usualFirsts : Double.NaN,
                answeringPart);
    }

    /** Evaluates the signals; null if the phase stays. Call it several times a second. */
    Change evaluate(long nowUs, double answeringPart) {
        long elapsedUs = nowUs - evaluatedAtUs;
        evaluatedAtUs = nowUs;
        OverloadSignals signals = signs(nowUs, answeringPart);
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

    /** Usual rates follow the signals in the phase CALM, and are frozen otherwise. */
    private void updateUsualRates(OverloadSignals signals, long elapsedUs) {
        if (phase == OverloadPhase.CALM && elapsedUs > 0) {
            calmObservedUs += elapsedUs;
            double weight = elapsedUs / Math.min(USUAL_TIME_CONSTANT_US, calmObservedUs);
            usualFirsts += weight * (signals.firstArrivalsPerS() - usualFirsts);
            usualConnections += weight * (signals.connectionsPerS() - usualConnections);
        }
    }
}
