package sandpaddle.fleet.content.disk;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import sandpaddle.fleet.content.CachedResult;
import sandpaddle.fleet.content.ResultId;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborOut;

/**
 * The format of a segment: a preamble of magic number, length and CRC-32C of the header; the header, a CBOR list of the
 * entries with their lengths and checksums; then the entries. The start reads only headers; an entry is verified when
 * it is read.
 */
final class SegmentCodec {
    static final int PREAMBLE_BYTES = 16;
    static final int MAX_ENTRIES = 65_536;
    private static final long MAGIC = 0x5350_434F_4E54_3031L; // "SPCONT01"
    private static final int VERSION = 1;

    /** Maximum size of the description of one entry in the header. */
    private static final int MAX_ENTRY_HEADER_BYTES = 128;

    /** A file is not a segment, or its header is corrupt. */
    static final class CorruptSegmentException extends Exception {
        private static final long serialVersionUID = 1;

        CorruptSegmentException(String message) {
            super(message);
        }
    }

    /**
     * The contents of a segment.
     *
     * @param locations locations of the complete entries
     * @param torn whether the file is shorter than its header states
     */
    record Contents(List<EntryLocation> locations, boolean torn) {}

    private SegmentCodec() {}

    static byte[] write(Collection<EncodedEntry> entries) {
        byte[] header = new CborOut()
                .number(VERSION)
                .list(entries, (out, entry) -> {
                    entry.id().write(out);
                    out.number(entry.bytes().length)
                            .number(CachedResult.crc32c(entry.bytes()))
                            .number(entry.requestedAtWallMs())
                            .number(entry.maxAgeMs())
                            .real(entry.value());
                })
                .done();
        ByteArrayOutputStream segment = new ByteArrayOutputStream(PREAMBLE_BYTES
                + header.length
                + entries.stream().mapToInt(entry -> entry.bytes().length).sum());
        segment.writeBytes(ByteBuffer.allocate(PREAMBLE_BYTES)
                .putLong(MAGIC)
                .putInt(header.length)
                .putInt(CachedResult.crc32c(header))
                .array());
        segment.writeBytes(header);
        entries.forEach(entry -> segment.writeBytes(entry.bytes()));
        return segment.toByteArray();
    }

    /** Reads the header of a segment file of {@code size} bytes. */
    static Contents read(StorageDirectory files, String name, long size) throws IOException, CorruptSegmentException {
        byte[] preamble = files.read(name, 0, PREAMBLE_BYTES);
        if (preamble.length < PREAMBLE_BYTES || ByteBuffer.wrap(preamble).getLong() != MAGIC) {
            throw new CorruptSegmentException("does not start with the magic number of a segment");
        }
        int length = ByteBuffer.wrap(preamble).getInt(8);
        if (length < 0 || length > size - PREAMBLE_BYTES || length > MAX_ENTRIES * MAX_ENTRY_HEADER_BYTES) {
            throw new CorruptSegmentException("header length " + length + "; expected 0 to "
                    + Math.min(size - PREAMBLE_BYTES, MAX_ENTRIES * MAX_ENTRY_HEADER_BYTES));
        }
        byte[] header = files.read(name, PREAMBLE_BYTES, length);
        if (header.length < length
                || CachedResult.crc32c(header) != ByteBuffer.wrap(preamble).getInt(12)) {
            throw new CorruptSegmentException("header checksum does not match");
        }
        try {
            return readLocations(new CborIn(header), PREAMBLE_BYTES + length, size);
        } catch (CborIn.FaultyMessageException e) {
            throw new CorruptSegmentException("header: " + e.getMessage());
        }
    }

    private static Contents readLocations(CborIn in, long from, long size) throws CborIn.FaultyMessageException {
        in.number(VERSION, VERSION);
        long[] offset = {from};
        List<EntryLocation> complete = new ArrayList<>();
        in.list(MAX_ENTRIES, item -> {
            ResultId id = ResultId.read(item);
            int length = (int) item.number(0, CachedResult.MAX_ENCODED_BYTES);
            int crc32c = (int) item.number(Integer.MIN_VALUE, Integer.MAX_VALUE);
            EntryLocation location = new EntryLocation(
                    id,
                    offset[0],
                    length,
                    crc32c,
                    item.number(0, Long.MAX_VALUE / 4),
                    item.number(0, Long.MAX_VALUE / 4),
                    item.real());
            offset[0] += length;
            if (offset[0] <= size) {
                complete.add(location);
            }
            return location;
        });
        in.end();
        return new Contents(complete, offset[0] > size);
    }
}
