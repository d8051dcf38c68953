package sandpaddle.fleet.node.outage;

import java.util.Optional;
import java.util.function.Consumer;
import sandpaddle.fleet.content.ContentKey;
import sandpaddle.query.ResultSet;

/** Has an engine asked for an answer, by the way that every query goes; told on any thread, once. */
public interface AnswerFetcher {
    void fetch(ContentKey key, long workUs, Consumer<Optional<ResultSet>> done);
}
