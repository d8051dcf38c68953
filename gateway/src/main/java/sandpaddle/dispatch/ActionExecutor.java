package sandpaddle.dispatch;

import java.time.Duration;
import java.time.Instant;
import org.tinylog.Logger;
import sandpaddle.decision.Micros;
import sandpaddle.decision.action.Action;
import sandpaddle.decision.action.CancelAttempt;
import sandpaddle.decision.action.FailRequest;
import sandpaddle.decision.action.LogMessage;
import sandpaddle.decision.action.RejectRequest;
import sandpaddle.decision.action.ScheduleTimer;
import sandpaddle.decision.action.SendAttempt;
import sandpaddle.decision.action.SetAttemptOptions;
import sandpaddle.decision.action.StartHealthCheck;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.TimerFired;
import sandpaddle.eventloop.Scheduler;
import sandpaddle.query.Answer;
import sandpaddle.query.EngineClient;
import sandpaddle.query.FleetCoordination;

/**
 * Carries out the actions of the decision module, on the event loop's thread. Actions on requests that are no longer
 * active have no effect.
 */
final class ActionExecutor {
    private final Scheduler loop;
    private final EngineClient engines;
    private final FleetCoordination fleet;
    private final ActiveRequests requests;
    private final EventQueue events;
    private final AttemptRunner attempts;

    ActionExecutor(
            Scheduler loop,
            EngineClient engines,
            FleetCoordination fleet,
            ActiveRequests requests,
            EventQueue events,
            AttemptRunner attempts) {
        this.loop = loop;
        this.engines = engines;
        this.fleet = fleet;
        this.requests = requests;
        this.events = events;
        this.attempts = attempts;
    }

    /** Carries out one action. A request for the endpoint list is ignored: the watcher delivers the list anyway. */
    void execute(Action action) {
        if (action instanceof SendAttempt send) {
            attempts.start(send);
        } else if (action instanceof SetAttemptOptions options) {
            setOptions(options);
        } else if (action instanceof RejectRequest reject) {
            requests.answer(reject.id(), new Answer.Rejected(Micros.span(reject.retryAfterUs())));
        } else if (action instanceof FailRequest fail) {
            requests.answer(fail.id(), new Answer.Failed("no answer in time"));
        } else if (action instanceof CancelAttempt cancel) {
            cancelAttempt(cancel);
        } else if (action instanceof StartHealthCheck check) {
            checkHealth(check.engine());
        } else if (action instanceof ScheduleTimer timer) {
            loop.schedule(Micros.instant(timer.atUs()), () -> events.add(new TimerFired(timer.token())));
        } else if (action instanceof LogMessage message) {
            Logger.info(message.text());
        }
    }

    private void setOptions(SetAttemptOptions options) {
        ActiveRequest request = requests.get(options.id());
        if (request != null) {
            request.setOptions(options.priority(), options.memoryMb());
        }
    }

    private void cancelAttempt(CancelAttempt cancel) {
        ActiveRequest request = requests.get(cancel.id());
        if (request != null && request.isInFlight(cancel.attempt())) {
            request.cancelAttempt("decided by the module");
        }
    }

    private void checkHealth(String engine) {
        if (!engines.isAvailable(engine)) {
            events.addHealthCheckEnded(engine, AttemptResult.CANCELLED_BEFORE_START, Duration.ZERO, null);
            return;
        }
        Instant startedAt = loop.now();
        engines.checkHealth(engine, end -> {
            AttemptResult result = ResultMapping.result(end.kind());
            if (result != AttemptResult.CANCELLED_BEFORE_START) {
                fleet.healthCheckEnded(engine, result);
            }
            events.addHealthCheckEnded(engine, result, Duration.between(startedAt, loop.now()), end.stats());
        });
    }
}
