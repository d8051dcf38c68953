package sandpaddle.query;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Runs attempts and health checks on engines; each engine protocol has an implementation. Confined to the event loop's
 * thread; results are reported on it, during the call or in a later turn.
 */
public interface EngineClient {
    /** An attempt in flight. */
    interface AttemptHandle {
        /**
         * Cancels the attempt: the engine is told to stop it. No effect once the attempt has ended.
         *
         * @param requestOver whether the request is answered already, so that the end of the attempt is reported at
         *     once instead of after the engine has stopped it
         */
        void cancel(boolean requestOver);

        /** Changes the priority of the running query, 0 to 3. */
        void setPriority(int priority);
    }

    /** Receives the events of one attempt. */
    interface AttemptListener {
        /** A progress report; {@code topic} is the engine's name for what {@code value} measures. */
        void onProgress(String topic, double value);

        /** The engine became unreachable. The attempt remains in flight, since the engine may still run it. */
        void onUnreachable();

        /** The attempt has ended; called once, as the last event. */
        void onEnd(AttemptEnd end);

        /**
         * A task that runs once, when it is proven that the engine no longer runs the attempt: with its end, or later
         * if the end was reported before. Should not hold the query, which would stay in memory until then.
         */
        default Runnable whenStopped() {
            return () -> {};
        }
    }

    /**
     * Applies an entry of the endpoint list.
     *
     * @param id id of the engine
     * @param address address on which it listens; may be null if it is not available
     * @param startedAt start time of its process; connections to an earlier process are no longer used
     * @param available whether new attempts may be sent to it
     * @param removed whether its process has ended
     */
    void updateEngine(String id, InetSocketAddress address, Instant startedAt, boolean available, boolean removed);

    /** Applies a complete endpoint list: engines that are not in it are treated as removed. */
    void retainEngines(Set<String> ids);

    /** Whether the endpoint list allows new attempts on an engine. */
    boolean isAvailable(String id);

    /** Starts an attempt on an available engine. */
    AttemptHandle startAttempt(String engine, AttemptSpec spec, AttemptListener listener);

    /** Checks the health of an available engine by requesting its load; {@code callback} receives the result once. */
    void checkHealth(String engine, Consumer<HealthCheckResult> callback);

    /** Whether no cancel and no change of priority remains to be delivered to an engine. */
    boolean hasNoPendingCancels();
}
