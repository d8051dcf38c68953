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

/** Fetches answers as ordinary queries with a trace of their own, under the tenant {@value #TENANT}. */
public final class QueryPathFetcher implements AnswerFetcher {
    /** Tenant of the queries for limits and pools. */
    public static final String TENANT = "prefetch";

    private final List<String> classes;
    private final DecisionSettings settings;
    private final Queue<Runnable> loopTasks;
    private final Runnable wakeUp;
    private final SplittableRandom random; // used on the event loop's thread only
    private volatile QueryService service; // null until set

    /**
     * Creates a fetcher; fetches fail until {@link #setQueryService} is called.
     *
     * @param classes names of the query classes by index
     * @param settings settings of the decision module
     * @param loopTasks queue of tasks for the event loop's thread
     * @param wakeUp wakes the event loop
     * @param seed seed of the trace identifiers
     */
    public QueryPathFetcher(
            List<String> classes, DecisionSettings settings, Queue<Runnable> loopTasks, Runnable wakeUp, long seed) {
        this.classes = classes;
        this.settings = settings;
        this.loopTasks = loopTasks;
        this.wakeUp = wakeUp;
        random = new SplittableRandom(seed);
    }

    /** Sets the service that answers the queries. */
    public void setQueryService(QueryService newService) {
        service = newService;
    }

    @Override
    public void fetch(CacheKey key, long workUs, Consumer<Optional<ResultSet>> callback) {
        loopTasks.add(() -> {
            int classIndex = classes.indexOf(key.className());
            QueryService target = service;
            if (target == null || classIndex < 0) {
                callback.accept(Optional.empty());
                return;
            }
            Query query = new Query(
                    key.className(),
                    "%016x".formatted(random.nextLong()),
                    Micros.span(settings.classes().get(classIndex).deadlineUs()),
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
            target.submit(
                    query,
                    answer -> callback.accept(
                            answer instanceof Answer.Served served ? Optional.of(served.rows()) : Optional.empty()));
        });
        wakeUp.run();
    }
}
