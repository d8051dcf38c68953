package sandpaddle.fleet.outage.rights;

/** An expected outage of a zone, margins included, by the wall clock (ms). */
public record PlannedOutage(String zone, long lossAt, long returnAt) {}
