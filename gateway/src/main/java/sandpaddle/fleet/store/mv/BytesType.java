package sandpaddle.fleet.store.mv;

import java.nio.ByteBuffer;
import org.h2.mvstore.DataUtils;
import org.h2.mvstore.WriteBuffer;
import org.h2.mvstore.type.BasicDataType;

/** Values of bytes, with a bound: a garbled length is a fault of the file, not an allocation of gigabytes. */
final class BytesType extends BasicDataType<byte[]> {
    private static final int OVERHEAD = 24; // of an array, to MVStore's estimate of memory (bytes)

    private final int max;

    BytesType(int max) {
        this.max = max;
    }

    @Override
    public int getMemory(byte[] value) {
        return OVERHEAD + value.length;
    }

    @Override
    public void write(WriteBuffer to, byte[] value) {
        to.putVarInt(value.length).put(value);
    }

    @Override
    public byte[] read(ByteBuffer from) {
        int length = DataUtils.readVarInt(from);
        if (length < 0 || length > max || length > from.remaining()) {
            throw DataUtils.newMVStoreException(DataUtils.ERROR_FILE_CORRUPT, "a value of {0} bytes", length);
        }
        byte[] value = new byte[length];
        from.get(value);
        return value;
    }

    @Override
    public byte[][] createStorage(int size) {
        return new byte[size][];
    }
}
