package sandpaddle.fleet.content;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import sandpaddle.query.ResultSet;

/** Cached results for tests, identified by a number that their statement and rows contain. */
public final class SampleResults {
    /** Incarnation of the gateway that requested the results. */
    public static final long INCARNATION = 7;

    private SampleResults() {}

    /** Returns the key of a result. */
    public static CacheKey key(int number) {
        return new CacheKey("tenant", "user", "report", ("select " + number).getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a result with {@code rows} equal rows. */
    public static CachedResult result(int number, long requestedAtWallMs, double value, int rows) {
        ResultMetadata metadata = new ResultMetadata(
                key(number),
                Set.of((long) number % 5),
                requestedAtWallMs,
                requestedAtWallMs * 1000,
                INCARNATION,
                3_600_000,
                value);
        byte[] page = ("row\t" + number + "\tx\n").repeat(rows).getBytes(StandardCharsets.UTF_8);
        return new CachedResult(metadata, new ResultSet(List.of(page)));
    }

    /** Returns whether two results have equal metadata and encodings. */
    public static boolean areEqual(CachedResult first, CachedResult second) {
        return first.metadata().equals(second.metadata()) && java.util.Arrays.equals(first.encode(), second.encode());
    }
}
