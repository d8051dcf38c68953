package sandpaddle.query;

import java.time.Duration;

/**
 * A query as a frontend understood it, whatever protocol it came in. {@code work} is zero, {@code memoryMb}
 * 0 and {@code tableGroup} -1 where not told.
 */
public record Query(String route, String trace, Duration patience, Duration work, double memoryMb, long tableGroup,
        byte[] statement) { }
