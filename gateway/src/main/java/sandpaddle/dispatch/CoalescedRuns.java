package sandpaddle.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import sandpaddle.decision.Micros;
import sandpaddle.eventloop.Scheduler;
import sandpaddle.eventloop.TimerQueue;
import sandpaddle.log.LogEvent;
import sandpaddle.overload.LoadDeduplicator;
import sandpaddle.overload.OverloadSettings;
import sandpaddle.query.Answer;
import sandpaddle.query.Query;
import sandpaddle.query.QueryService;
import sandpaddle.query.ResultSet;

/**
 * Request coalescing for non-idempotent requests that name their run: all requests with the same name share one run and
 * its result, each within its own timeout. The run continues when its clients disconnect. {@link LoadDeduplicator}
 * decides how each request is handled, and bounds the number of runs and of cached results.
 *
 * <p>Confined to the event loop's thread.
 */
final class CoalescedRuns {
    private static final QueryService.PendingQuery ANSWERED = () -> {};

    /** Starts a run. */
    interface Starter {
        /**
         * Starts the run.
         *
         * @param query the query, with the timeout of the run
         * @param callback receives the answer, once
         */
        void start(Query query, Consumer<Answer> callback);
    }

    private static final class Run {
        private final String name;
        private final List<Waiter> waiters = new ArrayList<>();

        Run(String name) {
            this.name = name;
        }
    }

    /** A request that waits for a run. */
    private final class Waiter implements QueryService.PendingQuery {
        private final Run run;
        private final TimerQueue.Timer timeout;
        private Consumer<Answer> callback;

        Waiter(Run run, Query query, Consumer<Answer> callback) {
            this.run = run;
            this.callback = callback;
            timeout = loop.scheduleAfter(query.timeout(), this::timedOut);
            run.waiters.add(this);
        }

        private void timedOut() {
            answer(new Answer.Failed("still running; ask again with once=" + run.name + ", again=1"));
        }

        void answer(Answer answer) {
            Consumer<Answer> receiver = callback;
            clientDisconnected();
            if (receiver != null) {
                receiver.accept(answer);
            }
        }

        @Override
        public void clientDisconnected() {
            callback = null;
            timeout.cancel();
            run.waiters.remove(this);
        }
    }

    private final Scheduler loop;
    private final LoadDeduplicator<ResultSet> runs;
    private final Map<String, Run> running = new LinkedHashMap<>();

    CoalescedRuns(Scheduler loop, OverloadSettings.LoadDeduplication settings) {
        this.loop = loop;
        runs = new LoadDeduplicator<>(settings);
    }

    void applySettings(OverloadSettings.LoadDeduplication settings) {
        runs.updateSettings(settings);
    }

    /**
     * Handles a query that names its run.
     *
     * @param query the query
     * @param fingerprint hash of its statement: a name stands for one statement
     * @param runTimeout how long a run may take
     * @param callback receives the final answer, once
     * @param starter starts the run if this is the first request for it
     */
    QueryService.PendingQuery submit(
            Query query, long fingerprint, Duration runTimeout, Consumer<Answer> callback, Starter starter) {
        LoadDeduplicator.ClaimResult claimResult =
                runs.claim(Micros.of(loop.now()), query.runName(), fingerprint, query.mayHaveRun());
        logClaim(query, claimResult);
        switch (claimResult) {
            case RUN:
                return start(query, runTimeout, callback, starter);
            case JOIN:
                return new Waiter(running.get(query.runName()), query, callback);
            default:
                callback.accept(immediateAnswer(claimResult, query.runName()));
                return ANSWERED;
        }
    }

    private static void logClaim(Query query, LoadDeduplicator.ClaimResult claimResult) {
        if (LogEvent.isDebugOn()) {
            LogEvent.of("named run")
                    .trace(query.traceId())
                    .with("once", query.runName())
                    .with("verdict", claimResult.name())
                    .debug();
        }
    }

    private Waiter start(Query query, Duration runTimeout, Consumer<Answer> callback, Starter starter) {
        Run run = new Run(query.runName());
        running.put(run.name, run);
        Waiter first = new Waiter(run, query, callback);
        starter.start(query.withTimeout(runTimeout), answer -> ended(run, answer));
        return first;
    }

    /** The answer to a request that neither starts a run nor joins one. */
    private Answer immediateAnswer(LoadDeduplicator.ClaimResult claimResult, String name) {
        return switch (claimResult) {
            case SERVED -> new Answer.Served(runs.result(name));
            case SERVED_RESULT_DROPPED ->
                new Answer.Failed("once=" + name + " was served; its rows are no longer kept");
            case MAY_HAVE_RUN -> new Answer.Failed("once=" + name + " may have run; its end is not known");
            case UNKNOWN_KEY -> new Answer.Failed("once=" + name + " is not known here; its first run may have run");
            case OTHER_STATEMENT -> new Answer.Invalid("once=" + name + " stands for another statement");
            default -> new Answer.Rejected(Duration.ZERO);
        };
    }

    private void ended(Run run, Answer answer) {
        running.remove(run.name);
        long nowUs = Micros.of(loop.now());
        if (answer instanceof Answer.Served served) {
            long bytes = served.rows().pages().stream()
                    .mapToLong(page -> page.length)
                    .sum();
            runs.ended(nowUs, run.name, LoadDeduplicator.End.SERVED, served.rows(), bytes);
        } else {
            boolean neverRan = answer instanceof Answer.Rejected || answer instanceof Answer.Invalid;
            LoadDeduplicator.End end = neverRan ? LoadDeduplicator.End.NEVER_RAN : LoadDeduplicator.End.MAY_HAVE_RUN;
            runs.ended(nowUs, run.name, end, null, 0);
        }
        List.copyOf(run.waiters).forEach(waiter -> waiter.answer(answer));
    }
}
