package sandpaddle.query;

import java.time.Instant;

/**
 * What an attempt is to do; {@code memoryMb} 0: the engine's choice. It ends by itself at {@code until};
 * {@code isLast}: the request ends then too, and no other attempt follows.
 */
public record AttemptOrder(String trace, String route, byte[] statement, double memoryMb, int priority,
        Instant until, boolean isLast) { }
