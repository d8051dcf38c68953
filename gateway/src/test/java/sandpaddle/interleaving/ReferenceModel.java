package sandpaddle.interleaving;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Reference model of one request: checks the observations of its peers, in order, against what the protocol and the
 * idempotency of the request class allow for answers and attempts. Shares no code with the gateway.
 */
final class ReferenceModel {
    /** MySQL error codes that reject a request as not run. */
    private static final Set<String> REJECTIONS = Set.of("1040", "1203", "1226");

    /** MySQL error codes that may answer an incomplete request. */
    private static final Set<String> INCOMPLETE_REQUEST = Set.of("1159");

    private static final String INTERRUPTED = "1317";
    private static final long DEDUPLICATION_WINDOW_MS = 400; // window_us of the fixture's settings
    private static final long QUERY_DROPPED_MS = 2000; // an engine drops a query that was not polled for this long

    private enum RequestState {
        NONE,
        STARTED,
        COMPLETE,
        COMPLETE_LATE
    }

    private final String route;
    private final List<Observation> observations;
    private final List<String> violations = new ArrayList<>();
    private RequestState request = RequestState.NONE;
    private boolean disconnected, queryKilled, engineUnavailable, gracePeriodOver, stopped, rowsSent;
    private int answers;
    private int posts;
    private boolean attemptOver = true; // the last attempt is known to have ended
    private boolean lastAttemptDeclined; // the last attempt never ran
    private long firstRunAtMs = -1; // when the first POST that may have run arrived
    private long lastPostAtMs, lastPollAtMs;

    private ReferenceModel(String route, List<Observation> observations) {
        this.route = route;
        this.observations = observations;
    }

    /** Returns the violations of the model by the observations of a run. */
    static List<String> violations(String route, List<Observation> observations) {
        ReferenceModel model = new ReferenceModel(route, observations);
        observations.forEach(model::next);
        if (model.isAnswerDue()) {
            model.violation("no answer to the request");
        }
        if ((model.disconnected || model.queryKilled) && !model.attemptOver && !model.stopped) {
            model.violation("attempt not cancelled after its client had disconnected or killed the query");
        }
        return model.violations;
    }

    private void violation(String what) {
        violations.add(what);
    }

    private boolean isAnswerDue() {
        return request == RequestState.COMPLETE && !disconnected && answers == 0;
    }

    private void next(Observation observation) {
        switch (observation.kind()) {
            case REQUEST_STARTED -> request = gracePeriodOver ? RequestState.COMPLETE_LATE : RequestState.STARTED;
            case REQUEST_COMPLETE ->
                request = request == RequestState.COMPLETE_LATE
                                || !observation.detail().isEmpty()
                        ? RequestState.COMPLETE_LATE
                        : RequestState.COMPLETE;
            case CLIENT_DISCONNECTED -> disconnected = true;
            case QUERY_KILLED -> queryKilled = true;
            case ENGINE_UNAVAILABLE -> engineUnavailable = true;
            case GRACE_PERIOD_OVER -> gracePeriodOver = true;
            case POST -> postReceived(observation);
            case GET -> lastPollAtMs = observation.atMs();
            case DELETE -> attemptOver = true;
            case ENGINE_RESPONSE -> engineResponded(observation);
            case CLIENT_ANSWER -> clientAnswered(observation);
            case DEADLINE_PASSED, PROCESS_STOPPED -> {
                stopped |= observation.kind() == Observation.Kind.PROCESS_STOPPED;
                if (isAnswerDue()) {
                    violation(
                            observation.kind() == Observation.Kind.DEADLINE_PASSED
                                    ? "no answer by the deadline"
                                    : "process stopped before the answer");
                }
            }
            default -> {}
        }
    }

    private void postReceived(Observation observation) {
        boolean ran = posts > 0 && !lastAttemptDeclined;
        firstRunAtMs = ran && firstRunAtMs < 0 ? lastPostAtMs : firstRunAtMs;
        if (request != RequestState.COMPLETE && request != RequestState.COMPLETE_LATE) {
            violation("attempt sent before its request was complete");
        }
        if (request == RequestState.COMPLETE_LATE && gracePeriodOver) {
            violation("attempt sent for a request that was started after the grace period");
        }
        if (disconnected || queryKilled) {
            violation(
                    disconnected ? "attempt sent after the client had disconnected" : "attempt sent after KILL QUERY");
        }
        if (engineUnavailable) {
            violation("attempt sent to an engine that is draining or removed");
        }
        if (answers > 0) {
            violation("attempt sent after the answer");
        }
        if (!attemptOver && observation.atMs() < lastPollAtMs + QUERY_DROPPED_MS) {
            violation("two attempts in flight");
        }
        if (route.equals("once") && firstRunAtMs >= 0) {
            violation("non-idempotent request sent again although it may have run");
        }
        if (route.equals("window")
                && firstRunAtMs >= 0
                && observation.atMs() > firstRunAtMs + DEDUPLICATION_WINDOW_MS) {
            violation("keyed request sent again after its deduplication window");
        }
        posts++;
        attemptOver = false;
        lastAttemptDeclined = false;
        lastPostAtMs = observation.atMs();
        lastPollAtMs = observation.atMs();
    }

    /** Only a decline in response to the POST itself proves that the attempt never ran. */
    private void engineResponded(Observation observation) {
        boolean toPost = observations.get(observation.callIndex()).kind() == Observation.Kind.POST;
        rowsSent |= observation.detail().equals("ROWS");
        lastAttemptDeclined |= toPost && observation.detail().equals("DECLINED");
        attemptOver |= lastAttemptDeclined
                || observation.detail().equals("ROWS")
                || observation.detail().equals("ERROR");
    }

    private void clientAnswered(Observation observation) {
        String answer = observation.detail();
        if (++answers > 1) {
            violation("second answer: " + answer);
        }
        boolean mayHaveRun = firstRunAtMs >= 0 || posts > 0 && !lastAttemptDeclined;
        if (request == RequestState.NONE || request == RequestState.STARTED) {
            if (!INCOMPLETE_REQUEST.contains(answer)) {
                violation("answer without a complete request: " + answer);
            }
        } else if (answer.equals("truncated") && !disconnected) {
            violation("truncated answer");
        } else if (answer.equals("rows") && !rowsSent) {
            violation("rows that no engine has sent");
        } else if (REJECTIONS.contains(answer) && mayHaveRun && route.equals("once")) {
            violation("rejected although it may have run");
        } else if (answer.equals(INTERRUPTED) && !queryKilled) {
            violation("interrupted without KILL QUERY");
        } else if (answer.equals("ok")) {
            violation("OK packet instead of a result");
        }
    }
}
