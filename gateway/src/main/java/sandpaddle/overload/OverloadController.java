package sandpaddle.overload;

import java.util.List;
import java.util.SplittableRandom;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.RequestClass;

/**
 * Overload control: detects retry storms, damps them, and ramps up load on a fleet that restarts. It has no sockets
 * and no clock: every call carries the time in microseconds, which never decreases, and all calls come from the loop
 * thread. It only advises: which engine runs a request, whether it is retried and what is rejected remain decisions of
 * the decision module, which gets the advice with the request. In normal operation it costs a hash of the statement
 * and a table lookup for each query. See docs/design/retry-storms.md.
 *
 * <p>{@link RetryStormDetector} holds the phase; {@link AdmissionController} decides what is admitted outside normal
 * operation; {@link RetryAfterScheduler} spreads the returns of rejected clients; {@link ConnectionRateLimiter} limits
 * reconnects. All state is bounded by the settings, the number of request classes and the endpoint list.
 */
public final class OverloadController {
    /** Interval between calls of {@link #tick} (us). */
    public static final long TICK_INTERVAL_US = 100_000;

    private static final long UNPLANNED_TIME_CONSTANT_US = 3_000_000; // of the rate of unplanned work
    private static final double MAX_AGE_OF_TIMELY_RETRY = 0.6; // share of the latency objective since its first arrival

    private static final double MIN_PLANNED_SHARE = 0.1; // of the admitted rate: returns are planned in any case

    /** How a query ended, as far as the client's next step depends on it. */
    public enum Outcome {
        SERVED,
        REJECTED,
        FAILED,
        CLIENT_DISCONNECTED
    }

    /** A query in flight; the caller holds it from its arrival to its end. */
    public static final class TrackedQuery {
        private final long fingerprint, firstArrivalUs;
        private final int attempts;
        private final double workUs;
        private final boolean isSheddable;
        private AdmissionController.Waiting waiting; // null if it is not queued
        private boolean sent;

        private TrackedQuery(long fingerprint, long firstArrivalUs, int attempts, double workUs, boolean isSheddable) {
            this.fingerprint = fingerprint;
            this.firstArrivalUs = firstArrivalUs;
            this.attempts = attempts;
            this.workUs = workUs;
            this.isSheddable = isSheddable;
        }

        /** Whether its statement was rejected recently, so that this is probably a retry. */
        public boolean isFromReturningClient() {
            return attempts > 1;
        }

        /** Whether overload control advises to shed it. */
        public boolean isSheddable() {
            return isSheddable;
        }
    }

    /** A change of phase, with the signals that caused it and figures for the log. */
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
    private final DecayingRate unplannedWork; // of first attempts and early returns (us)
    private OverloadSettings settings;
    private RetryAfterScheduler retryAfterScheduler;
    private long tickedAtUs, rejectedQueries, rejectedConnections;

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

    /** Applies new settings; estimates remain. The table of rejected statements keeps its size until the next start. */
    public void updateSettings(OverloadSettings next) {
        settings = next;
        detector.settings(next.detection());
        admission.settings(next.admissionLimits());
        connectionLimiter.settings(next.connectionLimits());
        retryAfterScheduler = retryAfterScheduler(next);
    }

    // ---- Clients.

    /** A query has arrived; {@code workUs} is its estimated work, 0 if unknown. */
    public TrackedQuery queryArrived(long nowUs, long fingerprint, int classIndex, long workUs) {
        if (workUs > 0) {
            admission.learnWork(classIndex, workUs);
        }
        double countedWorkUs = admission.countedWorkUs(classIndex, workUs);
        RejectedStatementTable.ReturningClient returningClient = rejectedStatements.claim(nowUs, fingerprint);
        detector.arrival(nowUs, returningClient != null);
        if (returningClient != null) {
            compliance.returned(nowUs, returningClient);
        }
        if (returningClient == null
                || returningClient.backAt() == 0
                || RetryAfterComplianceEstimator.isEarly(nowUs, returningClient)) {
            unplannedWork.add(nowUs, countedWorkUs);
        }
        boolean isSheddable = false;
        if (detector.phase() != OverloadPhase.CALM) {
            admission.fill(nowUs, timeUs -> capacityEstimator.capacityOrReturn(nowUs, timeUs));
            isSheddable = !admission.admits(
                    classIndex, kind(nowUs, classIndex, countedWorkUs, returningClient), countedWorkUs);
            rejectedQueries += isSheddable ? 1 : 0;
        }
        TrackedQuery query = new TrackedQuery(
                fingerprint,
                returningClient == null ? nowUs : returningClient.firstAt(),
                returningClient == null ? 1 : returningClient.tries() + 1,
                countedWorkUs,
                isSheddable);
        if (!isSheddable) {
            query.waiting = admission.enqueued(classIndex, countedWorkUs);
        }
        return query;
    }

    private AdmissionController.Kind kind(
            long nowUs, int classIndex, double countedWorkUs, RejectedStatementTable.ReturningClient returningClient) {
        if (returningClient == null) {
            return AdmissionController.Kind.FIRST;
        }
        RequestClass requestClass = decisionSettings.classes().get(classIndex);
        double objectiveUs = requestClass.latencyObjectiveUs()
                + requestClass.objectiveStretch() * countedWorkUs / requestClass.threads();
        return nowUs - returningClient.firstAt() <= MAX_AGE_OF_TIMELY_RETRY * objectiveUs
                ? AdmissionController.Kind.RETURN
                : AdmissionController.Kind.LATE_RETURN;
    }

    /** An attempt of the query has started; only the first call has an effect. */
    public void attemptStarted(long nowUs, TrackedQuery query) {
        if (!query.sent) {
            query.sent = true;
            admission.sent(nowUs, query.workUs, query.waiting);
            query.waiting = null;
        }
    }

    /**
     * The query has its final answer, or its client has disconnected.
     *
     * @param moduleRetryAfterUs the Retry-After that the decision module advises with a rejection, 0 for none
     * @return the Retry-After for the client (us), 0 for none; never over the platform's maximum
     */
    public long queryEnded(long nowUs, TrackedQuery query, Outcome outcome, long moduleRetryAfterUs) {
        detector.answer(nowUs, outcome == Outcome.SERVED);
        if (query.waiting != null) {
            admission.removed(query.waiting);
            query.waiting = null;
        }
        if (outcome == Outcome.SERVED) {
            return 0;
        }
        long retryAfterUs = outcome == Outcome.REJECTED ? retryAfter(nowUs, query.workUs, moduleRetryAfterUs) : 0;
        rejectedStatements.rejected(
                nowUs,
                query.fingerprint,
                query.firstArrivalUs,
                query.attempts,
                retryAfterUs > 0 ? nowUs + retryAfterUs : 0);
        compliance.rejected(nowUs);
        return retryAfterUs;
    }

    private long retryAfter(long nowUs, double workUs, long moduleRetryAfterUs) {
        if (!decisionSettings.limits().retryAfter()) {
            return 0;
        }
        if (detector.phase() == OverloadPhase.CALM) {
            return moduleRetryAfterUs;
        }
        return retryAfterScheduler.schedule(nowUs, workUs * compliance.returns(nowUs) * compliance.honours(nowUs));
    }

    /** A connection was opened: 0 to accept it, else the Retry-After to reject it with (us). */
    public long connectionOpened(long nowUs) {
        detector.connection(nowUs);
        if (connectionLimiter.takes(nowUs, detector.phase(), detector.usualConnections())) {
            return 0;
        }
        rejectedConnections++;
        return Math.max(1, retryAfter(nowUs, meanWorkUs(), 0));
    }

    /** The Retry-After for a connection that exceeds the limit on connections (us). */
    public long retryAfterWhenFull(long nowUs) {
        long maxUs = decisionSettings.limits().maxRetryAfterUs();
        return retryAfter(nowUs, meanWorkUs(), maxUs > 1 ? maxUs / 2 + random.nextLong(maxUs / 2) : 0);
    }

    /** Expected work of a connection's first query, before it is read: the mean over the classes. */
    private double meanWorkUs() {
        double sumUs = 0;
        for (int i = 0; i < decisionSettings.classes().size(); i++) {
            sumUs += admission.usualWork(i);
        }
        return sumUs / decisionSettings.classes().size();
    }

    // ---- Engines.

    /** The decision module has received an endpoint list. */
    public void endpointListReceived(long nowUs, EngineListKind kind, List<EngineEntry> entries) {
        capacityEstimator.listed(kind, entries);
    }

    /** An attempt has ended. */
    public void attemptEnded(String engine, AttemptResult result) {
        capacityEstimator.attempt(engine, result);
    }

    // ---- Time.

    /** To be called each {@link #TICK_INTERVAL_US}; null if the phase stays. */
    public PhaseChange tick(long nowUs) {
        double capacityCores = capacityEstimator.capacity(nowUs);
        admission.fill(nowUs, timeUs -> capacityEstimator.capacityOrReturn(nowUs, timeUs));
        if (detector.phase() == OverloadPhase.CALM) {
            admission.learnRate(nowUs, nowUs - tickedAtUs, capacityCores);
        }
        tickedAtUs = nowUs;
        RetryStormDetector.Change change = detector.evaluate(nowUs, capacityEstimator.answeringPart(nowUs));
        if (detector.phase() != OverloadPhase.CALM) {
            double unplannedUsPerS = unplannedWork.perSecond(nowUs);
            retryAfterScheduler.forecast(nowUs, timeUs -> {
                double admittedUsPerS = admission.rate(nowUs, timeUs);
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
                        change.signs(),
                        capacityCores,
                        admission.rate(),
                        compliance.honours(nowUs),
                        compliance.returns(nowUs));
    }

    // ---- Observation.

    /** The present phase. */
    public OverloadPhase phase() {
        return detector.phase();
    }

    /** Present figures, for logs and metrics. */
    public Stats stats(long nowUs) {
        return new Stats(
                detector.phase(),
                detector.signs(nowUs, capacityEstimator.answeringPart(nowUs)),
                capacityEstimator.capacity(nowUs),
                admission.rate(),
                admission.queuedWorkUs(),
                rejectedQueries,
                rejectedConnections,
                rejectedStatements.used(),
                rejectedStatements.capacity(),
                rejectedStatements.evicted(),
                compliance.honours(nowUs),
                compliance.returns(nowUs));
    }

    /**
     * Figures of overload control; counts are since the start, {@code admittedWorkUsPerS} is in microseconds per
     * second.
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
