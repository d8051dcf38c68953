package sandpaddle.overload;

import java.util.List;
import java.util.SplittableRandom;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.RequestClass;

/**
 * Overload control: detects retry storms, limits what is admitted during them, and ramps the load up on a fleet that
 * recovers. It only advises: which engine runs a request, whether it is retried and what is rejected are decided by the
 * decision module, which gets the advice with the request. In normal operation its cost for each query is a hash of the
 * statement and a table lookup. See docs/design/retry-storms.md.
 *
 * <p>{@link RetryStormDetector} holds the phase; {@link AdmissionController} decides what is admitted outside normal
 * operation; {@link RetryAfterScheduler} spreads the retries of rejected clients; {@link ConnectionRateLimiter} limits
 * reconnects. All state is bounded by the settings, the number of request classes and the endpoint list.
 *
 * <p>Confined to the event loop's thread. It has no sockets and no clock: each call passes the time in microseconds,
 * which never decreases.
 */
public final class OverloadController {
    /** Interval between calls of {@link #tick} (us). */
    public static final long TICK_INTERVAL_US = 100_000;

    private static final long UNPLANNED_TIME_CONSTANT_US = 3_000_000;
    private static final double MAX_AGE_OF_TIMELY_RETRY = 0.6; // of the latency objective, since its first arrival
    /** Share of the admitted rate in which retries are planned however much unplanned work there is. */
    private static final double MIN_PLANNED_SHARE = 0.1;

    /** How a query ended, as far as a retry by the client depends on it. */
    public enum Outcome {
        SERVED,
        REJECTED,
        FAILED,
        CLIENT_DISCONNECTED
    }

    /** A query in flight; the caller holds it from its arrival until it ends. */
    public static final class TrackedQuery {
        private final long fingerprint, firstArrivalUs;
        private final int arrivals;
        private final double workUs;
        private final boolean isSheddable;
        private AdmissionController.QueuedRequest queuedRequest; // null if it is not queued
        private boolean sent;

        private TrackedQuery(long fingerprint, long firstArrivalUs, int arrivals, double workUs, boolean isSheddable) {
            this.fingerprint = fingerprint;
            this.firstArrivalUs = firstArrivalUs;
            this.arrivals = arrivals;
            this.workUs = workUs;
            this.isSheddable = isSheddable;
        }

        /** Whether its statement was rejected or failed recently, so that this is probably a client's retry. */
        public boolean isFromReturningClient() {
            return arrivals > 1;
        }

        /** Whether overload control advises the decision module to reject it. */
        public boolean isSheddable() {
            return isSheddable;
        }
    }

    /**
     * A change of phase, for the log.
     *
     * @param from the phase before
     * @param to the phase entered
     * @param signals the signals that caused it
     * @param capacityCores cores of reachable engines, scaled by slow start
     * @param admittedWorkUsPerS expected rate of work sent to engines, in microseconds per second
     * @param complianceShare fraction of the clients retrying after a Retry-After that waited as long as advised
     * @param rejectedReturnShare fraction of the rejected clients that retry
     */
    public record PhaseChange(
            OverloadPhase from,
            OverloadPhase to,
            OverloadSignals signals,
            double capacityCores,
            double admittedWorkUsPerS,
            double complianceShare,
            double rejectedReturnShare) {}

    private final DecisionSettings decisionSettings;
    private final SplittableRandom random;
    private final RejectedStatementTable rejectedStatements;
    private final RetryStormDetector detector;
    private final EngineCapacityEstimator capacityEstimator;
    private final AdmissionController admission;
    private final ConnectionRateLimiter connectionLimiter;
    private final RetryAfterComplianceEstimator compliance;
    private final DecayingRate unplannedWork; // of first arrivals, and of retries without or before an advised time
    private OverloadSettings settings;
    private RetryAfterScheduler retryAfterScheduler;
    private long tickedAtUs, rejectedQueries, rejectedConnections;

    /**
     * Creates overload control in the phase CALM.
     *
     * @param decisionSettings request classes, engine kinds and platform limits
     * @param settings the operator's settings
     * @param seed seed of the jitter of Retry-After
     * @param nowUs the time
     */
    public OverloadController(DecisionSettings decisionSettings, OverloadSettings settings, long seed, long nowUs) {
        this.decisionSettings = decisionSettings;
        this.settings = settings;
        random = new SplittableRandom(seed);
        rejectedStatements = new RejectedStatementTable(
                settings.detection().maxEntries(), settings.detection().rememberUs());
        detector = new RetryStormDetector(settings.detection(), nowUs);
        capacityEstimator = new EngineCapacityEstimator(decisionSettings, nowUs);
        admission = new AdmissionController(decisionSettings, settings.admissionLimits(), nowUs);
        connectionLimiter = new ConnectionRateLimiter(settings.connectionLimits(), nowUs);
        compliance = new RetryAfterComplianceEstimator(nowUs);
        unplannedWork = new DecayingRate(UNPLANNED_TIME_CONSTANT_US, nowUs);
        retryAfterScheduler = retryAfterScheduler(settings);
        tickedAtUs = nowUs;
    }

    private RetryAfterScheduler retryAfterScheduler(OverloadSettings overloadSettings) {
        long maxUs = decisionSettings.limits().maxRetryAfterUs();
        long configuredUs = overloadSettings.retryAfterSchedule().maxUs();
        maxUs = configuredUs > 0 ? Math.min(configuredUs, maxUs) : maxUs;
        return new RetryAfterScheduler(
                overloadSettings.retryAfterSchedule().slotUs(),
                overloadSettings.retryAfterSchedule().minUs(),
                maxUs,
                random.split());
    }

    /**
     * Applies new settings. Estimates are kept and scheduled retries are forgotten. The table of rejected statements
     * keeps its size and its retention until overload control is created anew.
     */
    public void updateSettings(OverloadSettings next) {
        settings = next;
        detector.settings(next.detection());
        admission.settings(next.admissionLimits());
        connectionLimiter.settings(next.connectionLimits());
        retryAfterScheduler = retryAfterScheduler(next);
    }

    // ---- Clients.

    /**
     * Records the arrival of a query, and decides on its admission.
     *
     * @param nowUs the time
     * @param fingerprint {@link StatementFingerprint} of the query
     * @param classIndex position of its request class in the settings
     * @param workUs estimated work of the query, 0 if unknown
     * @return the query with the advice on it
     */
    public TrackedQuery queryArrived(long nowUs, long fingerprint, int classIndex, long workUs) {
        if (workUs > 0) {
            admission.updateUsualWork(classIndex, workUs);
        }
        double countedWorkUs = admission.countedWorkUs(classIndex, workUs);
        RejectedStatementTable.ReturningClient returningClient = rejectedStatements.claim(nowUs, fingerprint);
        detector.recordArrival(nowUs, returningClient != null);
        if (returningClient != null) {
            compliance.clientReturned(nowUs, returningClient);
        }
        if (returningClient == null
                || returningClient.returnAtUs() == 0
                || RetryAfterComplianceEstimator.isEarly(nowUs, returningClient)) {
            unplannedWork.add(nowUs, countedWorkUs);
        }
        boolean isSheddable = false;
        if (detector.phase() != OverloadPhase.CALM) {
            admission.refill(nowUs, timeUs -> capacityEstimator.capacityAssumingRestart(nowUs, timeUs));
            isSheddable = !admission.tryAdmit(
                    classIndex, kind(nowUs, classIndex, countedWorkUs, returningClient), countedWorkUs);
            rejectedQueries += isSheddable ? 1 : 0;
        }
        TrackedQuery query = new TrackedQuery(
                fingerprint,
                returningClient == null ? nowUs : returningClient.firstArrivalUs(),
                returningClient == null ? 1 : returningClient.arrivals() + 1,
                countedWorkUs,
                isSheddable);
        if (!isSheddable) {
            query.queuedRequest = admission.enqueued(classIndex, countedWorkUs);
        }
        return query;
    }

    private AdmissionController.Kind kind(
            long nowUs, int classIndex, double countedWorkUs, RejectedStatementTable.ReturningClient returningClient) {
        if (returningClient == null) {
            return AdmissionController.Kind.FIRST_ARRIVAL;
        }
        RequestClass requestClass = decisionSettings.classes().get(classIndex);
        double objectiveUs = requestClass.latencyObjectiveUs()
                + requestClass.objectiveStretch() * countedWorkUs / requestClass.threads();
        return nowUs - returningClient.firstArrivalUs() <= MAX_AGE_OF_TIMELY_RETRY * objectiveUs
                ? AdmissionController.Kind.RETRY
                : AdmissionController.Kind.LATE_RETRY;
    }

    /** Records that an attempt of the query has started; only the first call has an effect. */
    public void attemptStarted(long nowUs, TrackedQuery query) {
        if (!query.sent) {
            query.sent = true;
            admission.sent(nowUs, query.workUs, query.queuedRequest);
            query.queuedRequest = null;
        }
    }

    /**
     * Records that the query has its final answer or that its client has disconnected.
     *
     * @param nowUs the time
     * @param query the query
     * @param outcome how it ended
     * @param moduleRetryAfterUs the Retry-After that the decision module advises with a rejection, 0 for none
     * @return the Retry-After for the client (us), 0 for none; at most the platform's maximum
     */
    public long queryEnded(long nowUs, TrackedQuery query, Outcome outcome, long moduleRetryAfterUs) {
        detector.recordAnswer(nowUs, outcome == Outcome.SERVED);
        if (query.queuedRequest != null) {
            admission.removed(query.queuedRequest);
            query.queuedRequest = null;
        }
        if (outcome == Outcome.SERVED) {
            return 0;
        }
        long retryAfterUs = outcome == Outcome.REJECTED ? retryAfter(nowUs, query.workUs, moduleRetryAfterUs) : 0;
        rejectedStatements.rejected(
                nowUs,
                query.fingerprint,
                query.firstArrivalUs,
                query.arrivals,
                retryAfterUs > 0 ? nowUs + retryAfterUs : 0);
        compliance.clientRejected(nowUs);
        return retryAfterUs;
    }

    private long retryAfter(long nowUs, double workUs, long moduleRetryAfterUs) {
        if (!decisionSettings.limits().retryAfter()) {
            return 0;
        }
        if (detector.phase() == OverloadPhase.CALM) {
            return moduleRetryAfterUs;
        }
        return retryAfterScheduler.schedule(
                nowUs, workUs * compliance.returnShare(nowUs) * compliance.complianceShare(nowUs));
    }

    /** Records a new connection; returns 0 to accept it, else the Retry-After to reject it with (us). */
    public long connectionOpened(long nowUs) {
        detector.recordConnection(nowUs);
        if (connectionLimiter.tryAccept(nowUs, detector.phase(), detector.usualConnectionsPerS())) {
            return 0;
        }
        rejectedConnections++;
        return Math.max(1, retryAfter(nowUs, meanWorkUs(), 0));
    }

    /** Returns the Retry-After for a connection that exceeds the limit on open connections (us). */
    public long retryAfterWhenFull(long nowUs) {
        long maxUs = decisionSettings.limits().maxRetryAfterUs();
        return retryAfter(nowUs, meanWorkUs(), maxUs > 1 ? maxUs / 2 + random.nextLong(maxUs / 2) : 0);
    }

    /** The expected work of a connection's first query, which is not known yet: the mean over the classes. */
    private double meanWorkUs() {
        double sumUs = 0;
        for (int i = 0; i < decisionSettings.classes().size(); i++) {
            sumUs += admission.usualWorkUs(i);
        }
        return sumUs / decisionSettings.classes().size();
    }

    // ---- Engines.

    /** Records an endpoint list that the decision module has received. */
    public void endpointListReceived(long nowUs, EngineListKind kind, List<EngineEntry> entries) {
        capacityEstimator.endpointListReceived(kind, entries);
    }

    /** Records how an attempt on an engine has ended. */
    public void attemptEnded(String engine, AttemptResult result) {
        capacityEstimator.attemptEnded(engine, result);
    }

    // ---- Time.

    /**
     * Updates the estimates and the phase; to be called every {@link #TICK_INTERVAL_US}.
     *
     * @return the change of phase, null if there is none
     */
    public PhaseChange tick(long nowUs) {
        double capacityCores = capacityEstimator.capacityCores(nowUs);
        admission.refill(nowUs, timeUs -> capacityEstimator.capacityAssumingRestart(nowUs, timeUs));
        if (detector.phase() == OverloadPhase.CALM) {
            admission.updateUsualRate(nowUs, nowUs - tickedAtUs, capacityCores);
        }
        tickedAtUs = nowUs;
        RetryStormDetector.Change change = detector.evaluate(nowUs, capacityEstimator.reachableShare(nowUs));
        if (detector.phase() != OverloadPhase.CALM) {
            double unplannedUsPerS = unplannedWork.perSecond(nowUs);
            retryAfterScheduler.forecast(nowUs, timeUs -> {
                double admittedUsPerS = admission.expectedSendRateUsPerS(nowUs, timeUs);
                return Math.max(
                        admittedUsPerS * (1 - settings.retryAfterSchedule().unplannedShare()) - unplannedUsPerS,
                        admittedUsPerS * MIN_PLANNED_SHARE);
            });
        }
        return change == null
                ? null
                : new PhaseChange(
                        change.from(),
                        change.to(),
                        change.signals(),
                        capacityCores,
                        admission.sendRateUsPerS(),
                        compliance.complianceShare(nowUs),
                        compliance.returnShare(nowUs));
    }

    // ---- Statistics.

    /** The current phase. */
    public OverloadPhase phase() {
        return detector.phase();
    }

    /** Returns the current statistics, for logs and metrics. */
    public Stats stats(long nowUs) {
        return new Stats(
                detector.phase(),
                detector.signals(nowUs, capacityEstimator.reachableShare(nowUs)),
                capacityEstimator.capacityCores(nowUs),
                admission.sendRateUsPerS(),
                admission.queuedWorkUs(),
                rejectedQueries,
                rejectedConnections,
                rejectedStatements.usedEntries(),
                rejectedStatements.capacity(),
                rejectedStatements.evictions(),
                compliance.complianceShare(nowUs),
                compliance.returnShare(nowUs));
    }

    /**
     * Statistics of overload control; counts are since it was created.
     *
     * @param phase the current phase
     * @param signals the current signals
     * @param capacityCores cores of reachable engines, scaled by slow start
     * @param admittedWorkUsPerS expected rate of work sent to engines, in microseconds per second
     * @param queuedWorkUs admitted work that is queued for engines
     * @param rejectedQueries queries that were advised to be rejected
     * @param rejectedConnections connections rejected by the rate limit
     * @param rememberedStatements entries in use in the table of rejected statements
     * @param maxRememberedStatements size of that table
     * @param evictedStatements entries evicted from that table before they expired
     * @param complianceShare fraction of the clients retrying after a Retry-After that waited as long as advised
     * @param rejectedReturnShare fraction of the rejected clients that retry
     */
    public record Stats(
            OverloadPhase phase,
            OverloadSignals signals,
            double capacityCores,
            double admittedWorkUsPerS,
            double queuedWorkUs,
            long rejectedQueries,
            long rejectedConnections,
            int rememberedStatements,
            int maxRememberedStatements,
            long evictedStatements,
            double complianceShare,
            double rejectedReturnShare) {}
}
