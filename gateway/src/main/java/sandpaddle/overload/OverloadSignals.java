package sandpaddle.overload;

/**
 * Signals that a gateway observes by itself. Rates are per second, over about the last second.
 *
 * @param firstArrivalsPerS rate of queries that arrive for the first time
 * @param retriesPerS rate of queries of returning clients
 * @param successesPerS rate of final answers with a result
 * @param failuresPerS rate of final answers without one
 * @param connectionsPerS rate of new connections
 * @param usualFirstArrivalsPerS usual rate of first arrivals in the phase CALM; NaN until enough of it was observed
 * @param reachableShare share of the usual fleet's cores that answers, from 0 to 1
 */
public record OverloadSignals(
        double firstArrivalsPerS,
        double retriesPerS,
        double successesPerS,
        double failuresPerS,
        double connectionsPerS,
        double usualFirstArrivalsPerS,
        double reachableShare) {
    private static final double MIN_EVENTS_PER_S = 2; // fewer are no evidence
    private static final double MAJORITY = 0.5;

    double arrivals() {
        return firstArrivalsPerS + retriesPerS;
    }

    /** Share of returning clients among the arrivals; 0 if there are too few to tell. */
    double returnShare() {
        return arrivals() < MIN_EVENTS_PER_S ? 0 : retriesPerS / arrivals();
    }

    double badShare() {
        return successesPerS + failuresPerS < MIN_EVENTS_PER_S ? 0 : failuresPerS / (successesPerS + failuresPerS);
    }

    double goodShare() {
        return successesPerS + failuresPerS < MIN_EVENTS_PER_S ? 0 : successesPerS / (successesPerS + failuresPerS);
    }

    boolean isQuiet() {
        return arrivals() < MIN_EVENTS_PER_S && successesPerS + failuresPerS < MIN_EVENTS_PER_S;
    }

    /** Whether returning clients make up most of the excess over the usual rate; true while that rate is unknown. */
    boolean returnsMakeTheExcess() {
        return Double.isNaN(usualFirstArrivalsPerS) || retriesPerS >= MAJORITY * (arrivals() - usualFirstArrivalsPerS);
    }
}
