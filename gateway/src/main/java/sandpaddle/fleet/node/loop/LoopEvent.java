package sandpaddle.fleet.node.loop;

import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.fleet.verdict.watch.AttemptOutcome;
import sandpaddle.query.Query;
import sandpaddle.query.ResultSet;

/** An event that the event loop passes to the fleet's thread. {@code nowUs} is its monotonic time (us). */
public sealed interface LoopEvent {
    /**
     * An attempt ended.
     *
     * @param nowUs monotonic time (us)
     * @param engine id of the engine
     * @param classIndex index of the request class
     * @param tenant name under which the tenant is counted
     * @param query the query
     * @param outcome how it ended, as evidence about the engine
     * @param latencyUs time since its start (us)
     * @param rows its result, null if it has none
     */
    record AttemptEnded(
            long nowUs,
            String engine,
            int classIndex,
            String tenant,
            Query query,
            AttemptOutcome outcome,
            long latencyUs,
            ResultSet rows)
            implements LoopEvent {}

    /** A health check of an engine ended, {@code answered} if successful. */
    record HealthCheckEnded(long nowUs, String engine, boolean answered) implements LoopEvent {}

    /** The endpoint list or a change to it was received. */
    record EngineListChanged(long nowUs, EngineListReceived list) implements LoopEvent {}

    /** The first query of a tenant was received. */
    record TenantSeen(long nowUs, String tenant) implements LoopEvent {}

    /** A query was received; clients may repeat it while the zone is isolated. */
    record QueryReceived(long nowUs, int classIndex, String tenant, Query query) implements LoopEvent {}
}
