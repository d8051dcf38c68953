package sandpaddle.mysql;

import java.time.Duration;
import java.util.function.Consumer;
import sandpaddle.query.Answer;
import sandpaddle.query.Query;
import sandpaddle.query.QueryService;

/** The query that a session has open; at most one. The first answer closes it, and later answers are ignored. */
final class OpenQuery {
    private final QueryService service;
    private int latestId; // identifies the latest query
    private boolean open;
    private QueryService.PendingQuery pendingQuery;

    OpenQuery(QueryService service) {
        this.service = service;
    }

    /**
     * Submits a query.
     *
     * @param query the query
     * @param waited the part of its timeout that has passed since it arrived
     * @param readInput reads what the client has sent by now, which may cancel the query
     * @param callback receives the answer once, within this call or later
     */
    void submit(Query query, Duration waited, Runnable readInput, Consumer<Answer> callback) {
        int id = ++latestId;
        open = true;
        QueryService.PendingQuery submitted = service.submit(
                query,
                waited,
                () -> {
                    readInput.run();
                    return isOpen(id);
                },
                answer -> {
                    if (isOpen(id)) {
                        close();
                        callback.accept(answer);
                    }
                });
        if (isOpen(id)) {
            pendingQuery = submitted;
        }
    }

    private boolean isOpen(int id) {
        return open && latestId == id;
    }

    /** Cancels the open query because the client no longer waits; no effect if none is open. */
    void cancel() {
        QueryService.PendingQuery submitted = close();
        if (submitted != null) {
            submitted.clientDisconnected();
        }
    }

    private QueryService.PendingQuery close() {
        QueryService.PendingQuery submitted = pendingQuery;
        open = false;
        pendingQuery = null;
        return submitted;
    }
}
