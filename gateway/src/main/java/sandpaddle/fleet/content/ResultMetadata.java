package sandpaddle.fleet.content;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborOut;

/**
 * Metadata of a cached result; immutable.
 *
 * @param key what the result answers
 * @param groups data groups that the statement reads; empty if unknown
 * @param requestedAtWallMs wall-clock time (ms) at which an engine was requested to execute the statement. The age of a
 *     result counts from this time, not from the arrival of the rows
 * @param requestedAtMonoUs the same time by the monotonic clock (us) of the process that {@code incarnation} names
 * @param incarnation incarnation of the gateway whose monotonic clock is used
 * @param maxAgeMs maximum age at which the result may be served, as its request class had it when it was stored
 * @param value expected number of requests that the result will answer, times the priority weight of their class; what
 *     eviction compares per byte
 */
public record ResultMetadata(
        CacheKey key,
        Set<Long> groups,
        long requestedAtWallMs,
        long requestedAtMonoUs,
        long incarnation,
        long maxAgeMs,
        double value) {
    /** Maximum number of data groups of one result. */
    public static final int MAX_GROUPS = 64;

    private static final long MAX_AGE_MS = 366L * 24 * 3_600_000;

    /** Copies the data groups. */
    public ResultMetadata {
        groups = Set.copyOf(groups);
    }

    /**
     * Returns the age in milliseconds. For a result of this incarnation it is the larger of the ages by the monotonic
     * and the wall clock; for any other only the wall clock can be compared.
     *
     * @param nowUs monotonic time
     * @param wallMs wall-clock time
     * @param localIncarnation incarnation of the gateway that {@code nowUs} is of
     */
    public long ageMs(long nowUs, long wallMs, long localIncarnation) {
        long wallAgeMs = wallMs - requestedAtWallMs;
        return localIncarnation == incarnation ? Math.max(wallAgeMs, (nowUs - requestedAtMonoUs) / 1000) : wallAgeMs;
    }

    /**
     * Returns the same metadata with the monotonic request time of another process.
     *
     * @param nowUs monotonic time of that process
     * @param ageMs age of the result at {@code nowUs}
     * @param localIncarnation incarnation of that process
     */
    public ResultMetadata withLocalClock(long nowUs, long ageMs, long localIncarnation) {
        return new ResultMetadata(
                key, groups, requestedAtWallMs, nowUs - ageMs * 1000, localIncarnation, maxAgeMs, value);
    }

    /** Returns the same metadata with another value. */
    public ResultMetadata withValue(double newValue) {
        return new ResultMetadata(key, groups, requestedAtWallMs, requestedAtMonoUs, incarnation, maxAgeMs, newValue);
    }

    /** Writes the metadata as part of a message. */
    public void write(CborOut out) {
        key.write(out);
        out.list(new TreeSet<>(groups), CborOut::number);
        out.number(requestedAtWallMs)
                .number(requestedAtMonoUs)
                .number(incarnation)
                .number(maxAgeMs)
                .real(value);
    }

    /** Reads metadata that {@link #write} wrote, with a check of every bound. */
    public static ResultMetadata read(CborIn in) throws CborIn.FaultyMessageException {
        CacheKey key = CacheKey.read(in);
        List<Long> groups = in.list(MAX_GROUPS, item -> item.number(Long.MIN_VALUE, Long.MAX_VALUE));
        long requestedAtWallMs = in.number(0, Long.MAX_VALUE / 4);
        long requestedAtMonoUs = in.number(Long.MIN_VALUE / 4, Long.MAX_VALUE / 4);
        long incarnation = in.number(Long.MIN_VALUE, Long.MAX_VALUE);
        long maxAgeMs = in.number(0, MAX_AGE_MS);
        double value = in.real();
        if (value < 0) {
            throw in.wrong("is " + value + "; expected at least 0");
        }
        return new ResultMetadata(
                key, Set.copyOf(groups), requestedAtWallMs, requestedAtMonoUs, incarnation, maxAgeMs, value);
    }
}
