package sandpaddle.fleet.outage.quota;

/**
 * An expected outage of a zone, margins included.
 *
 * @param zone name of the zone
 * @param lossAtMs earliest expected loss (wall clock, ms)
 * @param returnAtMs expected return (wall clock, ms)
 */
public record PlannedOutage(String zone, long lossAtMs, long returnAtMs) {}
