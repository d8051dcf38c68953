package sandpaddle.fleet.store.mv;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/**
 * Incremental multiset hash (Clarke et al., 2003, additive form) over a set of records: the sum modulo 2^64 of a hash
 * of each record. Adding or removing a record costs time linear in that record alone. It detects accidental
 * corruption: a corrupt set has the same sum with a probability of about 2^-64. It does not protect against an
 * adversary.
 */
final class MultisetHash {
    private long sum;

    /** The hash of the set. */
    long sum() {
        return sum;
    }

    void add(int map, long key, byte[] value) {
        sum += hash(map, key, value);
    }

    void remove(int map, long key, byte[] value) {
        sum -= hash(map, key, value);
    }

    /** Combines two CRCs of different polynomials to 64 bits; mixed, because sums of linear codes can cancel out. */
    private static long hash(int map, long key, byte[] value) {
        byte[] head = ByteBuffer.allocate(16)
                .putInt(map)
                .putLong(key)
                .putInt(value.length)
                .array();
        CRC32C crc32c = new CRC32C();
        crc32c.update(head);
        crc32c.update(value);
        CRC32 crc32 = new CRC32();
        crc32.update(head);
        crc32.update(value);
        return mix(crc32c.getValue() << 32 | crc32.getValue());
    }

    /** The finalizer of MurmurHash3. */
    static long mix(long bits) {
        long h = bits;
        h = (h ^ h >>> 33) * 0xff51afd7ed558ccdL;
        h = (h ^ h >>> 33) * 0xc4ceb9fe1a85ec53L;
        return h ^ h >>> 33;
    }
}
