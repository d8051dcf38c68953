package sandpaddle.fleet.store.mv;

import java.nio.ByteBuffer;
import org.h2.mvstore.DataUtils;
import org.h2.mvstore.WriteBuffer;
import org.h2.mvstore.type.BasicDataType;

/**
 * MVStore's data type of byte arrays up to a maximum length. The bound turns a corrupt length into an error of the
 * file, where it would otherwise cause an allocation of gigabytes.
 */
final class ByteArrayType extends BasicDataType<byte[]> {
    private static final int ARRAY_OVERHEAD_BYTES = 24; // for MVStore's estimate of its memory use

    private final int maxBytes;

    ByteArrayType(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    @Override
    public int getMemory(byte[] value) {
        return ARRAY_OVERHEAD_BYTES + value.length;
    }

    @Override
    public void write(WriteBuffer buffer, byte[] value) {
        buffer.putVarInt(value.length).put(value);
    }

    @Override
    public byte[] read(ByteBuffer buffer) {
        int length = DataUtils.readVarInt(buffer);
        if (length < 0 || length > maxBytes || length > buffer.remaining()) {
            throw DataUtils.newMVStoreException(
                    DataUtils.ERROR_FILE_CORRUPT, "value length {0} is not between 0 and {1}", length, maxBytes);
        }
        byte[] value = new byte[length];
        buffer.get(value);
        return value;
    }

    @Override
    public byte[][] createStorage(int size) {
        return new byte[size][];
    }
}
