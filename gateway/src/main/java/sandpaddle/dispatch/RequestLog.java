package sandpaddle.dispatch;

import java.time.Duration;
import java.time.Instant;
import sandpaddle.decision.Micros;
import sandpaddle.decision.settings.RequestClass;
import sandpaddle.log.LogEvent;
import sandpaddle.query.Answer;
import sandpaddle.query.AttemptEnd;

/**
 * Log of the steps of each request, with its trace id on each line: retries of what may have run at level INFO, other
 * steps at level DEBUG, which cost only the check of a flag while debug lines are off. The keys and the messages are
 * read by scripts; docs/operators/rare-moments.md explains them.
 */
final class RequestLog {
    private static final long US_PER_MS = 1000;

    private RequestLog() {}

    private static LogEvent line(ActiveRequest request, String step) {
        return LogEvent.of(step)
                .trace(request.query().traceId())
                .with("route", request.query().route());
    }

    private static LogEvent attemptLine(ActiveRequest request, String step, int attempt, String engine) {
        return line(request, step).with("attempt", attempt).with("engine", engine);
    }

    /**
     * Logs that a request was accepted.
     *
     * @param request the request
     * @param requestClass its class, with the priority weight and the latency objective
     */
    static void received(ActiveRequest request, RequestClass requestClass) {
        if (!LogEvent.isDebugOn()) {
            return;
        }
        long uncontendedUs = Micros.of(request.query().estimatedWork()) / requestClass.threads();
        long objectiveUs = requestClass.latencyObjectiveUs() + (long) (requestClass.objectiveStretch() * uncontendedUs);
        LogEvent event = line(request, "taken")
                .with("patience_ms", request.query().timeout().toMillis())
                .with("work_ms", request.query().estimatedWork().toMillis())
                .with("worth", requestClass.priorityWeight())
                .with("late_worth", requestClass.latePriorityWeight())
                .with("effect", requestClass.idempotency().name())
                .with("due_ms", objectiveUs / US_PER_MS);
        if (request.trackedQuery() != null) {
            event.with("returns", String.valueOf(request.trackedQuery().isFromReturningClient()))
                    .with("yields", String.valueOf(request.trackedQuery().isSheddable()));
        }
        event.debug();
    }

    static void attemptStarted(ActiveRequest request, int attempt, String engine) {
        if (LogEvent.isDebugOn()) {
            attemptLine(request, "sent", attempt, engine)
                    .with("priority", request.priority())
                    .debug();
        }
    }

    /** Logs that a request is retried, with the end of its previous attempt: at level INFO if that may have run. */
    static void retried(ActiveRequest request, int attempt, String engine, Instant now) {
        boolean isHarmless = ResultMapping.result(request.lastEnd()).neverRan();
        if (isHarmless && !LogEvent.isDebugOn()) {
            return;
        }
        LogEvent event = attemptLine(request, "retried", attempt, engine)
                .with("previous", request.engine())
                .with("after", request.lastEnd().getClass().getSimpleName())
                .with("why", ResultMapping.reason(request.lastEnd()))
                .with("ms", request.age(now).toMillis());
        if (isHarmless) {
            event.debug();
        } else {
            event.info();
        }
    }

    /** Logs that the attempt in flight is cancelled, and why. */
    static void attemptCancelled(ActiveRequest request, String reason) {
        if (LogEvent.isDebugOn()) {
            attemptLine(request, "attempt cancelled", request.attempts() - 1, request.engine())
                    .with("why", reason)
                    .debug();
        }
    }

    static void engineUnreachable(ActiveRequest request, int attempt, String engine) {
        if (LogEvent.isDebugOn()) {
            attemptLine(request, "engine unreachable", attempt, engine).debug();
        }
    }

    static void attemptEnded(ActiveRequest request, int attempt, String engine, AttemptEnd end, Duration elapsed) {
        if (LogEvent.isDebugOn()) {
            LogEvent event = attemptLine(request, "attempt ended", attempt, engine)
                    .with("end", end.getClass().getSimpleName())
                    .with("why", ResultMapping.reason(end))
                    .with("ms", elapsed.toMillis());
            String stats = ResultMapping.stats(end);
            if (stats != null) {
                event.with("report", stats);
            }
            event.debug();
        }
    }

    static void answered(ActiveRequest request, Answer answer, Instant now) {
        if (LogEvent.isDebugOn()) {
            LogEvent event = line(request, "answered")
                    .with("answer", answer.getClass().getSimpleName())
                    .with("attempts", request.attempts())
                    .with("ms", request.age(now).toMillis());
            if (answer instanceof Answer.Rejected rejected) {
                event.with("pause_ms", rejected.retryAfter().toMillis());
            } else if (answer instanceof Answer.Failed failed) {
                event.with("why", failed.reason());
            }
            event.debug();
        }
    }

    static void clientDisconnected(ActiveRequest request) {
        if (LogEvent.isDebugOn()) {
            line(request, "its client left")
                    .with("attempts", request.attempts())
                    .debug();
        }
    }

    /** Logs that a request was answered without the decision module, which had not answered it in time. */
    static void decisionTimedOut(ActiveRequest request) {
        line(request, "no decision in time")
                .with("attempts", request.attempts())
                .warn();
    }
}
