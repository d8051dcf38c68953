package sandpaddle.fleet.verdict.judge;

import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** The members and their zones as agreed; a message cannot change the zone of a gateway. */
record ZoneRoster(String self, Map<String, String> zoneOf) {
    ZoneRoster {
        zoneOf = new TreeMap<>(zoneOf);
    }

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
