package sandpaddle.engineclient;

import java.time.Duration;

/**
 * Timeouts of the connections to engines.
 *
 * @param connect how long a call waits for a connection
 * @param maxIdle after how long an idle connection is closed; shorter than the engine's own idle timeout
 */
record ConnectionTimeouts(Duration connect, Duration maxIdle) {}
