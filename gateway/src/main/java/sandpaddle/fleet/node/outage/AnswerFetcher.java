package sandpaddle.fleet.node.outage;

import java.util.Optional;
import java.util.function.Consumer;
import sandpaddle.fleet.content.CacheKey;
import sandpaddle.query.ResultSet;

/** Fetches an answer from an engine as an ordinary query. */
public interface AnswerFetcher {
    /**
     * Fetches an answer.
     *
     * @param key the statement and its class, tenant and user
     * @param workUs expected engine work in microseconds
     * @param callback receives the result, or empty if there is none; called once, on any thread
     */
    void fetch(CacheKey key, long workUs, Consumer<Optional<ResultSet>> callback);
}
