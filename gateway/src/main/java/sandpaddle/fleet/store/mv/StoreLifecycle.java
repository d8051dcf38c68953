package sandpaddle.fleet.store.mv;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.LongSupplier;
import sandpaddle.fleet.store.DiskHealth;
import sandpaddle.fleet.store.StoreException;
import sandpaddle.fleet.store.StoreException.Kind;
import sandpaddle.fleet.store.StoreSettings;
import sandpaddle.fleet.store.StoreState;
import sandpaddle.fleet.store.disk.Disk;
import sandpaddle.fleet.store.disk.DiskFile;

/**
 * The life cycle of a voter's directory: locks and opens it, closes it after an I/O error, probes the disk, and opens
 * the directory again. Not thread-safe except for {@link #state}.
 */
final class StoreLifecycle {
    private static final String PROBE_FILE = "voter.probe";
    private static final int PROBE_BYTES = 64 << 10;
    private static final int COMPACTION_RATIO = 4; // file size over content size at which the file is rewritten

    private final Disk disk;
    private final String cluster;
    private final String member;
    private final StoreSettings settings;
    private final LongSupplier clock;
    private final DiskHealth health;
    private Closeable lock;
    private OpenDirectory directory; // null while it is not open
    private VoterRecords records;
    private boolean closed;
    private volatile StoreState state;

    StoreLifecycle(Disk disk, String cluster, String member, StoreSettings settings, LongSupplier clock) {
        this.disk = disk;
        this.cluster = cluster;
        this.member = member;
        this.settings = settings;
        this.clock = clock;
        long nowUs = clock.getAsLong();
        health = new DiskHealth(settings, nowUs);
        state = health.state(nowUs);
    }

    /** Reads or writes the store. */
    interface IoAction {
        void run() throws IOException;
    }

    /** Reads the store and returns a result. */
    interface IoSupplier<T> {
        T get() throws IOException;
    }

    /** Locks and opens the directory; after a failure {@link #probe} tries again. */
    void open() throws StoreException {
        try {
            tryOpen();
        } catch (IOException e) {
            throw recordFailure(e);
        }
    }

    private void tryOpen() throws IOException {
        if (lock == null) {
            lock = disk.lock();
        }
        long freeBytes = disk.freeBytes();
        if (!health.hasEnoughSpace(freeBytes)) {
            throw new StoreException(
                    Kind.FULL,
                    disk + " has " + freeBytes + " free bytes; " + settings.minFreeBytes() + " are required");
        }
        try (DiskFile probe = disk.open(PROBE_FILE)) {
            probe.write(0, ByteBuffer.allocate(PROBE_BYTES));
            probe.force();
        } finally {
            disk.delete(PROBE_FILE);
        }
        directory = OpenDirectory.open(disk, cluster, member, VoterRecords.MAX_RECORD_BYTES);
        records = new VoterRecords(directory.contentFile(), settings.maxBytes());
        long nowUs = clock.getAsLong();
        health.onOpened(nowUs);
        state = health.state(nowUs);
    }

    /** Records an I/O error and closes the files, since the state in memory may differ from that on the disk. */
    private StoreException recordFailure(IOException error) {
        StoreException failure = FailureClassifier.toStoreException(error, disk);
        closeDirectory();
        long nowUs = clock.getAsLong();
        health.onFailed(failure.kind(), failure.getMessage(), nowUs);
        state = health.state(nowUs);
        return failure;
    }

    private void closeDirectory() {
        if (directory != null) {
            directory.close();
        }
        directory = null;
        records = null;
    }

    boolean isOpen() {
        return directory != null;
    }

    /** Throws the reason if the directory is not open. */
    void checkOpen() throws StoreException {
        if (closed) {
            throw new StoreException(Kind.CLOSED, "the store in " + disk + " is closed");
        }
        if (directory == null) {
            throw new StoreException(
                    switch (state.condition()) {
                        case FULL -> Kind.FULL;
                        case READ_ONLY -> Kind.READ_ONLY;
                        default -> Kind.IO;
                    },
                    state.reason());
        }
    }

    /** Runs an action; after an I/O error the directory is closed. */
    void run(IoAction action) throws StoreException {
        call(() -> {
            action.run();
            return null;
        });
    }

    /** Returns a result; after an I/O error the directory is closed. */
    <T> T call(IoSupplier<T> supplier) throws StoreException {
        checkOpen();
        try {
            return supplier.get();
        } catch (IOException e) {
            throw recordFailure(e);
        }
    }

    /** Makes all staged changes durable, and compacts the file if it has grown too large. */
    void flush() throws StoreException {
        long startUs = clock.getAsLong();
        run(directory::flush);
        long endUs = clock.getAsLong();
        health.onSynced(endUs - startUs, endUs);
        state = health.state(endUs);
        compact();
    }

    /**
     * Rewrites a file that has grown too large. The preceding flush is durable even if this fails; a failure shows in
     * the state and at the next write.
     */
    private void compact() {
        try {
            long minFileBytes = settings.maxBytes() / COMPACTION_RATIO;
            if (directory.contentFile().fileBytes()
                    > Math.max(
                            minFileBytes,
                            COMPACTION_RATIO * directory.contentFile().bytes())) {
                directory.compact();
                contentReplaced();
            }
        } catch (IOException e) {
            recordFailure(e);
        }
    }

    /** The content was moved to another file. */
    void contentReplaced() throws IOException {
        records = new VoterRecords(directory.contentFile(), settings.maxBytes());
    }

    /** Opens the directory if it is closed and a probe is due. */
    StoreState probe(long nowUs) {
        if (closed) {
            return state;
        }
        if (health.isProbeDue(nowUs)) {
            try {
                tryOpen();
            } catch (IOException e) {
                recordFailure(e);
            }
        }
        state = health.state(nowUs);
        return state;
    }

    /** Closes the files and releases the lock. */
    void close() {
        closed = true;
        closeDirectory();
        state = new StoreState(StoreState.Condition.CLOSED, "closed");
        if (lock != null) {
            try {
                lock.close();
            } catch (IOException e) {
                state = new StoreState(
                        StoreState.Condition.CLOSED,
                        "closed, but the lock of the directory may still be held: " + e.getMessage());
            }
            lock = null;
        }
    }

    OpenDirectory directory() {
        return directory;
    }

    VoterRecords records() {
        return records;
    }

    StoreState state() {
        return state;
    }
}
