package sandpaddle.fleet.content.disk;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import sandpaddle.fleet.content.CachedResult;
import sandpaddle.fleet.content.ResultId;

/** Writes, reads, evicts and compacts the segments on disk. */
final class SegmentStore {
    private final StorageDirectory files;
    private final DiskSettings settings;
    private final FaultLog faults;
    private final Index index;
    private final Map<String, Long> undeletedBytes = new TreeMap<>(); // sizes of the files that could not be deleted

    SegmentStore(StorageDirectory files, DiskSettings settings, FaultLog faults, Index index) {
        this.files = files;
        this.settings = settings;
        this.faults = faults;
        this.index = index;
    }

    /** Writes a segment atomically: temporary file, sync, rename, sync of the directory. */
    void write(String name, WriteBuffer batch) throws IOException, SegmentCodec.CorruptSegmentException {
        byte[] encoded = SegmentCodec.write(batch.entries());
        files.write(name + Recovery.TEMPORARY_SUFFIX, encoded);
        files.sync(name + Recovery.TEMPORARY_SUFFIX);
        files.rename(name + Recovery.TEMPORARY_SUFFIX, name);
        files.syncDirectory();
        index.add(new Segment(
                name,
                encoded.length,
                SegmentCodec.read(files, name, encoded.length).locations()));
    }

    /** Deletes what a failed write may have left under the temporary or the final name. */
    void deletePartialWrite(String name, long bytes) {
        remove(name + Recovery.TEMPORARY_SUFFIX, bytes);
        remove(name, bytes);
    }

    private void remove(String file, long bytes) {
        try {
            files.delete(file);
            undeletedBytes.remove(file);
        } catch (IOException e) {
            if (undeletedBytes.size() < settings.maxFiles()) {
                undeletedBytes.put(file, bytes);
            }
            faults.add(DiskFault.Kind.WRITE, file, "cannot be deleted: " + e.getMessage());
        }
    }

    void retryDeletions() {
        List.copyOf(undeletedBytes.entrySet()).forEach(e -> remove(e.getKey(), e.getValue()));
    }

    void remove(Segment segment) {
        index.remove(segment);
        remove(segment.name(), segment.size());
    }

    /**
     * Reads and verifies the bytes of an entry; one that is unreadable or corrupt is dropped and recorded as a fault.
     */
    Optional<byte[]> read(ResultId id) {
        Segment segment = index.find(id).orElse(null);
        if (segment == null) {
            return Optional.empty();
        }
        EntryLocation location = segment.live().get(id);
        try {
            byte[] bytes = files.read(segment.name(), location.offset(), location.length());
            if (bytes.length == location.length() && CachedResult.crc32c(bytes) == location.crc32c()) {
                return Optional.of(bytes);
            }
            faults.add(
                    bytes.length < location.length() ? DiskFault.Kind.TORN : DiskFault.Kind.CORRUPT,
                    segment.name(),
                    "entry " + id + " at offset " + location.offset() + ": found " + bytes.length + " of "
                            + location.length() + " bytes, or a checksum that does not match");
        } catch (IOException e) {
            faults.add(DiskFault.Kind.READ, segment.name(), e);
        }
        index.markDead(id);
        return Optional.empty();
    }

    /** Adds a live entry to a batch, unless the batch has a newer version. */
    private void rewrite(EntryLocation location, WriteBuffer batch) {
        if (!batch.contains(location.id())) {
            read(location.id())
                    .ifPresent(b -> batch.put(new EncodedEntry(
                            location.id(), location.requestedAtWallMs(), location.maxAgeMs(), location.value(), b)));
        }
    }

    /**
     * Selects small segments for compaction if there are many segments: adds the entries of the smallest ones that fit
     * to {@code batch}.
     *
     * @return the selected segments, to be removed once the batch is written
     */
    List<Segment> collectForCompaction(WriteBuffer batch) {
        if (index.segments().size() < settings.maxFiles() / 2) {
            return List.of();
        }
        List<Segment> smallest = new ArrayList<>(index.segments());
        smallest.sort(Comparator.comparingLong(Segment::size));
        List<Segment> selected = new ArrayList<>();
        for (Segment segment : smallest) {
            if (batch.diskBytes() + segment.size() > settings.segmentBytes()
                    || batch.size() + segment.live().size() > SegmentCodec.MAX_ENTRIES) {
                break;
            }
            List.copyOf(segment.live().values()).forEach(location -> rewrite(location, batch));
            selected.add(segment);
        }
        return selected;
    }

    /**
     * Evicts the least valuable segments until {@code batch} fits the bounds. Their live entries compete with the batch
     * for the freed space, so the valuable entries of an evicted segment survive.
     */
    void makeRoom(WriteBuffer batch, long wallMs) {
        long maxBatchBytes = Math.max(2L * settings.segmentBytes(), batch.diskBytes());
        long excessBytes = usedBytes() + batch.diskBytes() - settings.quotaBytes();
        long excessEntries = index.entries() + batch.size() - settings.maxEntries();
        boolean isFileLimitReached = index.segments().size() >= settings.maxFiles();
        while ((excessBytes > 0 || excessEntries > 0 || isFileLimitReached)
                && !index.segments().isEmpty()) {
            long entries = index.entries();
            excessBytes -= evictLeastValuable(wallMs, batch);
            excessEntries -= entries - index.entries();
            isFileLimitReached = false;
        }
        batch.trim(
                Math.min(maxBatchBytes, Math.max(0, settings.quotaBytes() - usedBytes())),
                settings.maxEntries() - index.entries(),
                wallMs);
    }

    private long usedBytes() {
        return index.bytes()
                + undeletedBytes.values().stream().mapToLong(b -> b).sum();
    }

    /** Evicts the least valuable segment and adds its live entries to {@code batch}; returns the freed bytes. */
    long evictLeastValuable(long wallMs, WriteBuffer batch) {
        Segment leastValuable = index.leastValuable(wallMs).orElse(null);
        if (leastValuable == null) {
            return 0;
        }
        List.copyOf(leastValuable.live().values()).forEach(location -> rewrite(location, batch));
        remove(leastValuable);
        return leastValuable.size();
    }
}
