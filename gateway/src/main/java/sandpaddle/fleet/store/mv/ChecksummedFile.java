package sandpaddle.fleet.store.mv;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.Callable;
import org.h2.mvstore.Cursor;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.type.LongDataType;
import sandpaddle.fleet.store.disk.DiskFile;

/**
 * An MVStore file with a checksum record in each version: the number of flushes so far, and a {@link MultisetHash} of
 * all records. MVStore checksums only the header and the footer of a chunk, so it accepts a chunk whose middle was
 * lost in a crash (a torn write); the checksum record detects that. A file is written during one opening of the store
 * only: the next opening reads it and writes another, so nothing is appended to an end that may be torn, or to content
 * that only the page cache has after a failed sync. Opening costs time linear in the content, which the store's
 * settings bound; a flush costs one write for each changed page and one sync. Not thread-safe.
 */
final class ChecksummedFile implements AutoCloseable {
    /**
     * The maps of a file. The name is the map's name in MVStore and the position is part of the hash: never rename or
     * reorder a constant.
     */
    enum RecordMap {
        STATE,
        LOG,
        CHUNKS,
        VALUES
    }

    private static final int CACHE_MB = 1;
    private static final int VERSIONS_TO_TRY = 2; // the newest, and the one before it if the newest is torn
    private static final int VERSIONS_TO_KEEP = 8; // with 2, MVStore may overwrite chunks that the last version needs
    private static final long CHECKSUM_KEY = 0; // key of the checksum record in STATE
    private static final int RECORD_OVERHEAD_BYTES = 64; // estimated size of a record without its value

    private final DiskFileChannel channel;
    private final MVStore store;
    private final Map<RecordMap, MVMap<Long, byte[]>> maps = new EnumMap<>(RecordMap.class);
    private final MultisetHash contentHash = new MultisetHash();
    private long flushes, bytes;

    private ChecksummedFile(DiskFile file, boolean readOnly, int maxValueBytes) throws IOException {
        channel = new DiskFileChannel(file);
        String name = ChannelFilePath.registerChannel(channel);
        try {
            store = translateErrors(() -> {
                MVStore.Builder builder = new MVStore.Builder()
                        .fileName(name)
                        .autoCommitDisabled()
                        .autoCommitBufferSize(0)
                        .cacheSize(CACHE_MB);
                return (readOnly ? builder.readOnly() : builder).open();
            });
        } finally {
            ChannelFilePath.unregisterChannel(name);
        }
        store.setRetentionTime(-1); // old chunks are retained by versions, not by wall-clock time
        store.setVersionsToKeep(VERSIONS_TO_KEEP);
        for (RecordMap map : RecordMap.values()) {
            maps.put(
                    map,
                    translateErrors(() -> store.openMap(
                            map.name(),
                            new MVMap.Builder<Long, byte[]>()
                                    .keyType(LongDataType.INSTANCE)
                                    .valueType(new ByteArrayType(maxValueBytes + RECORD_OVERHEAD_BYTES)))));
        }
    }

    /** Creates an empty file for writing, after {@code flushes} flushes; closing it closes {@code file}. */
    static ChecksummedFile create(DiskFile file, int maxValueBytes, long flushes) throws IOException {
        file.truncate(0);
        ChecksummedFile created = new ChecksummedFile(file, false, maxValueBytes);
        created.flushes = flushes;
        return created;
    }

    /**
     * Opens the newest intact version of a file for reading; closing it leaves {@code file} open. At most one version
     * can be torn, since at most one flush is in progress at a crash.
     *
     * @throws CorruptFileException if neither the newest version nor the one before it is intact
     */
    static ChecksummedFile read(DiskFile file, int maxValueBytes) throws IOException {
        CorruptFileException failure =
                new CorruptFileException("no intact version among the newest " + VERSIONS_TO_TRY);
        for (VersionView version : VersionView.newestVersions(file, VERSIONS_TO_TRY)) {
            ChecksummedFile candidate = null;
            try {
                candidate = new ChecksummedFile(version, true, maxValueBytes);
                candidate.verify();
                return candidate;
            } catch (CorruptFileException e) {
                failure.addSuppressed(e);
            }
            if (candidate != null) {
                candidate.close();
            }
        }
        throw failure;
    }

    private void verify() throws IOException {
        for (RecordMap map : RecordMap.values()) {
            forEach(map, (key, value) -> {
                if (map != RecordMap.STATE || key != CHECKSUM_KEY) {
                    contentHash.add(map.ordinal(), key, value);
                    bytes += RECORD_OVERHEAD_BYTES + value.length;
                }
            });
        }
        byte[] checksumRecord = get(RecordMap.STATE, CHECKSUM_KEY);
        if (checksumRecord == null || checksumRecord.length != 2 * Long.BYTES) {
            throw new CorruptFileException(
                    checksumRecord == null
                            ? "checksum record is missing"
                            : "checksum record has " + checksumRecord.length + " bytes; expected " + 2 * Long.BYTES);
        }
        ByteBuffer buffer = ByteBuffer.wrap(checksumRecord);
        flushes = buffer.getLong();
        if (buffer.getLong() != contentHash.sum()) {
            throw new CorruptFileException(
                    "hash of the records after flush " + flushes + " is " + Long.toHexString(contentHash.sum())
                            + "; expected " + Long.toHexString(buffer.getLong(Long.BYTES)));
        }
    }

    /** Runs an MVStore operation; its error becomes the I/O error that caused it, or else a corrupt file. */
    private <T> T translateErrors(Callable<T> operation) throws IOException {
        try {
            return operation.call();
        } catch (Exception | OutOfMemoryError | StackOverflowError | AssertionError e) {
            // a corrupt page may claim any size or nesting depth
            if (channel.firstFailure() != null) {
                throw channel.firstFailure();
            }
            if (e instanceof IOException ioException) {
                throw ioException;
            }
            throw new CorruptFileException(String.valueOf(e.getMessage()).split("\n", 2)[0], e);
        }
    }

    /** Number of flushes over all openings of the store. */
    long flushes() {
        return flushes;
    }

    /** Approximate size of all records (bytes). */
    long bytes() {
        return bytes;
    }

    /** Size of the file (bytes). */
    long fileBytes() throws IOException {
        return channel.size();
    }

    /** The value of a key, or null. */
    byte[] get(RecordMap map, long key) throws IOException {
        return translateErrors(() -> maps.get(map).get(key));
    }

    /** Receives the records of a map. */
    interface RecordVisitor {
        void visit(long key, byte[] value) throws IOException;
    }

    /** Visits the records of a map in order of their keys. */
    void forEach(RecordMap map, RecordVisitor visitor) throws IOException {
        translateErrors(() -> {
            Cursor<Long, byte[]> cursor = maps.get(map).cursor(null);
            while (cursor.hasNext()) {
                long key = cursor.next();
                if (cursor.getValue() == null) {
                    throw new CorruptFileException("key " + key + " of map " + map + " has no value");
                }
                visitor.visit(key, cursor.getValue());
            }
            return null;
        });
    }

    /** Stores a value under a key, replacing the previous one. */
    void put(RecordMap map, long key, byte[] value) throws IOException {
        byte[] old = translateErrors(() -> maps.get(map).put(key, value));
        subtract(map, key, old);
        contentHash.add(map.ordinal(), key, value);
        bytes += RECORD_OVERHEAD_BYTES + value.length;
    }

    /** Removes a key, if present. */
    void remove(RecordMap map, long key) throws IOException {
        subtract(map, key, translateErrors(() -> maps.get(map).remove(key)));
    }

    private void subtract(RecordMap map, long key, byte[] old) {
        if (old != null) {
            contentHash.remove(map.ordinal(), key, old);
            bytes -= RECORD_OVERHEAD_BYTES + old.length;
        }
    }

    /** Copies all records of another file. */
    void copyFrom(ChecksummedFile other) throws IOException {
        for (RecordMap map : RecordMap.values()) {
            other.forEach(map, (key, value) -> {
                if (map != RecordMap.STATE || key != CHECKSUM_KEY) {
                    put(map, key, value);
                }
            });
        }
    }

    /** Makes all changes durable as one version. After an error the file accepts no more changes. */
    void flush() throws IOException {
        flushes++;
        commit();
    }

    /** Like {@link #flush}, without counting a flush. */
    void commit() throws IOException {
        byte[] checksumRecord = ByteBuffer.allocate(2 * Long.BYTES)
                .putLong(flushes)
                .putLong(contentHash.sum())
                .array();
        translateErrors(() -> maps.get(RecordMap.STATE).put(CHECKSUM_KEY, checksumRecord));
        translateErrors(() -> {
            store.commit();
            store.sync();
            return null;
        });
        if (channel.firstFailure() != null || store.isClosed()) {
            throw channel.firstFailure() != null
                    ? channel.firstFailure()
                    : new IOException("MVStore closed the file after an internal error");
        }
    }

    /** Closes the file without writing; changes that were not flushed are lost. */
    @Override
    public void close() {
        store.closeImmediately();
    }
}
