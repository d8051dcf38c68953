package sandpaddle.fleet.store.mv;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.h2.mvstore.DataUtils;
import sandpaddle.fleet.store.disk.DiskFile;

/**
 * Read-only view of an MVStore file as of one version: the store header refers to the chunk of that version, and newer
 * chunks read as zeros. Without it MVStore 2.3 may open an older version than the newest intact one: if the store
 * header refers to a chunk that a crash tore, MVStore uses the chunk at the end of the file, which need not be the
 * newest, because space is reused. The file is not changed, and stays open when the view is closed.
 */
final class VersionView implements DiskFile {
    private static final int BLOCK_BYTES = 4096; // of MVStore; chunks start at multiples of it
    private static final int STORE_HEADER_BLOCKS = 2; // at the start of the file, with the same content
    private static final int CHUNK_HEADER_BYTES = 1024; // maximum
    private static final int CHUNK_FOOTER_BYTES = 128; // at the end of a chunk
    private static final Pattern HEADER_OR_FOOTER = // both have the chunk's number, version and length in blocks
            Pattern.compile(
                    "chunk:([0-9a-f]{1,7}),(?:[^\n]*?,)??len:([0-9a-f]{1,7}),(?:[^\n]*?,)??"
                            + "version:([0-9a-f]{1,15})[,\n ].*",
                    Pattern.DOTALL);

    /** A chunk whose header and footer match; {@code block} is its first block. */
    private record Chunk(long block, String number, long version) {}

    private final DiskFile file;
    private final byte[] header;
    private final List<Chunk> newerChunks;

    private VersionView(DiskFile file, Chunk chunk, List<Chunk> newerChunks) {
        this.file = file;
        this.newerChunks = newerChunks;
        String text = "H:2,block:" + Long.toHexString(chunk.block) + ",blockSize:1000,chunk:" + chunk.number
                + ",created:1,format:3,version:" + Long.toHexString(chunk.version);
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        String checksum = Integer.toHexString(DataUtils.getFletcher32(bytes, 0, bytes.length));
        header = (text + ",fletcher:" + checksum + "\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Views of the newest versions in the file, newest first, at most {@code maxVersions}. */
    static List<VersionView> newestVersions(DiskFile file, int maxVersions) throws IOException {
        List<Chunk> chunks = new ArrayList<>();
        for (long block = STORE_HEADER_BLOCKS; block < file.size() / BLOCK_BYTES; block++) {
            Matcher chunkHeader = HEADER_OR_FOOTER.matcher(readText(file, block * BLOCK_BYTES, CHUNK_HEADER_BYTES));
            if (chunkHeader.matches()) {
                long end = (block + Long.parseLong(chunkHeader.group(2), 16)) * BLOCK_BYTES;
                Matcher chunkFooter =
                        HEADER_OR_FOOTER.matcher(readText(file, end - CHUNK_FOOTER_BYTES, CHUNK_FOOTER_BYTES));
                if (chunkFooter.matches()
                        && chunkFooter.group(1).equals(chunkHeader.group(1))
                        && chunkFooter.group(3).equals(chunkHeader.group(3))) {
                    chunks.add(new Chunk(block, chunkHeader.group(1), Long.parseLong(chunkHeader.group(3), 16)));
                }
            }
        }
        chunks.sort(Comparator.comparingLong(Chunk::version).reversed());
        List<VersionView> views = new ArrayList<>();
        for (int i = 0; i < Math.min(maxVersions, chunks.size()); i++) {
            views.add(new VersionView(file, chunks.get(i), chunks.subList(0, i)));
        }
        return views;
    }

    private static String readText(DiskFile file, long position, int length) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(length);
        file.read(position, buffer);
        return new String(buffer.array(), 0, buffer.position(), StandardCharsets.ISO_8859_1);
    }

    @Override
    public int read(long position, ByteBuffer buffer) throws IOException {
        int start = buffer.position();
        int count = file.read(position, buffer);
        for (int i = 0; i < count && position + i < STORE_HEADER_BLOCKS * BLOCK_BYTES; i++) {
            int offset = (int) ((position + i) % BLOCK_BYTES);
            buffer.put(start + i, offset < header.length ? header[offset] : (byte) ' ');
        }
        for (Chunk chunk : newerChunks) {
            long from = chunk.block * BLOCK_BYTES;
            for (long i = Math.max(position, from); i < Math.min(position + count, from + CHUNK_HEADER_BYTES); i++) {
                buffer.put(start + (int) (i - position), (byte) 0);
            }
        }
        return count;
    }

    @Override
    public void write(long position, ByteBuffer buffer) throws IOException {
        throw new IOException(
                "write of " + buffer.remaining() + " bytes at " + position + " to a read-only view of a version");
    }

    @Override
    public long size() throws IOException {
        return file.size();
    }

    @Override
    public void truncate(long size) throws IOException {
        throw new IOException("truncation to " + size + " bytes of a read-only view of a version");
    }

    @Override
    public void force() {
        // nothing was written
    }

    @Override
    public void close() {
        // the caller that opened the file closes it
    }
}
