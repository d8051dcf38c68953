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
 * reaches engines or there is no evidence of other zones (as for a gateway inside the isolated zone).
 *
 * <p>Hysteresis: isolation ends with its evidence, and a zone is not isolated again for {@code flapHoldUs} after that.
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
     * @param nowUs current time (monotonic)
     * @param roster the members with their zones
     * @param selfHealth evidence of each gateway on itself, by gateway
     * @param reachability evidence of each gateway on the engines that it reaches, by gateway
     */
    Map<String, ZoneLink> evaluate(
            long nowUs,
            ZoneRoster roster,
            Map<String, EvidenceRecord> selfHealth,
            Map<String, EvidenceRecord> reachability) {
        links.keySet().retainAll(roster.zones());
        isolationEndedUs.keySet().retainAll(roster.zones());
        for (String zone : roster.zones()) {
            ZoneLink current = classify(nowUs, zone, roster, selfHealth, reachability);
            ZoneLink previous = links.get(zone);
            if (previous != null && previous.state() == current.state()) {
                current = new ZoneLink(zone, current.state(), previous.sinceUs(), current.confidence());
            } else if (previous != null && previous.state() == ZoneLink.State.ISOLATED) {
                isolationEndedUs.put(zone, nowUs);
            }
            links.put(zone, current);
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
                continue; // it may have received answers that it has not read
            }
            EvidenceRecord record = reachability.get(entry.getKey());
            if (!roster.zoneOfGateway(entry.getKey()).equals(zone)) {
                otherZonesKnown |= record != null;
                otherZonesReachEngines |= record != null && record.finding() != Finding.NONE_REACHABLE;
                continue;
            }
            liveGateways++;
            if (record != null && record.finding() == Finding.OUTSIDE_REACHABLE) {
                reachingOutside++;
            } else if (record != null) {
                notReaching++;
                sinceUs = Math.min(sinceUs, record.sinceUs());
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
