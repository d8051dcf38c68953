package sandpaddle.query;

import java.time.Instant;

/**
 * What an attempt is to do; {@code memoryMb} 0: the engine's choice. It ends by itself at {@code until};
 * {@code isLast}: the request ends then too, and no other attempt follows. {@code isTrial}: the engine may be cut off,
 * so the attempt goes out on a connection that comes up for it.
 */
public record AttemptOrder(String trace, String route, byte[] statement, double memoryMb, int priority,
        Instant until, boolean isLast, boolean isTrial) { }
