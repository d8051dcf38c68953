package sandpaddle.fleet.content;

import java.nio.ByteBuffer;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborOut;

/**
 * The SHA-256 of a {@link CacheKey} as four big-endian words: cached results are indexed and placed on gateways by it.
 * A reader also has to compare the key itself. Ordered as an unsigned number.
 */
public record ResultId(long word0, long word1, long word2, long word3) implements Comparable<ResultId> {
    /** Length of the hash in bytes. */
    public static final int BYTES = 32;

    static ResultId of(byte[] sha256) {
        ByteBuffer in = ByteBuffer.wrap(sha256);
        return new ResultId(in.getLong(), in.getLong(), in.getLong(), in.getLong());
    }

    /** Returns the hash as bytes. */
    public byte[] bytes() {
        return ByteBuffer.allocate(BYTES)
                .putLong(word0)
                .putLong(word1)
                .putLong(word2)
                .putLong(word3)
                .array();
    }

    /** Reads an id that {@link #write} wrote. */
    public static ResultId read(CborIn in) throws CborIn.FaultyMessageException {
        byte[] bytes = in.bytes(BYTES);
        if (bytes.length != BYTES) {
            throw in.wrong("is a result id of " + bytes.length + " bytes; expected " + BYTES);
        }
        return of(bytes);
    }

    /** Writes the id as part of a message. */
    public void write(CborOut out) {
        out.bytes(bytes());
    }

    @Override
    public int compareTo(ResultId other) {
        int first = Long.compareUnsigned(word0, other.word0);
        int second = first != 0 ? first : Long.compareUnsigned(word1, other.word1);
        int third = second != 0 ? second : Long.compareUnsigned(word2, other.word2);
        return third != 0 ? third : Long.compareUnsigned(word3, other.word3);
    }

    @Override
    public String toString() {
        return Long.toHexString(word0);
    }
}
