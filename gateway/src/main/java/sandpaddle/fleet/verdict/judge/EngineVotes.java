package sandpaddle.fleet.verdict.judge;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import sandpaddle.fleet.verdict.FleetEngineVerdict;
import sandpaddle.fleet.verdict.VerdictSettings;
import sandpaddle.fleet.verdict.evidence.EvidenceRecord;
import sandpaddle.fleet.verdict.evidence.Finding;

/**
 * Evaluates the evidence of the gateways on one engine process by a vote. A zone votes as the majority of its gateways
 * with evidence. The engine is at fault if at least two zones accuse it and outnumber those that do not, or if more
 * than half of all gateways with evidence accuse it and they are of two zones (two gateways in a fleet with one zone).
 * Otherwise each accusing zone has lost its link to the engine. A single gateway causes neither for others, as long
 * as its zone has another one with recent traffic; a fleet of one gateway gives no verdict.
 */
final class EngineVotes {
    /** Maximum number of outcomes counted of one reporter, so that none outweighs all others. */
    private static final int MAX_STRENGTH = 50;

    /**
     * A fault of an engine, or of links to it.
     *
     * @param kind kind of the fault
     * @param zonesWithoutLink zones that lost their link to the engine; empty if the engine is at fault
     * @param reporters number of gateways that accuse the engine
     * @param strength number of outcomes that the accusations are based on
     * @param sinceUs start of the earliest accusation (monotonic time)
     * @param observedAtUs time of the latest outcome that shows the fault (monotonic time)
     */
    record Accusation(
            FleetEngineVerdict.Kind kind,
            Set<String> zonesWithoutLink,
            int reporters,
            int strength,
            long sinceUs,
            long observedAtUs) {}

    private final VerdictSettings settings;
    private final ZoneRoster roster;
    private final Set<VerdictGuard> guards;

    EngineVotes(VerdictSettings settings, ZoneRoster roster, Set<VerdictGuard> guards) {
        this.settings = settings;
        this.roster = roster;
        this.guards = guards;
    }

    /**
     * Returns the fault that the evidence proves, or null.
     *
     * @param votes evidence on one engine process by reporters that do not suspect themselves
     * @param isAtFault whether the engine was found at fault before: then only probers have outcomes, and one suffices
     */
    Accusation evaluate(List<EvidenceRecord> votes, boolean isAtFault) {
        Map<String, int[]> countsByZone = new TreeMap<>(); // number of gateways: accusing, not accusing
        List<EvidenceRecord> accusations = votes.stream()
                .filter(record -> record.finding().isEngineFault())
                .toList();
        int strength = accusations.stream()
                .mapToInt(record -> Math.min(MAX_STRENGTH, record.strength()))
                .sum();
        if (accusations.isEmpty() || strength < (isAtFault ? 1 : settings.minOutcomes())) {
            return null;
        }
        votes.forEach(record -> countsByZone
                .computeIfAbsent(roster.zoneOfGateway(record.reporter()), zone -> new int[2])[
                record.finding().isEngineFault() ? 0 : 1]++);
        Set<String> accusingZones = new TreeSet<>();
        countsByZone.forEach((zone, counts) -> {
            if (counts[0] > counts[1]) {
                accusingZones.add(zone);
            }
        });
        FleetEngineVerdict.Kind kind = majorityKind(accusations);
        long sinceUs =
                accusations.stream().mapToLong(EvidenceRecord::sinceUs).min().orElseThrow();
        long observedAtUs = accusations.stream()
                .mapToLong(EvidenceRecord::observedAtUs)
                .max()
                .orElseThrow();
        if (isEngineFault(votes, accusations, countsByZone.size() - accusingZones.size(), accusingZones.size())) {
            return new Accusation(kind, Set.of(), accusations.size(), strength, sinceUs, observedAtUs);
        }
        Set<String> zonesWithoutLink = new TreeSet<>();
        accusingZones.stream().filter(zone -> isLinkFault(zone, accusations)).forEach(zonesWithoutLink::add);
        return zonesWithoutLink.isEmpty()
                ? null
                : new Accusation(
                        FleetEngineVerdict.Kind.LINK_DOWN,
                        zonesWithoutLink,
                        accusations.size(),
                        strength,
                        sinceUs,
                        observedAtUs);
    }

    private boolean isEngineFault(
            List<EvidenceRecord> votes, List<EvidenceRecord> accusations, int otherZones, int accusingZones) {
        Set<String> reporterZones = new HashSet<>();
        accusations.forEach(record -> reporterZones.add(roster.zoneOfGateway(record.reporter())));
        boolean isSingleZone = roster.zones().size() <= 1;
        if (accusingZones >= 2 && accusingZones > otherZones) {
            return true;
        }
        boolean isMajority = 2 * accusations.size() > votes.size();
        boolean isConfirmed = accusations.size() >= 2 || !guards.contains(VerdictGuard.NO_SINGLE_REPORTER);
        boolean isFromTwoZones =
                reporterZones.size() >= 2 || isSingleZone || !guards.contains(VerdictGuard.SINGLE_ZONE_IS_LINK_FAULT);
        return isMajority && isConfirmed && isFromTwoZones;
    }

    /** Returns whether two gateways of the zone, or its only one, accuse the engine. */
    private boolean isLinkFault(String zone, List<EvidenceRecord> accusations) {
        long gateways = roster.zoneOf().values().stream().filter(zone::equals).count();
        long reporters = accusations.stream()
                .filter(record -> roster.zoneOfGateway(record.reporter()).equals(zone))
                .count();
        return roster.zones().size() > 1
                && (reporters >= Math.min(2, gateways) || !guards.contains(VerdictGuard.NO_SINGLE_REPORTER));
    }

    /** Returns the most frequent fault; on a tie the one worst for queries: unresponsive, then failing, then slow. */
    private static FleetEngineVerdict.Kind majorityKind(List<EvidenceRecord> accusations) {
        Map<Finding, Integer> counts = new EnumMap<>(Finding.class);
        accusations.forEach(record -> counts.merge(record.finding(), 1, Integer::sum));
        int unresponsive = counts.getOrDefault(Finding.UNRESPONSIVE, 0);
        int failing = counts.getOrDefault(Finding.FAILING, 0);
        int slow = counts.getOrDefault(Finding.SLOW, 0);
        if (unresponsive >= failing && unresponsive >= slow) {
            return FleetEngineVerdict.Kind.UNRESPONSIVE;
        }
        return failing >= slow ? FleetEngineVerdict.Kind.FAILING : FleetEngineVerdict.Kind.SLOW;
    }
}
