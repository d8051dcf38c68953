package sandpaddle.fleet.pool.model;

import java.time.Instant;
import java.time.ZoneId;
import java.util.List;
import java.util.Set;

/**
 * What conditions are judged by.
 *
 * @param timeZone time zone of a time of day that names none
 * @param condemnedShare the part of all engines that verdicts condemn, 0 to 1
 * @param outages foreseen ones that last or come; others do no harm
 */
public record FleetState(
        Instant now,
        ZoneId timeZone,
        Phase phase,
        double condemnedShare,
        Set<String> isolatedZones,
        List<Outage> outages) {
    /** One foreseen loss of a zone's uplink. */
    public record Outage(String zone, Instant from, Instant to) {
        boolean lasts(Instant now) {
            return !now.isBefore(from) && now.isBefore(to);
        }
    }

    public FleetState {
        if (!(condemnedShare >= 0 && condemnedShare <= 1)) {
            throw new IllegalArgumentException("share of engines condemned " + condemnedShare + ", not from 0 to 1");
        }
        isolatedZones = Set.copyOf(isolatedZones);
        outages = List.copyOf(outages);
    }
}
