package sandpaddle.decision.loadview;

/**
 * The load signals that decisions are based on.
 *
 * @param arrivals arrival rate at this gateway
 * @param traffic this gateway's share of the traffic
 * @param inFlightLoad this gateway's attempts in flight
 * @param estimators estimates of latency, work and memory
 * @param loadView estimated load of the engines
 */
public record LoadSignals(
        ArrivalRate arrivals,
        TrafficShare traffic,
        InFlightLoad inFlightLoad,
        Estimators estimators,
        LoadView loadView) {}
