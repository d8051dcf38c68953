package sandpaddle.fleet.store.mv;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import sandpaddle.fleet.store.RecoveredState;
import sandpaddle.fleet.store.StoreException;
import sandpaddle.fleet.store.StoredEntry;
import sandpaddle.fleet.store.StoredSnapshot;
import sandpaddle.fleet.store.VoterStore;
import sandpaddle.fleet.store.mv.ChecksummedFile.RecordMap;

/**
 * Maps term, vote, log, snapshots and named values to records of a {@link ChecksummedFile}, and enforces their bounds.
 * Values are big-endian. Not thread-safe.
 */
final class VoterRecords {
    /** Longest record: the largest value, its name and the numbers before it. */
    static final int MAX_RECORD_BYTES = VoterStore.MAX_VALUE_BYTES + 2048;

    private static final int MAX_NAME_CHARS = 256;
    private static final long TERM_KEY = 1; // key of term and vote in STATE
    private static final int CHUNK_BITS = Integer.numberOfTrailingZeros(VoterStore.MAX_CHUNKS);
    private static final long MAX_INDEX = Long.MAX_VALUE >> CHUNK_BITS;

    private final ChecksummedFile file;
    private final long maxBytes;
    private final Map<String, Long> keysByName = new HashMap<>(); // bounded by MAX_NAMES
    private long firstIndex = 1; // of the log; above lastIndex if the log is empty
    private long lastIndex;

    VoterRecords(ChecksummedFile file, long maxBytes) throws IOException {
        this.file = file;
        this.maxBytes = maxBytes;
        file.forEach(RecordMap.LOG, (index, value) -> {
            if (lastIndex >= firstIndex && index != lastIndex + 1) {
                throw new CorruptFileException(
                        "entry index " + index + " follows " + lastIndex + "; expected " + (lastIndex + 1));
            }
            firstIndex = lastIndex < firstIndex ? index : firstIndex;
            lastIndex = index;
        });
        file.forEach(RecordMap.VALUES, (key, value) -> keysByName.put(decodeName(value), key));
    }

    private static String decodeName(byte[] value) {
        ByteBuffer buffer = ByteBuffer.wrap(value);
        byte[] name = new byte[buffer.getShort()];
        buffer.get(name);
        return new String(name, StandardCharsets.UTF_8);
    }

    private static void require(boolean condition, String format, Object... arguments) {
        if (!condition) {
            throw new IllegalArgumentException(String.format(format, arguments));
        }
    }

    private void checkCapacity(long additionalBytes) throws StoreException {
        if (file.bytes() + additionalBytes > maxBytes) {
            throw new StoreException(
                    StoreException.Kind.FULL,
                    "store has " + file.bytes() + " bytes, " + additionalBytes + " more exceed the limit of " + maxBytes
                            + ": take a snapshot or raise the limit");
        }
    }

    /** Stages term and vote. */
    void setTerm(int term, String vote) throws IOException {
        byte[] encodedVote = vote == null ? new byte[0] : vote.getBytes(StandardCharsets.UTF_8);
        require(
                term >= 0 && encodedVote.length <= VoterStore.MAX_VALUE_BYTES,
                "term %d with a vote of %d bytes; expected term >= 0 and at most " + VoterStore.MAX_VALUE_BYTES
                        + " bytes",
                term,
                encodedVote.length);
        file.put(
                RecordMap.STATE,
                TERM_KEY,
                ByteBuffer.allocate(Integer.BYTES + 1 + encodedVote.length)
                        .putInt(term)
                        .put((byte) (vote == null ? 0 : 1))
                        .put(encodedVote)
                        .array());
    }

    /** Stages an entry after the last one. */
    void append(long index, int term, byte[] entry) throws IOException {
        require(index > 0 && index <= MAX_INDEX, "entry index %d is not from 1 to %d", index, MAX_INDEX);
        require(
                lastIndex < firstIndex || index == lastIndex + 1,
                "entry index %d follows %d; expected %d",
                index,
                lastIndex,
                lastIndex + 1);
        require(
                entry.length <= VoterStore.MAX_VALUE_BYTES,
                "entry %d has %d bytes; limit %d",
                index,
                entry.length,
                VoterStore.MAX_VALUE_BYTES);
        if (lastIndex - firstIndex + 1 >= VoterStore.MAX_ENTRIES) {
            throw new StoreException(
                    StoreException.Kind.FULL,
                    "log has " + VoterStore.MAX_ENTRIES + " entries, the maximum: take a snapshot");
        }
        checkCapacity(entry.length);
        file.put(
                RecordMap.LOG,
                index,
                ByteBuffer.allocate(Integer.BYTES + entry.length)
                        .putInt(term)
                        .put(entry)
                        .array());
        firstIndex = lastIndex < firstIndex ? index : firstIndex;
        lastIndex = index;
    }

    /** Stages the removal of this entry and all later ones. */
    void truncateFrom(long index) throws IOException {
        for (; lastIndex >= Math.max(index, firstIndex); lastIndex--) {
            file.remove(RecordMap.LOG, lastIndex);
        }
    }

    /** Stages the removal of this entry and all earlier ones. */
    void truncateUntil(long index) throws IOException {
        for (; firstIndex <= Math.min(index, lastIndex); firstIndex++) {
            file.remove(RecordMap.LOG, firstIndex);
        }
    }

    /** Stages one chunk of a snapshot. */
    void putSnapshotChunk(long index, int term, int chunk, int chunks, byte[] data) throws IOException {
        require(index >= 0 && index <= MAX_INDEX, "snapshot index %d is not from 0 to %d", index, MAX_INDEX);
        require(
                chunk >= 0 && chunk < chunks && chunks <= VoterStore.MAX_CHUNKS,
                "snapshot chunk %d of %d; at most %d",
                chunk,
                chunks,
                VoterStore.MAX_CHUNKS);
        require(
                data.length <= VoterStore.MAX_VALUE_BYTES,
                "chunk %d of snapshot %d has %d bytes; limit %d",
                chunk,
                index,
                data.length,
                VoterStore.MAX_VALUE_BYTES);
        checkCapacity(data.length);
        file.put(
                RecordMap.CHUNKS,
                index << CHUNK_BITS | chunk,
                ByteBuffer.allocate(2 * Integer.BYTES + data.length)
                        .putInt(term)
                        .putInt(chunks)
                        .put(data)
                        .array());
    }

    /** Stages the removal of all chunks of a snapshot. */
    void dropSnapshot(long index) throws IOException {
        for (int chunk = 0; chunk < VoterStore.MAX_CHUNKS; chunk++) {
            file.remove(RecordMap.CHUNKS, index << CHUNK_BITS | chunk);
        }
    }

    /** Stages a named value. */
    void put(String name, byte[] value) throws IOException {
        require(
                name.length() <= MAX_NAME_CHARS && value.length <= VoterStore.MAX_VALUE_BYTES,
                "name of %d characters with a value of %d bytes; limits %d and %d",
                name.length(),
                value.length,
                MAX_NAME_CHARS,
                VoterStore.MAX_VALUE_BYTES);
        Long key = keysByName.get(name);
        if (key == null) {
            require(
                    keysByName.size() < VoterStore.MAX_NAMES,
                    "new name, but the store has %d names, the maximum",
                    VoterStore.MAX_NAMES);
            key = (long) keysByName.size(); // names are never removed
        }
        checkCapacity(value.length);
        byte[] encodedName = name.getBytes(StandardCharsets.UTF_8);
        file.put(
                RecordMap.VALUES,
                key,
                ByteBuffer.allocate(Short.BYTES + encodedName.length + value.length)
                        .putShort((short) encodedName.length)
                        .put(encodedName)
                        .put(value)
                        .array());
        keysByName.put(name, key);
    }

    /** Reads a named value. */
    Optional<byte[]> get(String name) throws IOException {
        Long key = keysByName.get(name);
        if (key == null) {
            return Optional.empty();
        }
        byte[] value = file.get(RecordMap.VALUES, key);
        int valueStart = Short.BYTES + ByteBuffer.wrap(value).getShort();
        return Optional.of(Arrays.copyOfRange(value, valueStart, value.length));
    }

    /** All of the stored state, with the header of the directory. */
    RecoveredState recoveredState(HeaderFile.Header header) throws IOException {
        byte[] termRecord = file.get(RecordMap.STATE, TERM_KEY);
        int term = termRecord == null ? 0 : ByteBuffer.wrap(termRecord).getInt();
        Optional<String> vote = termRecord == null || termRecord[Integer.BYTES] == 0
                ? Optional.empty()
                : Optional.of(new String(
                        termRecord, Integer.BYTES + 1, termRecord.length - Integer.BYTES - 1, StandardCharsets.UTF_8));
        Optional<StoredSnapshot> snapshot = newestCompleteSnapshot();
        long snapshotIndex = snapshot.map(StoredSnapshot::index).orElse(0L);
        List<StoredEntry> entries = new ArrayList<>();
        file.forEach(RecordMap.LOG, (index, value) -> {
            if (index > snapshotIndex) {
                entries.add(new StoredEntry(
                        index,
                        ByteBuffer.wrap(value).getInt(),
                        Arrays.copyOfRange(value, Integer.BYTES, value.length)));
            }
        });
        return new RecoveredState(
                header.identity(),
                header.generation(),
                file.flushes(),
                term,
                vote,
                snapshot,
                entries,
                header.fault().isEmpty() ? List.of() : List.of(header.fault()));
    }

    /** The newest snapshot of which all chunks are stored. */
    private Optional<StoredSnapshot> newestCompleteSnapshot() throws IOException {
        TreeMap<Long, List<byte[]>> chunksByIndex = new TreeMap<>();
        file.forEach(
                RecordMap.CHUNKS,
                (key, value) -> chunksByIndex
                        .computeIfAbsent(key >> CHUNK_BITS, k -> new ArrayList<>())
                        .add(value));
        for (Map.Entry<Long, List<byte[]>> candidate :
                chunksByIndex.descendingMap().entrySet()) {
            ByteBuffer firstChunk = ByteBuffer.wrap(candidate.getValue().get(0));
            int term = firstChunk.getInt();
            if (firstChunk.getInt() == candidate.getValue().size()) {
                return Optional.of(new StoredSnapshot(
                        candidate.getKey(),
                        term,
                        candidate.getValue().stream()
                                .map(value -> Arrays.copyOfRange(value, 2 * Integer.BYTES, value.length))
                                .toList()));
            }
        }
        return Optional.empty();
    }
}
