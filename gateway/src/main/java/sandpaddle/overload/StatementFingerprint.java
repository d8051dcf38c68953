package sandpaddle.overload;

/**
 * A 64-bit hash of a statement and its request class: FNV-1a over the bytes, then the finalizer of MurmurHash3. It is
 * seeded, so that clients cannot choose statements that collide in {@link RejectedStatementTable}.
 */
public final class StatementFingerprint {
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

    private StatementFingerprint() {}

    /**
     * Returns the hash of a statement.
     *
     * @param seed the seed of this process
     * @param classIndex position of its request class in the settings
     * @param statement the bytes of the statement
     */
    public static long of(long seed, int classIndex, byte[] statement) {
        long hash = (FNV_OFFSET_BASIS ^ seed) * FNV_PRIME + classIndex;
        for (byte octet : statement) {
            hash = (hash ^ octet & 0xFF) * FNV_PRIME;
        }
        hash ^= seed;
        hash = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        hash = (hash ^ hash >>> 33) * 0xc4ceb9fe1a85ec53L;
        return hash ^ hash >>> 33;
    }
}
