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
 * Evaluates the evidence of the gateways on one engine process. A zone votes as the majority of its gateways with
 * evidence. The engine is at fault if at least two zones accuse it and outnumber those that do not, or if more than
 * half of all gateways with evidence accuse it and they are of two zones (two gateways in a fleet with one zone).
 * Otherwise each accusing zone has lost its link to the engine. One gateway alone causes neither for others, as long
 * as its zone has another one with recent traffic; a fleet of one gateway gives no verdict.
 */
final class EngineVotes {
    private static final int MAX_STRENGTH = 50; // counted of one reporter, so that none outweighs all others

    /** A fault of an engine, or of the links of the {@code zonesWithoutLink} to it. */
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
     * @param votes evidence on one engine process by reporters that do not doubt themselves
     * @param isCondemned whether the engine is condemned already: then only its probers have outcomes, and one suffices
     */
    Accusation evaluate(List<EvidenceRecord> votes, boolean isCondemned) {
        Map<String, int[]> byZone = new TreeMap<>(); // against, for
        List<EvidenceRecord> accusations = votes.stream()
                .filter(record -> record.finding().isEngineFault())
                .toList();
        int strength = accusations.stream()
                .mapToInt(record -> Math.min(MAX_STRENGTH, record.strength()))
                .sum();
        if (accusations.isEmpty() || strength < (isCondemned ? 1 : settings.minOutcomes())) {
            return null;
        }
        votes.forEach(record -> byZone.computeIfAbsent(roster.zoneOfGateway(record.reporter()), h -> new int[2])[
                record.finding().isEngineFault() ? 0 : 1]++);
        Set<String> against = new TreeSet<>();
        byZone.forEach((zone, counts) -> {
            if (counts[0] > counts[1]) {
                against.add(zone);
            }
        });
        FleetEngineVerdict.Kind kind = majorityKind(accusations);
        long sinceUs =
                accusations.stream().mapToLong(EvidenceRecord::sinceUs).min().orElseThrow();
        long observedAtUs = accusations.stream()
                .mapToLong(EvidenceRecord::observedAtUs)
                .max()
                .orElseThrow();
        if (isEngineFault(votes, accusations, byZone.size() - against.size(), against.size())) {
            return new Accusation(kind, Set.of(), accusations.size(), strength, sinceUs, observedAtUs);
        }
        Set<String> links = new TreeSet<>();
        against.stream().filter(h -> isLinkFault(h, accusations)).forEach(links::add);
        return links.isEmpty()
                ? null
                : new Accusation(
                        FleetEngineVerdict.Kind.LINK_DOWN, links, accusations.size(), strength, sinceUs, observedAtUs);
    }

    private boolean isEngineFault(
            List<EvidenceRecord> votes, List<EvidenceRecord> accusations, int zonesFor, int zonesAgainst) {
        Set<String> zones = new HashSet<>();
        accusations.forEach(record -> zones.add(roster.zoneOfGateway(record.reporter())));
        boolean isSingleZone = roster.zones().size() <= 1;
        if (zonesAgainst >= 2 && zonesAgainst > zonesFor) {
            return true;
        }
        boolean isMajority = 2 * accusations.size() > votes.size();
        boolean isConfirmed = accusations.size() >= 2 || !guards.contains(VerdictGuard.NO_SINGLE_REPORTER);
        boolean fromTwoZones =
                zones.size() >= 2 || isSingleZone || !guards.contains(VerdictGuard.SINGLE_ZONE_IS_LINK_FAULT);
        return isMajority && isConfirmed && fromTwoZones;
    }

    /** Two gateways of a zone have to report it, or the only one of the zone. */
    private boolean isLinkFault(String zone, List<EvidenceRecord> accusations) {
        long gateways = roster.zoneOf().values().stream().filter(zone::equals).count();
        long reporters = accusations.stream()
                .filter(record -> roster.zoneOfGateway(record.reporter()).equals(zone))
                .count();
        return roster.zones().size() > 1
                && (reporters >= Math.min(2, gateways) || !guards.contains(VerdictGuard.NO_SINGLE_REPORTER));
    }

    /** The most frequent finding; in a tie the one that harms queries most: unresponsive, then failing, then slow. */
    private static FleetEngineVerdict.Kind majorityKind(List<EvidenceRecord> accusations) {
        Map<Finding, Integer> count = new EnumMap<>(Finding.class);
        accusations.forEach(record -> count.merge(record.finding(), 1, Integer::sum));
        int unresponsive = count.getOrDefault(Finding.UNRESPONSIVE, 0);
        int failing = count.getOrDefault(Finding.FAILING, 0);
        int slow = count.getOrDefault(Finding.SLOW, 0);
        if (unresponsive >= failing && unresponsive >= slow) {
            return FleetEngineVerdict.Kind.UNRESPONSIVE;
        }
        return failing >= slow ? FleetEngineVerdict.Kind.FAILING : FleetEngineVerdict.Kind.SLOW;
    }
}
