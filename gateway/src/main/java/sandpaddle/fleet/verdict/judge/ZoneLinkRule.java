package sandpaddle.fleet.verdict.judge;

import java.util.Map;
import java.util.TreeMap;
import sandpaddle.fleet.verdict.VerdictSettings;
import sandpaddle.fleet.verdict.ZoneLink;
import sandpaddle.fleet.verdict.evidence.EvidenceRecord;
import sandpaddle.fleet.verdict.evidence.Finding;

/**
 * Evaluates whether each zone reaches the engines outside of it. A zone is isolated if at least half of its live, not
 * stalled gateways get no answer from outside, they outnumber those that do, and either a gateway of another zone
 * reaches engines or no other zone is known (as seen from inside).
 *
 * <p>Hysteresis: isolation ends with its evidence, but is not found again before {@code flapHoldUs} after its end.
 * Memory: one state for each zone of the roster.
 */
final class ZoneLinkRule {
    private final VerdictSettings settings;
    private final Map<String, ZoneLink> links = new TreeMap<>();
    private final Map<String, Long> isolationEndedUs = new TreeMap<>();

    ZoneLinkRule(VerdictSettings settings) {
        this.settings = settings;
    }

    /**
     * Evaluates all zones.
     *
     * @param nowUs monotonic time
     * @param roster the members with their zones
     * @param selfHealth by gateway, its evidence on itself
     * @param reachability by gateway, its evidence on the engines that it reaches
     */
    Map<String, ZoneLink> evaluate(
            long nowUs,
            ZoneRoster roster,
            Map<String, EvidenceRecord> selfHealth,
            Map<String, EvidenceRecord> reachability) {
        links.keySet().retainAll(roster.zones());
        isolationEndedUs.keySet().retainAll(roster.zones());
        for (String zone : roster.zones()) {
            ZoneLink found = classify(nowUs, zone, roster, selfHealth, reachability);
            ZoneLink before = links.get(zone);
            if (before != null && before.state() == found.state()) {
                found = new ZoneLink(zone, found.state(), before.sinceUs(), found.confidence());
            } else if (before != null && before.state() == ZoneLink.State.ISOLATED) {
                isolationEndedUs.put(zone, nowUs);
            }
            links.put(zone, found);
        }
        return Map.copyOf(links);
    }

    private ZoneLink classify(
            long nowUs,
            String zone,
            ZoneRoster roster,
            Map<String, EvidenceRecord> selfHealth,
            Map<String, EvidenceRecord> reachability) {
        int liveGateways = 0;
        int notReaching = 0;
        int reachingOutside = 0;
        long sinceUs = nowUs;
        boolean otherZonesKnown = false;
        boolean otherZonesReachEngines = false;
        for (Map.Entry<String, EvidenceRecord> entry : selfHealth.entrySet()) {
            if (entry.getValue().finding() == Finding.STALLED) {
                continue; // answers may be waiting in it, unread
            }
            EvidenceRecord reach = reachability.get(entry.getKey());
            if (!roster.zoneOfGateway(entry.getKey()).equals(zone)) {
                otherZonesKnown |= reach != null;
                otherZonesReachEngines |= reach != null && reach.finding() != Finding.NONE_REACHABLE;
                continue;
            }
            liveGateways++;
            if (reach != null && reach.finding() == Finding.OUTSIDE_REACHABLE) {
                reachingOutside++;
            } else if (reach != null) {
                notReaching++;
                sinceUs = Math.min(sinceUs, reach.sinceUs());
            }
        }
        if (2 * notReaching >= liveGateways && notReaching > reachingOutside) {
            boolean isLinkFault = otherZonesReachEngines || !otherZonesKnown;
            boolean isDamped = nowUs - isolationEndedUs.getOrDefault(zone, Long.MIN_VALUE / 2) < settings.flapHoldUs();
            ZoneLink.State state = isLinkFault ? ZoneLink.State.ISOLATED : ZoneLink.State.BLACKOUT;
            return new ZoneLink(
                    zone, isDamped ? ZoneLink.State.UNKNOWN : state, sinceUs, (double) notReaching / liveGateways);
        }
        return reachingOutside > 0
                ? new ZoneLink(zone, ZoneLink.State.CONNECTED, nowUs, (double) reachingOutside / liveGateways)
                : new ZoneLink(zone, ZoneLink.State.UNKNOWN, nowUs, 0);
    }
}
