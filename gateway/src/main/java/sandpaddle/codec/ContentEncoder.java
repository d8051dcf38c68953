package sandpaddle.codec;

import java.io.ByteArrayOutputStream;
import java.util.zip.CRC32;
import java.util.zip.Deflater;

/**
 * Streaming encoder of the content codings gzip (RFC 1952) and deflate (zlib format, RFC 1950). Each part is flushed,
 * so that the receiver can decode it at once.
 */
public final class ContentEncoder implements AutoCloseable {
    private static final int COMPRESSION_LEVEL = 3; // the CPU core is shared, and higher levels gain little
    private static final int OUTPUT_BUFFER_BYTES = 8 * 1024;
    private static final int GZIP_TRAILER_BYTES = 8;
    private static final byte[] GZIP_HEADER = {0x1F, (byte) 0x8B, 8, 0, 0, 0, 0, 0, 0, (byte) 0xFF};

    private final boolean gzip;
    private final Deflater deflater;
    private final CRC32 crc = new CRC32();
    private final byte[] outputBuffer = new byte[OUTPUT_BUFFER_BYTES];
    private long inputBytes;
    private boolean started;

    /** Creates an encoder of one body. */
    public ContentEncoder(ContentDecoder.Coding coding) {
        gzip = coding == ContentDecoder.Coding.GZIP;
        deflater = new Deflater(COMPRESSION_LEVEL, gzip);
    }

    /**
     * Compresses a part of the body and flushes it.
     *
     * @param bytes starts with the part
     * @param length of the part
     * @return the compressed bytes
     */
    public byte[] encode(byte[] bytes, int length) {
        crc.update(bytes, 0, length);
        inputBytes += length;
        deflater.setInput(bytes, 0, length);
        return drain(Deflater.SYNC_FLUSH);
    }

    /** Ends the body and returns its last bytes: the final block and, for gzip, the trailer. */
    public byte[] finish() {
        deflater.finish();
        byte[] end = drain(Deflater.NO_FLUSH);
        if (!gzip) {
            return end;
        }
        byte[] endWithTrailer = java.util.Arrays.copyOf(end, end.length + GZIP_TRAILER_BYTES);
        for (int i = 0; i < 4; i++) {
            endWithTrailer[end.length + i] = (byte) (crc.getValue() >>> 8 * i);
            endWithTrailer[end.length + 4 + i] = (byte) (inputBytes >>> 8 * i);
        }
        return endWithTrailer;
    }

    private byte[] drain(int flush) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        if (gzip && !started) {
            output.writeBytes(GZIP_HEADER);
        }
        started = true;
        int count = deflater.deflate(outputBuffer, 0, OUTPUT_BUFFER_BYTES, flush);
        while (count > 0) {
            output.write(outputBuffer, 0, count);
            count = count < OUTPUT_BUFFER_BYTES && flush != Deflater.NO_FLUSH
                    ? 0
                    : deflater.deflate(outputBuffer, 0, OUTPUT_BUFFER_BYTES, flush);
        }
        return output.toByteArray();
    }

    /** Releases the native memory of the deflater. */
    @Override
    public void close() {
        deflater.end();
    }
}
