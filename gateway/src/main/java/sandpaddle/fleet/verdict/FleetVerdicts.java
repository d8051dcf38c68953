package sandpaddle.fleet.verdict;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import sandpaddle.fleet.verdict.evidence.EvidenceBatch;
import sandpaddle.fleet.verdict.evidence.EvidenceDissemination;
import sandpaddle.fleet.verdict.evidence.EvidenceMessage;
import sandpaddle.fleet.verdict.evidence.EvidenceRecord;
import sandpaddle.fleet.verdict.evidence.EvidenceStore;
import sandpaddle.fleet.verdict.judge.VerdictEvaluator;
import sandpaddle.fleet.verdict.watch.ListedEngine;
import sandpaddle.fleet.verdict.watch.LocalObserver;

/**
 * Fleet-wide outlier detection without a leader: verdicts on engines, zones and tenants. Each gateway reports
 * evidence, voters relay it, and each gateway derives the verdicts from the evidence it has.
 *
 * <p>The evidence is a state-based replicated data type, its dissemination takes at most two hops, and the rules
 * ensure that no single gateway can eject an engine for the fleet. Staleness of a verdict: while connected, at most
 * two report intervals, two link delays and one evaluation; while partitioned, at most the evidence lease. Memory is
 * bounded by the bounds of {@link EvidenceStore}, {@link LocalObserver} and {@link EvidenceDissemination}.
 *
 * <p>Not thread-safe: owned by the fleet's thread. Times are monotonic microseconds and must not decrease.
 */
public final class FleetVerdicts {
    private final String self;
    private final VerdictSettings settings;
    private final EvidenceStore evidenceStore;
    private final EvidenceDissemination dissemination;
    private final VerdictEvaluator evaluator;
    private final LocalObserver observer;
    private VerdictSnapshot verdicts = VerdictSnapshot.NONE;

    /**
     * Creates the verdicts of one gateway.
     *
     * @param self name of this gateway
     * @param zone zone of this gateway
     * @param incarnation unlike that of any earlier process of this gateway; should be greater
     * @param settings settings of the verdicts
     * @param drift maximum relative difference between the monotonic clocks of two gateways
     * @param nowUs current time
     */
    public FleetVerdicts(
            String self, String zone, long incarnation, VerdictSettings settings, double drift, long nowUs) {
        this.self = self;
        this.settings = settings;
        evidenceStore = new EvidenceStore(settings);
        dissemination = new EvidenceDissemination(self, settings, drift, evidenceStore);
        evaluator = new VerdictEvaluator(self, settings, evidenceStore);
        observer = new LocalObserver(self, zone, incarnation, settings, nowUs);
        updateRoster(Map.of(self, zone), Set.of());
    }

    /** Sets the agreed members with their zones, and the voters. */
    public void updateRoster(Map<String, String> zoneOf, Set<String> voters) {
        evidenceStore.setMembers(zoneOf.keySet());
        dissemination.setRoles(voters, zoneOf);
        evaluator.updateRoster(zoneOf);
    }

    /** Sets the complete engine list; only the first {@code maxEngines} entries are used. */
    public void updateEngines(long nowUs, Collection<ListedEngine> entries) {
        List<ListedEngine> observed =
                entries.stream().limit(settings.maxEngines()).toList();
        observer.updateEngines(nowUs, observed);
        Map<String, Long> startUsByEngine = new HashMap<>();
        observed.forEach(entry -> startUsByEngine.put(entry.name(), entry.startedUs()));
        evaluator.updateEngines(startUsByEngine);
    }

    /** Sets the quota of each tenant in the whole fleet. */
    public void updateTenantQuotas(Map<String, Double> quotaOf) {
        evaluator.updateTenantQuotas(quotaOf);
    }

    /** Returns the observer that receives outcomes, health checks, data loads and tenant usage. */
    public LocalObserver observer() {
        return observer;
    }

    /**
     * Stores new evidence of this gateway, removes expired evidence and evaluates the verdicts. Has to be called every
     * {@code evidenceIntervalUs}.
     */
    public VerdictSnapshot tick(long nowUs) {
        evidenceStore.removeExpired(nowUs);
        for (EvidenceRecord record : observer.tick(nowUs, evaluator.accusedEngines(nowUs))) {
            evidenceStore.put(record, self, nowUs);
        }
        verdicts = evaluator.evaluate(nowUs);
        return verdicts;
    }

    /** Returns the engine verdicts that the decision module has to apply. */
    public List<FleetEngineVerdict> effectiveVerdicts(long nowUs) {
        return VerdictFilter.effectiveVerdicts(verdicts, observer, self, nowUs);
    }

    /**
     * Returns an upper bound for the time of the last load of a data group, or {@code defaultUs} if no later one is
     * known.
     */
    public long lastLoadUs(String group, long defaultUs) {
        return evidenceStore.lastLoadUs(group, defaultUs);
    }

    /**
     * Starts to exchange evidence on a new link.
     *
     * @param peer name of the gateway at the other end
     * @param incarnation incarnation of that gateway
     * @param openedUs time before which the peer cannot have sent anything on the link
     */
    public void linkUp(String peer, long incarnation, long openedUs) {
        dissemination.linkUp(peer, incarnation, openedUs);
    }

    /**
     * Returns the batch to send to a peer now, if any. Has to be called every {@code evidenceIntervalUs}; {@link
     * #batchSent} has to be called once the batch is queued on the link.
     */
    public Optional<EvidenceBatch> nextBatch(long nowUs, String peer) {
        return dissemination.nextBatch(nowUs, peer);
    }

    /** Records that the batch was queued on the link to the peer. */
    public void batchSent(String peer, EvidenceBatch batch) {
        dissemination.batchSent(peer, batch);
    }

    /** Merges a peer's batch and returns the number of records that were new. */
    public int batchReceived(long nowUs, String peer, EvidenceBatch batch) {
        batch.messages().stream()
                .filter(message -> message.reporter().equals(self))
                .mapToLong(EvidenceMessage::reporterIncarnation)
                .max()
                .ifPresent(known -> outrankEarlierProcess(nowUs, known));
        return dissemination.batchReceived(nowUs, peer, batch);
    }

    /**
     * Peers ignore evidence of an earlier incarnation. An earlier process of this gateway may have had a greater one:
     * it is drawn from the wall clock, which may have been set back.
     */
    private void outrankEarlierProcess(long nowUs, long knownIncarnation) {
        long current = observer.incarnation();
        if (knownIncarnation > current) {
            observer.setIncarnation(knownIncarnation + 1);
            evidenceStore.renewIncarnation(self, current, knownIncarnation + 1, nowUs);
        }
    }

    /** Returns all evidence that this gateway knows. */
    public EvidenceStore evidenceStore() {
        return evidenceStore;
    }
}
