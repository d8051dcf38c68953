package sandpaddle.engineclient;

/**
 * Limits the connections of this process to each engine, idle ones included. A connection counts from before it is
 * opened until it has ended. All calls come from the event loop's thread.
 */
public interface ConnectionBudget {
    /** No limit apart from that on file descriptors. */
    ConnectionBudget NONE = new ConnectionBudget() {};

    /**
     * Counts a connection that is about to be opened, if the budget allows it.
     *
     * @param engine the engine's id
     * @param control whether the connection is for a call that cancels or changes a query; a share is reserved for them
     * @return whether it was counted and may be opened
     */
    default boolean tryAcquire(String engine, boolean control) {
        return true;
    }

    /** Releases a connection that was counted and has ended, or was never established. */
    default void release(String engine) {}

    /** Whether there are more connections to this engine than the budget allows, so that idle ones should be closed. */
    default boolean isExceeded(String engine) {
        return false;
    }

    /** Registers the task that closes idle connections; it is run after each reduction of the budget. */
    default void onReduced(Runnable trim) {}
}
