package sandpaddle.fleet.verdict.judge;

import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The agreed members and their zones. The zone of a gateway is never taken from its messages.
 *
 * @param self name of this gateway
 * @param zoneOf zone by member
 */
record ZoneRoster(String self, Map<String, String> zoneOf) {
    ZoneRoster {
        zoneOf = new TreeMap<>(zoneOf);
    }

    /** Returns the zone of a gateway, or an empty string if it is not a member. */
    String zoneOfGateway(String gateway) {
        return zoneOf.getOrDefault(gateway, "");
    }

    String ownZone() {
        return zoneOfGateway(self);
    }

    TreeSet<String> zones() {
        return new TreeSet<>(zoneOf.values());
    }
}
