package sandpaddle.fleet.verdict.watch;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import sandpaddle.fleet.verdict.VerdictSettings;
import sandpaddle.fleet.verdict.evidence.EvidenceRecord;
import sandpaddle.fleet.verdict.evidence.Finding;
import sandpaddle.fleet.verdict.evidence.Subject;
import sandpaddle.fleet.verdict.evidence.Topic;

/**
 * Turns the observations of one gateway into evidence: outcomes of attempts, health checks, the engine list, tenant
 * usage, completed data loads, and delays of its own ticks. A healthy engine is reported only if a gateway accuses it
 * or to end an own accusation, so a healthy fleet sends only heartbeats and reachability.
 *
 * <p>Memory: {@code maxEngines} engines with {@link EngineOutcomes#CAPACITY} outcomes each, {@link #MAX_TENANTS}
 * tenants. Not thread-safe: owned by the fleet's thread. Times are monotonic microseconds.
 */
public final class LocalObserver {
    /** Maximum number of tenants whose usage is reported: those with the highest usage. */
    public static final int MAX_TENANTS = 64;

    private final String self;
    private final String zone;
    private final VerdictSettings settings;
    private final EvidenceReporter reporter;
    private final LocalHealth localHealth;
    private final ReachabilityTracker reachability;
    private final EngineListTracker engineList;
    private Map<String, EngineOutcomes> engines = new LinkedHashMap<>();
    private Map<String, Double> usageByTenant = Map.of();
    private boolean hasEngineList;
    private long selfFindingSinceUs;
    private Finding selfFinding = Finding.SELF_HEALTHY;

    /**
     * Creates the observer of one gateway.
     *
     * @param self name of this gateway
     * @param zone zone of this gateway
     * @param incarnation greater than that of any earlier process of this gateway
     * @param settings settings of the verdicts
     * @param nowUs current time
     */
    public LocalObserver(String self, String zone, long incarnation, VerdictSettings settings, long nowUs) {
        this.self = self;
        this.zone = zone;
        this.settings = settings;
        reporter = new EvidenceReporter(
                self, incarnation, settings.evidenceLeaseUs(), settings.renewIntervalUs(), settings.minOutcomes());
        localHealth = new LocalHealth(settings.evidenceIntervalUs(), nowUs);
        reachability = new ReachabilityTracker(settings.evidenceLeaseUs());
        engineList = new EngineListTracker(settings.announceDurationUs());
        selfFindingSinceUs = nowUs;
    }

    /** Returns the incarnation of this gateway's evidence. */
    public long incarnation() {
        return reporter.incarnation();
    }

    /** Changes the incarnation of this gateway's evidence to a later one. */
    public void setIncarnation(long next) {
        reporter.setIncarnation(next);
    }

    /** Sets the complete engine list; engines past {@code maxEngines} are not observed. */
    public void updateEngines(long nowUs, Collection<ListedEngine> entries) {
        Map<String, EngineOutcomes> next = new LinkedHashMap<>();
        long firstListedUs =
                hasEngineList ? nowUs : Long.MIN_VALUE / 2; // engines of the first list have no predecessors
        for (ListedEngine entry : entries) {
            if (next.size() >= settings.maxEngines()) {
                break;
            }
            EngineOutcomes previous = engines.get(entry.name());
            boolean isSameStart = previous != null && previous.listed.startedUs() == entry.startedUs();
            next.put(
                    entry.name(),
                    isSameStart
                            ? previous.withListEntry(entry)
                            : new EngineOutcomes(entry, settings.evidenceLeaseUs(), firstListedUs));
            engineList.engineListed(nowUs, previous == null ? null : previous.listed, entry, !hasEngineList);
        }
        engines = next;
        hasEngineList = true;
    }

    /**
     * Records the outcome of an attempt. An attempt without answer is ignored while this gateway is stalled, since the
     * answer may have arrived unread.
     *
     * @param nowUs current time
     * @param engine name of the engine
     * @param outcome outcome of the attempt
     * @param latencyUs time since the attempt was sent
     * @param expectedUs expected latency, 0 if unknown
     */
    public void attemptEnded(long nowUs, String engine, AttemptOutcome outcome, long latencyUs, long expectedUs) {
        EngineOutcomes outcomes = engines.get(engine);
        if (outcomes == null || !outcome.isAnswered() && localHealth.isStalled(nowUs)) {
            return;
        }
        outcomes.add(nowUs, outcome, latencyUs, expectedUs);
        boolean isOutside = !outcomes.listed.zone().equals(zone);
        if (outcome.isAnswered()) {
            reachability.answered(nowUs, isOutside);
        } else {
            reachability.unanswered(nowUs, engine, isOutside);
        }
    }

    /**
     * Records that an engine answered a load report or health check. That shows that it is reachable, but not that it
     * answers queries.
     */
    public void answerReceived(long nowUs, String engine) {
        EngineOutcomes outcomes = engines.get(engine);
        if (outcomes != null) {
            reachability.answered(nowUs, !outcomes.listed.zone().equals(zone));
        }
    }

    /**
     * Records that an engine did not answer a health check. While no attempts are sent to unresponsive engines, this is
     * the only evidence that they are still unreachable.
     */
    public void healthCheckUnanswered(long nowUs, String engine) {
        EngineOutcomes outcomes = engines.get(engine);
        if (outcomes != null && !localHealth.isStalled(nowUs)) {
            reachability.unanswered(nowUs, engine, !outcomes.listed.zone().equals(zone));
        }
    }

    /** Records that a load of a data group completed at this gateway. */
    public void loadCompleted(long nowUs, String group) {
        reporter.report(nowUs, new Subject(Topic.DATA_LOAD, group), Finding.CHANGED, 0, 1, 0, nowUs, nowUs);
    }

    /** Sets the current usage by tenant, in the unit of the tenants' quotas. */
    public void updateTenantUsage(Map<String, Double> usage) {
        Map<String, Double> next = new TreeMap<>();
        usage.entrySet().stream()
                .filter(entry -> entry.getValue() > 0)
                .sorted(Map.Entry.<String, Double>comparingByValue(Comparator.reverseOrder())
                        .thenComparing(Map.Entry.comparingByKey()))
                .limit(MAX_TENANTS)
                .forEach(entry -> next.put(entry.getKey(), entry.getValue()));
        usageByTenant.forEach((tenant, previousUsage) -> {
            if (previousUsage > 0) {
                next.putIfAbsent(tenant, 0.0); // reported once more, so that the sum decreases at once
            }
        });
        usageByTenant = next;
    }

    /**
     * Returns the new evidence to disseminate. Has to be called every {@code evidenceIntervalUs}: a late call makes
     * this gateway suspect itself.
     *
     * @param nowUs current time
     * @param accused engines that any gateway accuses
     */
    public List<EvidenceRecord> tick(long nowUs, Set<String> accused) {
        int enginesWithFinding = 0;
        int faultyEngines = 0;
        int answers = 0;
        int failed = 0;
        for (EngineOutcomes engine : engines.values()) {
            engine.countRecent(nowUs);
            answers += engine.answers();
            failed += engine.failed();
        }
        for (EngineOutcomes engine : engines.values()) {
            int otherAnswers = answers - engine.answers();
            engine.evaluate(nowUs, otherAnswers == 0 ? 0 : (double) (failed - engine.failed()) / otherAnswers);
            enginesWithFinding += engine.finding() == null ? 0 : 1;
            faultyEngines += engine.finding() != null && engine.finding().isEngineFault() ? 1 : 0;
        }
        localHealth.tick(nowUs, enginesWithFinding, faultyEngines);
        reportSelfHealth(nowUs);
        engines.values().forEach(engine -> reportEngineHealth(nowUs, engine, accused));
        engineList.reportChanges(nowUs, engines, reporter);
        usageByTenant.forEach((tenant, usage) -> reporter.report(
                nowUs, new Subject(Topic.TENANT_USAGE, tenant), Finding.USAGE, 0, 1, usage, nowUs, nowUs));
        return reporter.drainPending(nowUs);
    }

    private void reportSelfHealth(long nowUs) {
        Finding finding = localHealth.finding();
        if (finding != selfFinding) {
            selfFinding = finding;
            selfFindingSinceUs = nowUs;
        }
        reporter.report(
                nowUs,
                new Subject(Topic.SELF_HEALTH, this.self),
                finding,
                0,
                localHealth.score(),
                0,
                selfFindingSinceUs,
                nowUs);
        reachability.evaluate(nowUs, (int) engines.values().stream()
                .filter(engine -> !engine.listed.zone().equals(zone))
                .count());
        if (reachability.finding() != null) {
            reporter.report(
                    nowUs,
                    new Subject(Topic.REACHABILITY, this.self),
                    reachability.finding(),
                    0,
                    reachability.strength(),
                    0,
                    reachability.sinceUs(),
                    reachability.observedAtUs());
        }
    }

    private void reportEngineHealth(long nowUs, EngineOutcomes engine, Set<String> accused) {
        Finding finding = engine.finding();
        Subject subject = new Subject(Topic.HEALTH, engine.listed.name());
        if (finding == null) {
            return; // the last report expires with its lease
        }
        Finding lastReported = reporter.lastFinding(nowUs, subject);
        if (finding.isEngineFault()
                || accused.contains(engine.listed.name())
                || lastReported != null && lastReported.isEngineFault()) {
            reporter.report(
                    nowUs,
                    subject,
                    finding,
                    engine.listed.startedUs(),
                    engine.strength(),
                    0,
                    engine.sinceUs(),
                    engine.observedAtUs());
        }
    }

    /** Returns this gateway's own health as reported to the other gateways. */
    public Finding selfFinding() {
        return selfFinding;
    }

    /** Returns the number of successful answers of an engine since a time, within the last lease. */
    public int successesSince(long nowUs, String engine, long fromUs) {
        EngineOutcomes outcomes = engines.get(engine);
        return outcomes == null ? 0 : outcomes.successesSince(nowUs, fromUs);
    }
}
