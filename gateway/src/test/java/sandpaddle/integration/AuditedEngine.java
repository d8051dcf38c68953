package sandpaddle.integration;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * Engine stand-in that runs queries in real time with random faults, which the {@link AttemptAudit} draws from its seed
 * and the attempt: errors, queries declined or never finished, and responses lost with their connection.
 */
final class AuditedEngine implements AutoCloseable {
    private static final long POLL_HOLD_MS = 250;
    private static final String DECLINED = ScriptedEngine.response(503, "X-Declined: 1\r\n", "");
    private static final String ERROR = ScriptedEngine.response(500, "", "");
    private static final String RUNNING = ScriptedEngine.response(202, "", "");

    private final String name;
    private final AttemptAudit audit;
    private final ScriptedEngine engine;

    AuditedEngine(String name, AttemptAudit audit) throws IOException {
        this.name = name;
        this.audit = audit;
        engine = new ScriptedEngine(this::respond);
        engine.scriptControlCalls(this::cancel);
    }

    ScriptedEngine server() {
        return engine;
    }

    private String cancel(ScriptedEngine.Call call) {
        if (call.is("DELETE")) {
            audit.cancelled(name, traceOf(call));
        }
        return "HTTP/1.1 204 -\r\n\r\n";
    }

    /** The id is the second part of the path: {@code GET /x/ID/0}. */
    private static String traceOf(ScriptedEngine.Call call) {
        return call.requestLine().split(" ")[1].split("/")[2];
    }

    private String respond(ScriptedEngine.Call call) {
        AttemptAudit.Attempt attempt = call.is("POST")
                ? audit.started(
                        name, call.headers().get("x-trace"), call.headers().get("x-profile"))
                : audit.polled(name, traceOf(call));
        if (attempt == null) {
            return ERROR;
        }
        if (attempt.isDeclined()) {
            return DECLINED;
        }
        boolean hasEnded = awaitEnd(attempt);
        if (!hasEnded) {
            audit.answered(attempt, false);
            return RUNNING;
        }
        if (attempt.losesNextResponse()) {
            return ScriptedEngine.CLOSE_CONNECTION;
        }
        audit.answered(attempt, true);
        return attempt.fails() ? ERROR : ScriptedEngine.ok(attempt.trace() + "\t" + name + "\t\n");
    }

    private static boolean awaitEnd(AttemptAudit.Attempt attempt) {
        try {
            return attempt.ended().await(Math.min(POLL_HOLD_MS, attempt.remainingMs()), TimeUnit.MILLISECONDS)
                    || attempt.remainingMs() <= 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        engine.close();
    }
}
