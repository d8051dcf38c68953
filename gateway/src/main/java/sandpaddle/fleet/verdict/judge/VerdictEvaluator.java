package sandpaddle.fleet.verdict.judge;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import sandpaddle.fleet.verdict.FleetEngineVerdict;
import sandpaddle.fleet.verdict.VerdictSettings;
import sandpaddle.fleet.verdict.VerdictSnapshot;
import sandpaddle.fleet.verdict.ZoneLink;
import sandpaddle.fleet.verdict.evidence.EvidenceRecord;
import sandpaddle.fleet.verdict.evidence.EvidenceStore;
import sandpaddle.fleet.verdict.evidence.Finding;
import sandpaddle.fleet.verdict.evidence.Subject;
import sandpaddle.fleet.verdict.evidence.Topic;
import sandpaddle.fleet.verdict.judge.EngineVotes.Accusation;

/**
 * Derives verdicts from evidence. Each gateway evaluates its own {@link EvidenceStore}, without a leader and without
 * asking another gateway.
 *
 * <p>Gateways whose stores, members, engine list and tenant quotas are the same give the same verdicts, except where a
 * verdict depends on:
 *
 * <ul>
 *   <li>the gateway itself: engines that its own zone cannot reach, whether it is a prober, and the tenant usage that
 *       it measured, which counts in full
 *   <li>earlier evaluations: flap damping, engines that are still at fault or ejected, tenants still over their quota,
 *       zones that are or were isolated, and when a drain was first reported
 * </ul>
 *
 * <p>If a gateway suspects a fault of its own, its evidence on the health of engines is ignored. A verdict on an engine
 * ends when the lease of its latest evidence ends, or earlier; flap damping does not prolong it beyond that.
 *
 * <p>Cost of an evaluation: one pass over the evidence. Memory: a few numbers for each listed engine. Not thread-safe:
 * owned by the fleet's thread.
 */
public final class VerdictEvaluator {
    private final VerdictSettings settings;
    private final EvidenceStore evidence;
    private final Set<VerdictGuard> guards;
    private final EjectedEngines ejectedEngines;
    private final EngineListRule engineListRule;
    private final ZoneLinkRule zoneRule;
    private final TenantQuotaRule tenantRule = new TenantQuotaRule();
    private ZoneRoster roster;
    private Map<String, Long> listedStartUs = Map.of(); // the start that this gateway read from the engine list
    private Map<String, Double> tenantQuotas = Map.of();
    private final Map<String, Long> confirmedStartUs = new TreeMap<>(); // the listed start, or a confirmed later one

    /**
     * Creates an evaluator.
     *
     * @param self name of this gateway
     * @param settings settings of the verdicts
     * @param evidence evidence to evaluate
     */
    public VerdictEvaluator(String self, VerdictSettings settings, EvidenceStore evidence) {
        this(self, settings, evidence, EnumSet.allOf(VerdictGuard.class));
    }

    VerdictEvaluator(String self, VerdictSettings settings, EvidenceStore evidence, Set<VerdictGuard> guards) {
        this.settings = settings;
        this.evidence = evidence;
        this.guards = guards;
        roster = new ZoneRoster(self, Map.of());
        ejectedEngines = new EjectedEngines(settings, guards);
        engineListRule = new EngineListRule(settings, guards);
        zoneRule = new ZoneLinkRule(settings);
    }

    /**
     * Sets the members of the fleet, including this gateway.
     *
     * @param zoneOf zone of each member, by its name
     */
    public void updateRoster(Map<String, String> zoneOf) {
        roster = new ZoneRoster(roster.self(), zoneOf);
    }

    /**
     * Sets the engines in the engine list.
     *
     * @param startOf start time of each engine, by its name (us, platform time: the time that the list uses)
     */
    public void updateEngines(Map<String, Long> startOf) {
        listedStartUs = new TreeMap<>(startOf);
        confirmedStartUs.keySet().retainAll(listedStartUs.keySet());
        ejectedEngines.retain(listedStartUs.keySet());
    }

    /** Sets the quota of each tenant, which applies to the sum of its usage at all gateways. */
    public void updateTenantQuotas(Map<String, Double> quotaOf) {
        tenantQuotas = Map.copyOf(quotaOf);
    }

    /** Evaluates all verdicts at a monotonic time (us). */
    public VerdictSnapshot evaluate(long nowUs) {
        Map<String, EvidenceRecord> selfHealth = selfReports(Topic.SELF_HEALTH, nowUs);
        Map<String, EvidenceRecord> reachability = selfReports(Topic.REACHABILITY, nowUs);
        Set<String> selfSuspecting = new TreeSet<>();
        Set<String> healthyGateways = new TreeSet<>();
        selfHealth.forEach((gateway, record) ->
                (record.finding() == Finding.SELF_HEALTHY ? healthyGateways : selfSuspecting).add(gateway));
        Map<String, ZoneLink> zoneLinks = zoneRule.evaluate(nowUs, roster, selfHealth, reachability);
        Map<String, Accusation> linkFaults = new TreeMap<>();
        for (String engine : listedStartUs.keySet()) {
            evaluateEngine(nowUs, engine, selfSuspecting, linkFaults);
        }
        List<FleetEngineVerdict> verdicts = new ArrayList<>();
        List<String> ejected = new ArrayList<>();
        List<String> exemptedEngines = new ArrayList<>();
        ejectedEngines.selectEjected(listedStartUs.size(), ejected, exemptedEngines);
        for (String engine : ejected) {
            Accusation accusation = ejectedEngines.accusation(engine);
            boolean isProber = ProbeAssignment.probersOf(engine, healthyGateways, roster, settings.maxProbers())
                    .contains(roster.self());
            verdicts.add(new FleetEngineVerdict(
                    engine,
                    accusation.kind(),
                    confirmedStartUs.get(engine),
                    accusation.sinceUs(),
                    ejectedEngines.untilUs(engine),
                    isProber));
        }
        Map<String, Set<String>> unreachableEnginesByZone = unreachableEnginesByZone(linkFaults);
        addOwnZoneLinkVerdicts(linkFaults, zoneLinks, healthyGateways, verdicts, exemptedEngines);
        engineListRule.evaluate(nowUs, listedStartUs, evidence, verdicts);
        List<EvidenceRecord> usages = new ArrayList<>();
        evidence.forEach(Topic.TENANT_USAGE, nowUs, usages::add);
        Set<String> tenantsOverQuota = tenantRule.evaluate(tenantQuotas, usages, roster.self(), guards);
        return new VerdictSnapshot(
                List.copyOf(verdicts),
                List.copyOf(exemptedEngines),
                unreachableEnginesByZone,
                tenantsOverQuota,
                zoneLinks,
                Set.copyOf(selfSuspecting));
    }

    /**
     * Updates the ejection of one engine. If the evidence shows that only links to the engine are down, the engine
     * counts as not at fault here, and the accusation is added to {@code linkFaults}.
     */
    private void evaluateEngine(
            long nowUs, String engine, Set<String> selfSuspecting, Map<String, Accusation> linkFaults) {
        long startUs = engineListRule.confirmedStartUs(engine, listedStartUs.get(engine), evidence, nowUs);
        Long previousStartUs = confirmedStartUs.put(engine, startUs);
        boolean isRestarted = previousStartUs != null && previousStartUs != startUs;
        if (isRestarted && guards.contains(VerdictGuard.SAME_ENGINE_START)) {
            ejectedEngines.forget(engine);
        }
        List<EvidenceRecord> allVotes = evidence.findBySubject(new Subject(Topic.HEALTH, engine), nowUs);
        if (allVotes.isEmpty()) {
            ejectedEngines.update(nowUs, engine, null);
            return;
        }
        List<EvidenceRecord> votes = allVotes.stream()
                .filter(record -> record.engineStartUs() == startUs || !guards.contains(VerdictGuard.SAME_ENGINE_START))
                .filter(record -> !selfSuspecting.contains(record.reporter())
                        || !guards.contains(VerdictGuard.IGNORE_SELF_SUSPECTING))
                .toList();
        Accusation accusation =
                new EngineVotes(settings, roster, guards).evaluate(votes, ejectedEngines.isAtFault(engine));
        boolean isLinkFault = accusation != null && accusation.kind() == FleetEngineVerdict.Kind.LINK_DOWN;
        if (isLinkFault) {
            linkFaults.put(engine, accusation);
        }
        ejectedEngines.update(nowUs, engine, isLinkFault ? null : accusation);
    }

    private static Map<String, Set<String>> unreachableEnginesByZone(Map<String, Accusation> linkFaults) {
        Map<String, Set<String>> enginesByZone = new TreeMap<>();
        linkFaults.forEach((engine, accusation) -> accusation
                .zonesWithoutLink()
                .forEach(zone -> enginesByZone
                        .computeIfAbsent(zone, key -> new TreeSet<>())
                        .add(engine)));
        return Map.copyOf(enginesByZone);
    }

    /**
     * Adds a verdict on each engine that this gateway's zone cannot reach, until the maximum fraction of the engines is
     * ejected. The rest are added to {@code exemptedEngines}; so are all of them if the zone is isolated, since it
     * could send the queries nowhere else.
     */
    private void addOwnZoneLinkVerdicts(
            Map<String, Accusation> linkFaults,
            Map<String, ZoneLink> zoneLinks,
            Set<String> healthyGateways,
            List<FleetEngineVerdict> verdicts,
            List<String> exemptedEngines) {
        String zone = roster.ownZone();
        ZoneLink ownLink = zoneLinks.get(zone);
        int maxByFraction = (int) Math.floor(listedStartUs.size() * settings.maxEjectedFraction());
        int remainingEjections = Math.max(maxByFraction, listedStartUs.size() >= 2 ? 1 : 0) - verdicts.size();
        boolean isIsolated = ownLink != null && ownLink.state() == ZoneLink.State.ISOLATED;
        Set<String> healthyInZone = new TreeSet<>(healthyGateways);
        healthyInZone.removeIf(gateway -> !roster.zoneOfGateway(gateway).equals(zone));
        for (Map.Entry<String, Accusation> entry : linkFaults.entrySet()) {
            if (!entry.getValue().zonesWithoutLink().contains(zone)) {
                continue;
            }
            if (isIsolated || remainingEjections <= 0 && guards.contains(VerdictGuard.MAX_EJECTED_FRACTION)) {
                exemptedEngines.add(entry.getKey());
                continue;
            }
            remainingEjections--;
            boolean isProber = ProbeAssignment.probersOf(entry.getKey(), healthyInZone, roster, settings.maxProbers())
                    .contains(roster.self());
            verdicts.add(new FleetEngineVerdict(
                    entry.getKey(),
                    FleetEngineVerdict.Kind.LINK_DOWN,
                    confirmedStartUs.get(entry.getKey()),
                    entry.getValue().sinceUs(),
                    entry.getValue().observedAtUs() + settings.evidenceLeaseUs(),
                    isProber));
        }
    }

    /** Returns the records of a topic in which members report on themselves, by member. */
    private Map<String, EvidenceRecord> selfReports(Topic topic, long nowUs) {
        Map<String, EvidenceRecord> records = new TreeMap<>();
        evidence.forEach(topic, nowUs, record -> {
            if (record.subject().name().equals(record.reporter())
                    && roster.zoneOf().containsKey(record.reporter())) {
                records.put(record.reporter(), record);
            }
        });
        return records;
    }

    /**
     * Returns the engines that any gateway reports a fault of. This gateway then reports its own evidence on them too,
     * also where it shows no fault (counter-evidence).
     */
    public Set<String> accusedEngines(long nowUs) {
        Set<String> names = new TreeSet<>();
        evidence.forEach(Topic.HEALTH, nowUs, record -> {
            if (record.finding().isEngineFault()) {
                names.add(record.subject().name());
            }
        });
        return names;
    }
}
