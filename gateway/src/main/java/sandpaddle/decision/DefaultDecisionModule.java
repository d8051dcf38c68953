package sandpaddle.decision;

import java.util.function.Consumer;
import sandpaddle.decision.action.Action;
import sandpaddle.decision.action.ScheduleTimer;
import sandpaddle.decision.event.AttemptEnded;
import sandpaddle.decision.event.ClientDisconnected;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.decision.event.EngineVerdictsChanged;
import sandpaddle.decision.event.Event;
import sandpaddle.decision.event.HealthCheckEnded;
import sandpaddle.decision.event.ProgressReported;
import sandpaddle.decision.event.QuotasChanged;
import sandpaddle.decision.event.RequestReceived;
import sandpaddle.decision.event.TimerFired;
import sandpaddle.decision.model.EngineState;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.model.PendingRequest;
import sandpaddle.decision.model.Sweep;
import sandpaddle.decision.settings.DecisionSettings;

/**
 * The decision module of one gateway. Each subpackage is responsible for one concern and owns its state; this class
 * dispatches events to them and runs the periodic sweep. A package depends only on those before it in this list:
 *
 * <ul>
 *   <li>{@code model}: state of engines and requests, and the event being handled
 *   <li>{@code loadview}: load of engines, estimates of latency and work for each class, arrival rate and traffic share
 *   <li>{@code verdict}: the fleet's verdicts on engines
 *   <li>{@code slowstart}: rate limit of engines that are warming up
 *   <li>{@code concurrency}: concurrency limits and detection of overload
 *   <li>{@code retry}: retries, their budget, and ordering by key
 *   <li>{@code outlier}: ejection of engines
 *   <li>{@code healthcheck}: health checks
 *   <li>{@code enginelist}: engine lists
 *   <li>{@code quota}: quotas of fleet-wide limits
 *   <li>{@code candidates}: the engines eligible for a request
 *   <li>{@code balancing}: the choice among them
 *   <li>{@code completion}: completion of attempts and requests
 *   <li>{@code admission}: the request queue, and sending attempts
 * </ul>
 */
public final class DefaultDecisionModule implements DecisionModule {
    /** Token of the timer that triggers the next sweep. */
    private static final String SWEEP_TOKEN = "sweep";
    /**
     * Time between two events (us) above which this gateway counts as stalled. Once sweeps have started, a timer event
     * is due in every sweep interval, so a longer time means that a sweep is several intervals late.
     */
    private static final long MIN_STALL_US = 4 * Sweep.INTERVAL_US;

    final DecisionParts parts;
    private final EventContext context;
    private boolean sweepsStarted; // a sweep is scheduled at all times from the first request or engine list on

    /** Creates a module that knows no engines yet; {@code seed} seeds its random generator. */
    public DefaultDecisionModule(DecisionSettings settings, long seed) {
        parts = new DecisionParts(settings, seed);
        context = parts.context;
    }

    @Override
    public void handle(long nowUs, Event event, Consumer<Action> actions) {
        boolean stalled = sweepsStarted && nowUs - context.nowUs() > MIN_STALL_US;
        context.begin(nowUs, actions);
        if (stalled) {
            context.recordStall();
        }
        dispatch(event);
        // no admission pass after a health check or a progress report: the timer event of the next sweep runs one
        if (!(event instanceof HealthCheckEnded || event instanceof ProgressReported)) {
            parts.admissionQueue.admit();
            parts.completion.giveUpExpectedLate();
        }
    }

    private void dispatch(Event event) {
        if (event instanceof RequestReceived received) {
            startSweeps();
            parts.intake.receive(received);
        } else if (event instanceof AttemptEnded ended) {
            parts.attemptCompletion.end(ended);
        } else if (event instanceof EngineListReceived list) {
            receiveList(list);
        } else if (event instanceof QuotasChanged quotas) {
            parts.quotaCheck.replace(quotas);
        } else if (event instanceof EngineVerdictsChanged changed) {
            parts.verdicts.replace(changed);
            parts.slowStart.beginAfterWarmingUpVerdicts();
        } else if (event instanceof ClientDisconnected disconnected) {
            abandon(disconnected);
        } else if (event instanceof HealthCheckEnded ended) {
            recordHealthCheck(ended);
        } else if (event instanceof ProgressReported progress) {
            parts.attemptCompletion.recordProgress(progress);
        } else if (event instanceof TimerFired) {
            sweep();
        }
    }

    private void receiveList(EngineListReceived list) {
        if (list.kind() != EngineListKind.FAILED) {
            parts.engineLists.receive(list);
            startSweeps();
        }
    }

    private void abandon(ClientDisconnected disconnected) {
        PendingRequest request = parts.requests.find(disconnected.id());
        if (request != null) {
            parts.completion.abandon(request);
        }
    }

    private void recordHealthCheck(HealthCheckEnded ended) {
        EngineState engine = parts.engines.find(ended.engine());
        if (engine != null) {
            parts.healthChecks.recordResult(engine, ended);
        }
    }

    private void startSweeps() {
        if (!sweepsStarted) {
            sweepsStarted = true;
            parts.arrivals.start();
            scheduleSweep();
        }
    }

    private void scheduleSweep() {
        context.emit(new ScheduleTimer(SWEEP_TOKEN, context.nowUs() + Sweep.INTERVAL_US));
    }

    private void sweep() {
        parts.arrivals.update();
        parts.traffic.update();
        parts.inFlightLoad.releaseExpired();
        // after a stall, answers that arrived during it must be handled before an attempt is judged as late
        if (context.nowUs() - context.lastStallAtUs() >= Sweep.INTERVAL_US) {
            parts.silence.checkAll();
            parts.overload.checkLateness();
        }
        parts.overload.updateFleet();
        parts.slowStart.updateWarmRate();
        parts.healthChecks.sweep();
        parts.keyOrdering.dropIdle();
        scheduleSweep();
    }
}
