package sandpaddle.mysql;

import java.time.Duration;
import java.util.function.Consumer;
import sandpaddle.query.Answer;
import sandpaddle.query.Query;
import sandpaddle.query.QueryService;

/**
 * The query that a session has open; at most one. Its answer or {@link #cancel} closes it; an answer that comes after
 * that is ignored.
 */
final class OpenQuery {
    private final QueryService service;
    private final InputMemory memory;
    private int heldBytes; // of the open query's statement
    private int latestId; // number of the latest query, by which an answer to an earlier one is recognized
    private boolean open;
    private QueryService.PendingQuery pendingQuery;

    OpenQuery(QueryService service, InputMemory memory) {
        this.service = service;
        this.memory = memory;
    }

    /**
     * Submits a query, or rejects it at once if there is no memory for its statement.
     *
     * @param query the query
     * @param waited time since the query arrived, which counts towards its timeout
     * @param readInput reads what the client has sent so far; called right before an attempt is written, so that a
     *     cancellation or disconnect that has already arrived closes the query and prevents the attempt
     * @param callback receives the answer once, within this call or later
     */
    void submit(Query query, Duration waited, Runnable readInput, Consumer<Answer> callback) {
        if (!memory.tryResize(0, query.statement().length)) {
            callback.accept(new Answer.Rejected(Duration.ZERO));
            return;
        }
        heldBytes = query.statement().length;
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
        // an answer or cancellation within service.submit closes the query, and its callback may open the next one
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
        memory.release(heldBytes);
        heldBytes = 0;
        pendingQuery = null;
        return submitted;
    }
}
