package sandpaddle.fleet.node.outage;

import java.util.Optional;
import java.util.function.Consumer;
import sandpaddle.fleet.content.CacheKey;
import sandpaddle.query.ResultSet;

/** Fetches an answer from an engine by the path of every query; the result is reported on any thread, once. */
public interface AnswerFetcher {
    void fetch(CacheKey key, long workUs, Consumer<Optional<ResultSet>> done);
}
