package sandpaddle.query;

import java.time.Duration;
import java.time.Instant;
import java.util.function.BooleanSupplier;

/**
 * Specification of one attempt to run a query on an engine.
 *
 * @param query the query to run
 * @param memoryMb memory grant in MB; 0 leaves the choice to the engine
 * @param priority priority on the engine, from 0 to 3
 * @param deadline when the attempt times out
 * @param isFinal whether the request ends at the deadline too, so that a timeout may be reported at once
 * @param isTrial whether it probes an engine that may be unreachable, for which it needs a new connection
 * @param writeDeadline time from which on the attempt must not be written any more
 * @param isClientWaiting checked right before the attempt is written; if false, it is not written
 */
public record AttemptSpec(
        Query query,
        double memoryMb,
        int priority,
        Instant deadline,
        boolean isFinal,
        boolean isTrial,
        Instant writeDeadline,
        BooleanSupplier isClientWaiting) {

    /** Specifies an attempt that may be written until its deadline, for a client that stays connected. */
    public AttemptSpec(
            String traceId,
            String route,
            byte[] statement,
            double memoryMb,
            int priority,
            Instant deadline,
            boolean isFinal,
            boolean isTrial) {
        this(
                new Query(route, traceId, Duration.ZERO, Duration.ZERO, 0, -1, statement),
                memoryMb,
                priority,
                deadline,
                isFinal,
                isTrial,
                deadline,
                () -> true);
    }

    /** Identifies the query in logs and at the engine. */
    public String traceId() {
        return query.traceId();
    }
}
