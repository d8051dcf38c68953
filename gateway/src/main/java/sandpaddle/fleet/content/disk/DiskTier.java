package sandpaddle.fleet.content.disk;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import sandpaddle.fleet.content.CachedResult;
import sandpaddle.fleet.content.ResultId;
import sandpaddle.fleet.wire.CborIn;

/**
 * Cached results on disk within a quota, in immutable segments (the log-structured layout of Rosenblum and Ousterhout
 * 1992). Entries are buffered in memory and written together as one file, which is synced and renamed before the
 * directory is synced. A crash therefore loses at most the buffered entries and leaves no partial segment, and a
 * hundred thousand small entries take a few hundred files.
 *
 * <p>Eviction removes the segments with the lowest value per byte. Their entries compete by value per byte with the
 * entries being written for the freed space, so valuable entries of a poor segment survive; a flush rewrites at most as
 * much as it removes.
 *
 * <p>The checksum of an entry is verified on each read. A disk fault never makes a call throw: it is recorded, the
 * entry counts as not cached, and writing is retried after {@link DiskSettings#retryUs}. Memory: 250 bytes for each
 * entry and at most four times the segment size. Calls block on the disk, so they must not come from the event loop;
 * not thread-safe.
 */
public final class DiskTier {
    /** Number of segments evicted for one write on a full disk before the write is abandoned. */
    private static final int MAX_EVICTIONS_ON_FULL_DISK = 3;

    /** The write buffer holds at most the maximum number of entries of a segment divided by this. */
    private static final int BUFFERED_ENTRIES_DIVISOR = 4;

    private final DiskSettings settings;
    private final FaultLog faults = new FaultLog();
    private final Index index = new Index();
    private final WriteBuffer writeBuffer = new WriteBuffer();
    private final SegmentStore segments;
    private long lastSegmentNumber;
    private long writesPausedUntilUs = Long.MIN_VALUE;

    private DiskTier(StorageDirectory files, DiskSettings settings) {
        this.settings = settings;
        segments = new SegmentStore(files, settings, faults, index);
        lastSegmentNumber = new Recovery(files, settings, faults, index).run();
    }

    /**
     * Opens a tier with the segments that the directory contains, and evicts down to the settings.
     *
     * @param files directory of the segments
     * @param settings bounds
     * @param wallMs wall-clock time; results that are too old by it have no value
     */
    public static DiskTier open(StorageDirectory files, DiskSettings settings, long wallMs) {
        DiskTier tier = new DiskTier(files, settings);
        tier.segments.makeRoom(tier.writeBuffer, wallMs);
        return tier;
    }

    /** Returns and clears the faults since the last call. */
    public List<DiskFault> faults() {
        return faults.drain();
    }

    /**
     * Buffers a result, which is durable after the next successful {@link #flush}; flushes if the buffer is full.
     *
     * @param result the result
     * @param nowUs monotonic time
     * @param wallMs wall-clock time
     */
    public void put(CachedResult result, long nowUs, long wallMs) {
        writeBuffer.put(EncodedEntry.of(result));
        if (writeBuffer.diskBytes() >= settings.segmentBytes()
                || writeBuffer.size() >= SegmentCodec.MAX_ENTRIES / BUFFERED_ENTRIES_DIVISOR) {
            flush(nowUs, wallMs);
        }
    }

    /** Reads and verifies a result; an unreadable or corrupt entry is dropped and recorded as a fault. */
    public Optional<CachedResult> get(ResultId id) {
        byte[] bytes = writeBuffer
                .get(id)
                .map(EncodedEntry::bytes)
                .or(() -> segments.read(id))
                .orElse(null);
        if (bytes == null) {
            return Optional.empty();
        }
        try {
            CachedResult result = CachedResult.decode(bytes);
            if (result.metadata().key().id().equals(id)) {
                return Optional.of(result);
            }
            faults.add(DiskFault.Kind.CORRUPT, "", "entry " + id + " has the key of another result");
        } catch (CborIn.FaultyMessageException e) {
            faults.add(DiskFault.Kind.CORRUPT, "", "entry " + id + ": " + e.getMessage());
        }
        remove(id);
        return Optional.empty();
    }

    /** Removes a result; its bytes on disk are freed with its segment. */
    public void remove(ResultId id) {
        writeBuffer.remove(id);
        index.markDead(id);
    }

    /** Writes the buffered entries as a segment; returns whether all of them are durable or were evicted. */
    public boolean flush(long nowUs, long wallMs) {
        if (writeBuffer.size() > 0 && nowUs >= writesPausedUntilUs) {
            segments.retryDeletions();
            WriteBuffer batch = writeBuffer.copy();
            List<Segment> compacted = segments.collectForCompaction(batch);
            if (write(batch, wallMs)) {
                compacted.forEach(segments::remove);
                writeBuffer.clear();
            } else {
                writeBuffer.putAll(batch); // entries of evicted segments may be written by the next flush
                writesPausedUntilUs = nowUs + settings.retryUs();
            }
        }
        writeBuffer.trim(settings.segmentBytes(), SegmentCodec.MAX_ENTRIES / BUFFERED_ENTRIES_DIVISOR, wallMs);
        return writeBuffer.size() == 0;
    }

    /** Writes a segment; if the disk is full although the quota is not, evicts a few of the least valuable segments. */
    private boolean write(WriteBuffer batch, long wallMs) {
        for (int evictions = 0; ; evictions++) {
            segments.makeRoom(batch, wallMs);
            if (batch.size() == 0) {
                return true;
            }
            String name = Recovery.segmentName(++lastSegmentNumber);
            try {
                segments.write(name, batch);
                return true;
            } catch (StorageDirectory.DiskFullException e) {
                faults.add(DiskFault.Kind.FULL, name, e);
                segments.deletePartialWrite(name, batch.diskBytes());
                long freedBytes =
                        evictions == MAX_EVICTIONS_ON_FULL_DISK ? 0 : segments.evictLeastValuable(wallMs, batch);
                if (freedBytes == 0) {
                    return false;
                }
                batch.trim(freedBytes, SegmentCodec.MAX_ENTRIES, wallMs); // at most the space that was just freed
            } catch (IOException | SegmentCodec.CorruptSegmentException e) {
                faults.add(DiskFault.Kind.WRITE, name, e.toString());
                segments.deletePartialWrite(name, batch.diskBytes());
                return false;
            }
        }
    }

    /** Returns the wall-clock time (ms) at which the result was requested, or -1 if there is none. */
    public long requestedAtMs(ResultId id) {
        return writeBuffer
                .get(id)
                .map(EncodedEntry::requestedAtWallMs)
                .or(() -> index.find(id).map(segment -> segment.live().get(id).requestedAtWallMs()))
                .orElse(-1L);
    }

    /** Returns the ids of the entries on disk, at most {@code maxEntries}, and of the buffered entries. */
    public Set<ResultId> ids() {
        Set<ResultId> ids = new TreeSet<>(index.ids());
        ids.addAll(writeBuffer.ids());
        return ids;
    }

    /** Returns the number of entries on disk. */
    public int entryCount() {
        return index.entries();
    }

    /** Returns the size of all segments in bytes. */
    public long bytes() {
        return index.bytes();
    }

    /** Returns the number of segments. */
    public int segmentCount() {
        return index.segments().size();
    }

    /**
     * Returns the latest wall-clock time (ms) at which a result on disk was requested; a clock that shows less was set
     * back.
     */
    public long newestWallMs() {
        return index.newestWallMs();
    }
}
