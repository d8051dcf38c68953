package sandpaddle.fleet.node.loop;

import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.fleet.verdict.watch.AttemptOutcome;
import sandpaddle.query.Query;
import sandpaddle.query.ResultSet;

/** An event that the event loop passes to the fleet's thread; {@code nowUs} is monotonic time. */
public sealed interface LoopEvent {
    /** An attempt ended; {@code rows} is null unless it was answered and answers are stored. */
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

    /** A health check of an engine ended. */
    record HealthCheckEnded(long nowUs, String engine, boolean answered) implements LoopEvent {}

    /** The engine list changed. */
    record EngineListChanged(long nowUs, EngineListReceived list) implements LoopEvent {}

    /** The first query of a tenant was received. */
    record TenantSeen(long nowUs, String tenant) implements LoopEvent {}

    /** A query was received, which may be repeated while the zone is isolated. */
    record QueryReceived(long nowUs, int classIndex, String tenant, Query query) implements LoopEvent {}
}
