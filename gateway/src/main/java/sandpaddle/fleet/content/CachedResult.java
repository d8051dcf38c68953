package sandpaddle.fleet.content;

import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborOut;
import sandpaddle.query.ResultSet;

/**
 * A cached result. Its encoding on disk and between gateways is one CBOR message of its {@link ResultMetadata} and its
 * rows.
 *
 * @param metadata key, request time and value of the result
 * @param rows the rows, in pages of complete rows
 */
public record CachedResult(ResultMetadata metadata, ResultSet rows) {
    /** Maximum size of the rows of one result in bytes; a larger result is not cached. */
    public static final int MAX_ROW_BYTES = 8 * 1024 * 1024;

    /** Maximum size of an encoded result in bytes. */
    public static final int MAX_ENCODED_BYTES = MAX_ROW_BYTES + CacheKey.MAX_STATEMENT_BYTES + 64 * 1024;

    private static final int MAX_PAGES = 4096;
    private static final int VERSION = 1;

    /** Estimated size in memory of the objects of one result, without its key and its rows. */
    private static final int OBJECT_OVERHEAD_BYTES = 300;

    /** Returns whether the result is within the bounds of {@link #decode}. */
    public boolean isStorable() {
        return metadata.key().isStorable()
                && metadata.groups().size() <= ResultMetadata.MAX_GROUPS
                && rowBytes() <= MAX_ROW_BYTES
                && rows.pages().size() <= MAX_PAGES
                && rows.pages().stream().allMatch(ResultSet::hasCompleteRows);
    }

    /** Returns the size of the rows in bytes. */
    public long rowBytes() {
        return rows.pages().stream().mapToLong(p -> p.length).sum();
    }

    /** Returns the estimated size in memory in bytes. */
    public long memoryBytes() {
        return rowBytes() + metadata.key().memoryBytes() + OBJECT_OVERHEAD_BYTES;
    }

    /** Returns the encoding of the result. */
    public byte[] encode() {
        CborOut out = new CborOut().number(VERSION);
        metadata.write(out);
        return out.list(rows.pages(), CborOut::bytes).done();
    }

    /** Decodes what {@link #encode} returned, with a check of every bound and that each page has complete rows. */
    public static CachedResult decode(byte[] encoded) throws CborIn.FaultyMessageException {
        CborIn in = new CborIn(encoded);
        in.number(VERSION, VERSION);
        ResultMetadata metadata = ResultMetadata.read(in);
        List<byte[]> pages = new ArrayList<>(in.list(MAX_PAGES, item -> {
            byte[] page = item.bytes(MAX_ROW_BYTES);
            if (!ResultSet.hasCompleteRows(page)) {
                throw item.wrong("is a page with an incomplete row");
            }
            return page;
        }));
        in.end();
        return new CachedResult(metadata, new ResultSet(pages));
    }

    /** Returns the CRC-32C of bytes: it detects torn writes and flipped bits, not deliberate changes. */
    public static int crc32c(byte[] bytes) {
        CRC32C crc32c = new CRC32C();
        crc32c.update(bytes);
        return (int) crc32c.getValue();
    }
}
