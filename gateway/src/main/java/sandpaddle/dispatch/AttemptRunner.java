package sandpaddle.dispatch;

import java.time.Duration;
import java.time.Instant;
import sandpaddle.decision.Micros;
import sandpaddle.decision.action.SendAttempt;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.ProgressReported;
import sandpaddle.decision.event.ProgressTopic;
import sandpaddle.eventloop.Scheduler;
import sandpaddle.query.Answer;
import sandpaddle.query.AttemptEnd;
import sandpaddle.query.AttemptSpec;
import sandpaddle.query.EngineClient;
import sandpaddle.query.FleetCoordination;

/**
 * Starts the attempts that the decision module decides on, and reports their progress and end to the module, the fleet
 * and the admission control. A request has one attempt in flight at most.
 *
 * <p>Confined to the event loop's thread.
 */
final class AttemptRunner {
    private final Scheduler loop;
    private final EngineClient engines;
    private final FleetCoordination fleet;
    private final AdmissionControl admission;
    private final ActiveRequests requests;
    private final EventQueue events;

    AttemptRunner(
            Scheduler loop,
            EngineClient engines,
            FleetCoordination fleet,
            AdmissionControl admission,
            ActiveRequests requests,
            EventQueue events) {
        this.loop = loop;
        this.engines = engines;
        this.fleet = fleet;
        this.admission = admission;
        this.requests = requests;
        this.events = events;
    }

    /**
     * Starts an attempt. If its request or its engine changed in the turn in which the module decided on it, it is not
     * started and ends at once with {@link AttemptResult#CANCELLED_BEFORE_START}.
     */
    void start(SendAttempt action) {
        ActiveRequest request = requests.get(action.id());
        if (request == null) {
            return;
        }
        int number = request.nextAttempt();
        if (!mayStart(request, number, action.engine())) {
            events.addAttemptEnded(
                    request, number, action.engine(), AttemptResult.CANCELLED_BEFORE_START, Duration.ZERO, null);
            return;
        }
        AttemptSpec spec = spec(request, action);
        admission.attemptStarted(request);
        RequestLog.attemptStarted(request, number, action.engine());
        if (request.lastEnd() != null) {
            RequestLog.retried(request, number, action.engine(), loop.now());
        }
        request.setEngine(action.engine());
        requests.setQueued(request, false);
        RunningAttempt running = new RunningAttempt(request, number, action.engine(), spec.isFinal());
        EngineClient.AttemptHandle handle = engines.startAttempt(action.engine(), spec, running);
        if (!running.ended) {
            request.attemptStarted(handle);
        }
    }

    /** Checks the fleet's quotas last: an attempt that they cover is counted. */
    private boolean mayStart(ActiveRequest request, int number, String engine) {
        return request.isClientWaiting()
                && !request.hasAttemptInFlight()
                && requests.isAttemptAllowed(number)
                && loop.now().isBefore(request.deadline())
                && engines.isAvailable(engine)
                && fleet.tryStartAttempt(request.query(), request.classIndex(), engine);
    }

    private AttemptSpec spec(ActiveRequest request, SendAttempt action) {
        Instant requested =
                action.timeoutUs() == 0 ? request.deadline() : loop.now().plus(Micros.span(action.timeoutUs()));
        boolean isFinal = !requested.isBefore(request.deadline());
        Instant deadline = isFinal ? request.deadline() : requested;
        Instant writeDeadline =
                action.writeDeadlineUs() == 0 ? deadline : earlier(deadline, Micros.instant(action.writeDeadlineUs()));
        return new AttemptSpec(
                request.query(),
                request.memoryMb(),
                request.priority(),
                deadline,
                isFinal,
                action.trial(),
                writeDeadline,
                request::isClientWaiting);
    }

    private static Instant earlier(Instant one, Instant other) {
        return one.isBefore(other) ? one : other;
    }

    /** Reports on one attempt. */
    private final class RunningAttempt implements EngineClient.AttemptListener {
        private final ActiveRequest request;
        private final int number;
        private final String engine;
        private final boolean isFinal;
        private final Instant startedAt = loop.now();
        private final Runnable whenStopped;
        private boolean ended;

        RunningAttempt(ActiveRequest request, int number, String engine, boolean isFinal) {
            this.request = request;
            this.number = number;
            this.engine = engine;
            this.isFinal = isFinal;
            whenStopped = requests.attemptStarted(request);
        }

        @Override
        public Runnable whenStopped() {
            return whenStopped;
        }

        @Override
        public void onProgress(String topic, double value) {
            ProgressTopic known = ResultMapping.topic(topic);
            if (known != null) {
                events.add(new ProgressReported(request.id(), number, known, value));
            }
        }

        @Override
        public void onUnreachable() {
            RequestLog.engineUnreachable(request, number, engine);
            events.addHealthCheckEnded(engine, AttemptResult.CONNECT_FAILED, Duration.ZERO, null);
        }

        @Override
        public void onEnd(AttemptEnd end) {
            ended = true;
            request.attemptEnded(end);
            Duration elapsed = Duration.between(startedAt, loop.now());
            RequestLog.attemptEnded(request, number, engine, end, elapsed);
            AttemptResult result = ResultMapping.result(end);
            reportToFleet(end, result, elapsed);
            if (end instanceof AttemptEnd.Completed completed) {
                requests.finish(request, new Answer.Served(completed.rows()));
            }
            requests.setQueued(request, !request.isAnswered());
            if (!result.neverRan()) {
                request.setMayHaveRun();
            }
            admission.attemptEnded(engine, result);
            events.addAttemptEnded(request, number, engine, result, elapsed, ResultMapping.stats(end));
            requests.removeIfDone(request);
        }

        private void reportToFleet(AttemptEnd end, AttemptResult result, Duration elapsed) {
            fleet.attemptEnded(new FleetCoordination.EndedAttempt(
                    request.classIndex(),
                    request.query(),
                    engine,
                    result,
                    elapsed,
                    end instanceof AttemptEnd.Completed completed ? completed.rows() : null,
                    !isReportedBeforeItStopped(end)));
        }

        /** Whether no retry follows, so that the end was reported before the engine confirmed the cancel. */
        private boolean isReportedBeforeItStopped(AttemptEnd end) {
            return end instanceof AttemptEnd.Cancelled && request.isAnswered()
                    || end instanceof AttemptEnd.TimedOut && isFinal;
        }
    }
}
