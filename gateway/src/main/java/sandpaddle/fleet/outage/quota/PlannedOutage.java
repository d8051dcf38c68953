package sandpaddle.fleet.outage.quota;

/** An expected outage of a zone, margins included, by the wall clock (ms). */
public record PlannedOutage(String zone, long lossAt, long returnAt) {}
