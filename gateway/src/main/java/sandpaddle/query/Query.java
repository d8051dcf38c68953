package sandpaddle.query;

import java.time.Duration;

/**
 * A query parsed by a frontend, independent of the client's protocol. Text that the client did not state is empty.
 *
 * @param route name of its request class
 * @param traceId identifies the query in logs and at the engine
 * @param timeout how long the client waits
 * @param estimatedWork the client's estimate of its work, zero if unknown
 * @param memoryMb the client's estimate of its memory in MB, 0 if unknown
 * @param dataGroup identifies the tables that it reads, -1 if unknown
 * @param statement the bytes of the statement as sent
 * @param runName the client's name for the run of a load, which must not run twice
 * @param mayHaveRun whether an earlier attempt under that name may have run
 * @param tenant the tenant that the client states
 * @param user the user that logged in
 * @param idempotencyKey key by which engines drop repeats, passed on unchanged
 * @param orderingKey key within which requests are kept in order, passed on unchanged
 */
public record Query(
        String route,
        String traceId,
        Duration timeout,
        Duration estimatedWork,
        double memoryMb,
        long dataGroup,
        byte[] statement,
        String runName,
        boolean mayHaveRun,
        String tenant,
        String user,
        String idempotencyKey,
        String orderingKey) {

    /** Creates a query without the name of a run, a tenant, a user or keys. */
    public Query(
            String route,
            String traceId,
            Duration timeout,
            Duration estimatedWork,
            double memoryMb,
            long dataGroup,
            byte[] statement) {
        this(route, traceId, timeout, estimatedWork, memoryMb, dataGroup, statement, "", false, "", "", "", "");
    }

    /** Returns a copy with another timeout. */
    public Query withTimeout(Duration newTimeout) {
        return new Query(
                route,
                traceId,
                newTimeout,
                estimatedWork,
                memoryMb,
                dataGroup,
                statement,
                runName,
                mayHaveRun,
                tenant,
                user,
                idempotencyKey,
                orderingKey);
    }

    /** Returns a copy with the user that logged in. */
    public Query withUser(String newUser) {
        return new Query(
                route,
                traceId,
                timeout,
                estimatedWork,
                memoryMb,
                dataGroup,
                statement,
                runName,
                mayHaveRun,
                tenant,
                newUser,
                idempotencyKey,
                orderingKey);
    }
}
