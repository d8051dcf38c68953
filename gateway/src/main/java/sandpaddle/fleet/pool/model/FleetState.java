package sandpaddle.fleet.pool.model;

import java.time.Instant;
import java.time.ZoneId;
import java.util.List;
import java.util.Set;

/**
 * The state of the fleet against which the conditions of a policy are evaluated.
 *
 * @param timeZone time zone for conditions on a time of day that name none
 * @param ejectedFraction the fraction of all engines that are ejected by verdicts, 0 to 1
 * @param isolatedZones zones whose gateways reach no engine
 * @param outages planned outages, current or future; past ones are ignored
 */
public record FleetState(
        Instant now,
        ZoneId timeZone,
        Phase phase,
        double ejectedFraction,
        Set<String> isolatedZones,
        List<Outage> outages) {
    /** A planned loss of a zone's uplink, from {@code from} (inclusive) to {@code to} (exclusive). */
    public record Outage(String zone, Instant from, Instant to) {
        boolean lasts(Instant now) {
            return !now.isBefore(from) && now.isBefore(to);
        }
    }

    /** @throws IllegalArgumentException if the fraction of ejected engines is not from 0 to 1 */
    public FleetState {
        if (!(ejectedFraction >= 0 && ejectedFraction <= 1)) {
            throw new IllegalArgumentException("fraction of ejected engines " + ejectedFraction + "; expected 0 to 1");
        }
        isolatedZones = Set.copyOf(isolatedZones);
        outages = List.copyOf(outages);
    }
}
