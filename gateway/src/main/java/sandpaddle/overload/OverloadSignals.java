package sandpaddle.overload;

/**
 * The input of retry storm detection, observed by this gateway alone. Rates cover about the last second.
 *
 * @param firstArrivalsPerS rate of queries that are not clients' retries
 * @param retriesPerS rate of clients' retries, which are queries whose statement was rejected or failed recently
 * @param successesPerS rate of final answers with a result
 * @param failuresPerS rate of final answers without a result
 * @param connectionsPerS rate of new connections
 * @param usualFirstArrivalsPerS usual rate of first arrivals in the phase CALM; NaN until it was observed long enough
 * @param reachableShare share of the usual fleet's cores that is reachable, from 0 to 1
 */
public record OverloadSignals(
        double firstArrivalsPerS,
        double retriesPerS,
        double successesPerS,
        double failuresPerS,
        double connectionsPerS,
        double usualFirstArrivalsPerS,
        double reachableShare) {
    private static final double MIN_EVENTS_PER_S = 2; // below this rate a share is not significant
    private static final double MAJORITY = 0.5;

    double arrivalsPerS() {
        return firstArrivalsPerS + retriesPerS;
    }

    /** Share of retries among the arrivals; 0 if the rate is too low for a share. */
    double retryShare() {
        return arrivalsPerS() < MIN_EVENTS_PER_S ? 0 : retriesPerS / arrivalsPerS();
    }

    double failureShare() {
        return successesPerS + failuresPerS < MIN_EVENTS_PER_S ? 0 : failuresPerS / (successesPerS + failuresPerS);
    }

    double successShare() {
        return successesPerS + failuresPerS < MIN_EVENTS_PER_S ? 0 : successesPerS / (successesPerS + failuresPerS);
    }

    boolean isQuiet() {
        return arrivalsPerS() < MIN_EVENTS_PER_S && successesPerS + failuresPerS < MIN_EVENTS_PER_S;
    }

    /** Whether retries make up most of the excess over the usual rate; true while that rate is unknown. */
    boolean retriesDominateExcess() {
        return Double.isNaN(usualFirstArrivalsPerS)
                || retriesPerS >= MAJORITY * (arrivalsPerS() - usualFirstArrivalsPerS);
    }
}
