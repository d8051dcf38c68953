package sandpaddle.fleet.node.outage;

import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import sandpaddle.decision.Micros;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.fleet.content.CacheKey;
import sandpaddle.query.Answer;
import sandpaddle.query.Query;
import sandpaddle.query.QueryService;
import sandpaddle.query.ResultSet;

/** Fetches by the path of every query, under a trace of its own, and under the tenant of what is fetched ahead. */
public final class QueryPathFetcher implements AnswerFetcher {
    /** The tenant that it counts as, for limits and pools. */
    public static final String TENANT = "prefetch";

    private final List<String> classes;
    private final DecisionSettings site;
    private final Queue<Runnable> loop; // tasks for the loop's thread
    private final Runnable wake;
    private final SplittableRandom random; // of the loop's thread
    private volatile QueryService service; // null until it is there

    public QueryPathFetcher(
            List<String> classes, DecisionSettings site, Queue<Runnable> loop, Runnable wake, long seed) {
        this.classes = classes;
        this.site = site;
        this.loop = loop;
        this.wake = wake;
        random = new SplittableRandom(seed);
    }

    /** What queries are asked of, from now on. */
    public void serves(QueryService through) {
        service = through;
    }

    @Override
    public void fetch(CacheKey key, long workUs, Consumer<Optional<ResultSet>> done) {
        loop.add(() -> {
            int classIndex = classes.indexOf(key.className());
            QueryService to = service;
            if (to == null || classIndex < 0) {
                done.accept(Optional.empty());
                return;
            }
            Query query = new Query(
                    key.className(),
                    "%016x".formatted(random.nextLong()),
                    Micros.span(site.classes().get(classIndex).deadlineUs()),
                    Micros.span(workUs),
                    0,
                    -1,
                    key.statement(),
                    "",
                    false,
                    TENANT,
                    key.user(),
                    "",
                    "");
            to.submit(query, a -> done.accept(a instanceof Answer.Served s ? Optional.of(s.rows()) : Optional.empty()));
        });
        wake.run();
    }
}
