package sandpaddle.dispatch;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import sandpaddle.decision.Micros;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.eventloop.Scheduler;
import sandpaddle.overload.OverloadController;
import sandpaddle.overload.OverloadPhase;
import sandpaddle.overload.OverloadSettings;
import sandpaddle.overload.StatementFingerprint;
import sandpaddle.query.Answer;
import sandpaddle.query.Query;

/**
 * Admission control against retry storms: connects the dispatcher to {@link OverloadController}, which has neither
 * clock nor sockets. Reports arrivals, attempts and answers to it, puts its Retry-After on rejections, and logs its
 * phases. Does nothing while the operator has it disabled.
 *
 * <p>Confined to the event loop's thread.
 */
final class AdmissionControl {
    private final Scheduler loop;
    private final DecisionSettings decisionSettings;
    private final long seed;
    /** Passed to a controller that is enabled while serving. */
    private final Map<String, EngineEntry> availableEngines = new LinkedHashMap<>();

    private OverloadController overload; // null while disabled

    /**
     * Creates an admission control that is disabled until {@link #applySettings}.
     *
     * @param loop the event loop
     * @param decisionSettings the settings of the decision module
     * @param seed for the fingerprints of statements and for the jitter of Retry-After
     */
    AdmissionControl(Scheduler loop, DecisionSettings decisionSettings, long seed) {
        this.loop = loop;
        this.decisionSettings = decisionSettings;
        this.seed = seed;
    }

    /** Applies the operator's settings, at startup or while serving. */
    void applySettings(OverloadSettings settings) {
        if (!settings.enabled()) {
            overload = null;
        } else if (overload != null) {
            overload.updateSettings(settings);
        } else {
            overload = new OverloadController(decisionSettings, settings, seed, nowUs());
            overload.endpointListReceived(nowUs(), EngineListKind.FULL, List.copyOf(availableEngines.values()));
            tick(overload);
        }
    }

    private long nowUs() {
        return Micros.of(loop.now());
    }

    /** Runs every {@link OverloadController#TICK_INTERVAL_US} until this overload controller is disabled. */
    private void tick(OverloadController ticking) {
        if (ticking != overload) {
            return;
        }
        OverloadController.PhaseChange change = ticking.tick(nowUs());
        if (change != null) {
            RetryStormLog.phaseChanged(change);
        }
        loop.scheduleAfter(Micros.span(OverloadController.TICK_INTERVAL_US), () -> tick(ticking));
    }

    /** Whether a retry storm is in progress or being recovered from. */
    boolean isRetryStormActive() {
        return overload != null && overload.phase() != OverloadPhase.CALM;
    }

    void engineListReceived(EngineListReceived list) {
        if (list.kind() != EngineListKind.CHANGES) {
            availableEngines.clear();
        }
        for (EngineEntry entry : list.entries()) {
            if (entry.status() == EngineStatus.UP) {
                availableEngines.put(entry.id(), entry);
            } else {
                availableEngines.remove(entry.id());
            }
        }
        if (overload != null) {
            overload.endpointListReceived(nowUs(), list.kind(), list.entries());
        }
    }

    /** Records an arrival; returns its entry, null while disabled. */
    OverloadController.TrackedQuery requestReceived(Query query, int classIndex) {
        return overload == null
                ? null
                : overload.queryArrived(
                        nowUs(), fingerprint(query, classIndex), classIndex, Micros.of(query.estimatedWork()));
    }

    /** Hash of a class and a statement, by which a repeated request is recognized. */
    long fingerprint(Query query, int classIndex) {
        return StatementFingerprint.of(seed, classIndex, query.statement());
    }

    void attemptStarted(ActiveRequest request) {
        if (overload != null && request.trackedQuery() != null) {
            overload.attemptStarted(nowUs(), request.trackedQuery());
        }
    }

    void attemptEnded(String engine, AttemptResult result) {
        if (overload != null) {
            overload.attemptEnded(engine, result);
        }
    }

    /** Records a final answer; returns it as sent to the client, a rejection with its Retry-After. */
    Answer requestAnswered(ActiveRequest request, Answer answer) {
        OverloadController.TrackedQuery tracked = request.trackedQuery();
        if (overload == null || tracked == null) {
            return answer;
        }
        if (answer instanceof Answer.Rejected rejected) {
            long requestedUs = Micros.of(rejected.retryAfter());
            long retryAfterUs = overload.queryEnded(nowUs(), tracked, OverloadController.Outcome.REJECTED, requestedUs);
            return new Answer.Rejected(Micros.span(retryAfterUs));
        }
        OverloadController.Outcome outcome =
                answer instanceof Answer.Served ? OverloadController.Outcome.SERVED : OverloadController.Outcome.FAILED;
        overload.queryEnded(nowUs(), tracked, outcome, 0);
        return answer;
    }

    /** The client disconnected before its answer. */
    void clientDisconnected(ActiveRequest request) {
        if (overload != null && request.trackedQuery() != null) {
            overload.queryEnded(nowUs(), request.trackedQuery(), OverloadController.Outcome.CLIENT_DISCONNECTED, 0);
        }
    }

    /** Records a new connection; returns Retry-After if it is to be rejected, otherwise empty. */
    Optional<Duration> connectionOpened() {
        long retryAfterUs = overload == null ? 0 : overload.connectionOpened(nowUs());
        return retryAfterUs == 0 ? Optional.empty() : Optional.of(Micros.span(retryAfterUs));
    }

    /** Retry-After for a client or request beyond the gateway's limit; zero for none. */
    Duration retryAfterWhenFull() {
        return overload == null ? Duration.ZERO : Micros.span(overload.retryAfterWhenFull(nowUs()));
    }
}
