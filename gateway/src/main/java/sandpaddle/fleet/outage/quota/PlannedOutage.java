package sandpaddle.fleet.outage.quota;

/**
 * An expected outage of a zone, margins included.
 *
 * @param zone name of the zone
 * @param lossAtMs earliest expected loss of the zone's link (wall clock, ms)
 * @param returnAtMs expected return of the link (wall clock, ms)
 */
public record PlannedOutage(String zone, long lossAtMs, long returnAtMs) {}
