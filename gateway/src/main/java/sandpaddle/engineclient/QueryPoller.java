package sandpaddle.engineclient;

import java.time.Duration;
import java.time.Instant;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.log.LogEvent;
import sandpaddle.query.AttemptEnd;
import sandpaddle.query.AttemptSpec;
import sandpaddle.query.EngineClient;

/**
 * Runs one query at its engine: the POST, long polls until its end, and the further pages. A response that is lost or
 * malformed is polled again on another connection; polling does not run the query again. {@link ResponseClassification}
 * defines what each response proves.
 *
 * <p>Confined to the event loop's thread.
 */
final class QueryPoller implements QueryCalls.Listener {
    /** Header with the engine's statistics line. */
    static final String STATS_HEADER = "x-stats";

    /** A response within this time was not delayed by the engine as that of a long poll is. */
    private static final Duration MIN_POLL_INTERVAL = Duration.ofMillis(50);

    /** Limit on malformed responses of one query. */
    private static final int MAX_MALFORMED_RESPONSES = 6;

    /** The attempt that the query is run for. */
    interface Owner {
        /** Whether the attempt is in flight: neither cancelled nor ended. */
        boolean isInFlight();

        /** Ends the attempt. */
        void end(AttemptEnd end);

        /** Ends the attempt once its engine has been told to stop. */
        void endAfterCancel(AttemptEnd end);
    }

    private final EventLoop loop;
    private final ConnectionPool pool;
    private final String engine;
    private final AttemptSpec spec;
    private final EngineClient.AttemptListener listener;
    private final Owner owner;
    private final QueryCalls calls;
    private final ProgressReports progress;
    private final ResultPages pages = new ResultPages();
    private int malformedResponses;
    private boolean postMaybeSent;
    private boolean knownToEngine; // a response has shown that the engine accepted the query
    private boolean responseLost; // to an earlier call
    private String stats; // the latest statistics line, null before the first

    QueryPoller(
            EventLoop loop,
            ConnectionPool pool,
            String engine,
            AttemptSpec spec,
            EngineClient.AttemptListener listener,
            Owner owner) {
        this.loop = loop;
        this.pool = pool;
        this.engine = engine;
        this.spec = spec;
        this.listener = listener;
        this.owner = owner;
        calls = new QueryCalls(loop, pool, spec.traceId(), this);
        progress = new ProgressReports(listener);
    }

    /** Writes the POST on an established connection. */
    void start(EngineConnection connection) {
        Duration remaining = Duration.between(loop.now(), spec.deadline());
        if (LogEvent.isDebugOn()) {
            line("written", 0)
                    .with("new", String.valueOf(!connection.wasUsed()))
                    .debug();
        }
        calls.post(connection, RequestEncoder.startQuery(pool.host(), spec, remaining));
    }

    /** Stops polling and abandons the call in flight; returns when the engine may have been reached last. */
    Instant stop() {
        return calls.stop();
    }

    /** Whether a response has shown that the engine has read the POST. */
    boolean isKnownToEngine() {
        return knownToEngine;
    }

    /** Releases the connection of the last response to the pool. */
    void release() {
        calls.release();
    }

    @Override
    public boolean isActive() {
        return owner.isInFlight();
    }

    @Override
    public void onUnreachable() {
        listener.onUnreachable();
    }

    @Override
    public void onQueryLost(String reason) {
        owner.end(new AttemptEnd.ConnectionLost(reason));
    }

    // ---- Calls without a readable response.

    @Override
    public void onCallFailed(EngineConnection.Failure failure, String reason, boolean maybeSent, int page) {
        logFailure(failure, reason, maybeSent, page);
        if (!owner.isInFlight()) {
            return;
        }
        if (!maybeSent && !postMaybeSent) {
            owner.end(new AttemptEnd.NotConnected(reason));
        } else if (failure == EngineConnection.Failure.MALFORMED) {
            onMalformedResponse(reason, pages.removeLast()); // the bytes may be the rest of the page before
        } else if (calls.isBrokenTooOften(failure)) {
            owner.endAfterCancel(new AttemptEnd.ConnectionLost(reason));
        } else {
            postMaybeSent = true;
            responseLost = true;
            calls.pollOnNewConnection(page);
        }
    }

    /** Polls again on another connection: the query has run and the engine keeps its result. */
    private void onMalformedResponse(String reason, int page) {
        postMaybeSent = true;
        responseLost = true;
        if (++malformedResponses > MAX_MALFORMED_RESPONSES) {
            owner.endAfterCancel(new AttemptEnd.Failed(reason, stats));
            return;
        }
        calls.closeReserved();
        calls.pollOnNewConnection(page);
    }

    // ---- Responses.

    @Override
    public void onResponse(Response response, int page, boolean newConnection) {
        ResponseClassification classification = ResponseClassification.of(
                response,
                new ResponseClassification.Call(!postMaybeSent, page, newConnection, knownToEngine, responseLost));
        logResponse(response, page, newConnection, classification);
        postMaybeSent = true;
        stats = response.header(STATS_HEADER) != null ? response.header(STATS_HEADER) : stats;
        if (classification != ResponseClassification.CONNECTION_DECLINED) {
            calls.queryAnswered();
        }
        knownToEngine |= classification.provesAcceptance();
        switch (classification) {
            case RESULT -> onPage(response, page);
            case OVERLONG_RESULT -> onMalformedResponse("bytes behind result page " + page, page);
            case IN_PROGRESS -> onProgress(response, newConnection);
            case DECLINED -> endDeclined(new AttemptEnd.Rejected(stats));
            case EXPIRED -> endDeclined(new AttemptEnd.Expired(stats));
            case CONNECTION_DECLINED -> onConnectionDeclined(page);
            case FAILED -> owner.end(new AttemptEnd.Failed(status(response), stats));
            case UNCERTAIN -> owner.endAfterCancel(new AttemptEnd.Failed(status(response), stats));
            default -> onMalformedResponse(status(response), page);
        }
    }

    private static String status(Response response) {
        return "status " + response.status();
    }

    private void onPage(Response response, int page) {
        if (!pages.add(response, page)) {
            onMalformedResponse("malformed result page " + page, page);
        } else if (pages.isComplete()) {
            owner.end(new AttemptEnd.Completed(pages.rows(), stats));
        } else {
            calls.poll(pages.next());
        }
    }

    /**
     * An undelayed response that repeats the last report may be a duplicate of it, with the response to this call still
     * outstanding. The connection is then not used for another query, which could receive the rows of this one.
     */
    private void onProgress(Response response, boolean newConnection) {
        boolean repeated = progress.isSameAsLast(response);
        if (!newConnection && isWithinMinInterval() && repeated) {
            calls.suspectDuplicateResponse();
        }
        progress.publish(response);
        if (ProgressReports.isPresent(response) || !isWithinMinInterval()) {
            calls.poll(0);
        } else {
            pollAfterInterval();
        }
    }

    /** Whether the latest call started so recently that its response was not delayed. */
    private boolean isWithinMinInterval() {
        return !calls.callStartedAt().plus(MIN_POLL_INTERVAL).isBefore(loop.now());
    }

    /** Bounds the poll rate if an engine does not delay its responses to long polls. */
    private void pollAfterInterval() {
        loop.scheduleAfter(MIN_POLL_INTERVAL, () -> {
            if (owner.isInFlight()) {
                calls.poll(0);
            }
        });
    }

    /** Closes the connection: a late duplicate of the decline must not be read as the response to another POST. */
    private void endDeclined(AttemptEnd end) {
        calls.closeReserved();
        owner.end(end);
    }

    private void onConnectionDeclined(int page) {
        calls.closeReserved();
        responseLost = true;
        calls.pollLater(page, ConnectFailure.NO_CAPACITY, "engine declined the connection: none free");
    }

    // ---- Log.

    private LogEvent line(String step, int page) {
        return LogEvent.of(step)
                .trace(spec.traceId())
                .with("engine", engine)
                .with("call", postMaybeSent ? "GET " + page : "POST")
                .with("taken", String.valueOf(knownToEngine));
    }

    private void logFailure(EngineConnection.Failure failure, String reason, boolean maybeSent, int page) {
        if (LogEvent.isDebugOn()) {
            line("no answer", page)
                    .with("how", failure.name())
                    .with("why", reason)
                    .with("maybe_sent", String.valueOf(maybeSent))
                    .debug();
        }
    }

    private void logResponse(
            Response response, int page, boolean newConnection, ResponseClassification classification) {
        if (LogEvent.isDebugOn()) {
            line("answered", page)
                    .with("status", response.status())
                    .with("bytes", response.body().length)
                    .with("new", String.valueOf(newConnection))
                    .with("verdict", classification.name())
                    .debug();
        }
    }
}
