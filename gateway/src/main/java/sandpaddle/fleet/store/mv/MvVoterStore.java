package sandpaddle.fleet.store.mv;

import java.util.Optional;
import java.util.function.LongSupplier;
import sandpaddle.fleet.store.RecoveredState;
import sandpaddle.fleet.store.StoreException;
import sandpaddle.fleet.store.StoreException.Kind;
import sandpaddle.fleet.store.StoreSettings;
import sandpaddle.fleet.store.StoreState;
import sandpaddle.fleet.store.VoterIdentity;
import sandpaddle.fleet.store.VoterStore;
import sandpaddle.fleet.store.disk.Disk;

/**
 * A {@link VoterStore} on H2's MVStore, in one directory that it locks. MVStore provides B-trees, copy-on-write and
 * reuse of space. Torn writes are detected above it, because MVStore checksums only the ends of what it writes (see
 * {@link ChecksummedFile}). A flush is one sync; opening reads and rewrites the content, which {@code most_bytes}
 * bounds. With L = {@code most_bytes}, the files take at most 9 L plus one flush: 4 L for the current file, 4 L for a
 * corrupt one that is kept, and L for a file being rewritten. Not thread-safe except for {@link #state}.
 */
public final class MvVoterStore implements VoterStore {
    private final Disk disk;
    private final String cluster;
    private final String member;
    private final StoreLifecycle lifecycle;
    private boolean hasStagedChanges;

    private MvVoterStore(Disk disk, String cluster, String member, StoreLifecycle lifecycle) {
        this.disk = disk;
        this.cluster = cluster;
        this.member = member;
        this.lifecycle = lifecycle;
    }

    /**
     * Opens a directory. A failing, full or read-only disk is not an error here: the state of the store reports it, and
     * {@link #probe} opens the directory later.
     *
     * @param disk the directory
     * @param cluster name of the cluster that must own the directory
     * @param member name of the gateway that must own the directory
     * @param settings bounds and intervals
     * @param clock monotonic time (us), the same as passed to {@link #probe}
     * @throws StoreException of kind LOCKED or FOREIGN if this gateway may not use the directory
     */
    public static MvVoterStore open(
            Disk disk, String cluster, String member, StoreSettings settings, LongSupplier clock)
            throws StoreException {
        StoreLifecycle lifecycle = new StoreLifecycle(disk, cluster, member, settings, clock);
        try {
            lifecycle.open();
        } catch (StoreException e) {
            if (e.kind() == Kind.LOCKED || e.kind() == Kind.FOREIGN) {
                lifecycle.close();
                throw e;
            }
        }
        return new MvVoterStore(disk, cluster, member, lifecycle);
    }

    private void stage(StoreLifecycle.IoAction action) throws StoreException {
        lifecycle.checkOpen();
        String fault = lifecycle.directory().header().fault();
        if (!fault.isEmpty()) {
            throw new StoreException(Kind.CORRUPT, "store is not trusted until it gets a new endpoint: " + fault);
        }
        hasStagedChanges = true;
        lifecycle.run(action);
    }

    @Override
    public RecoveredState recover() throws StoreException {
        if (!lifecycle.isOpen() && lifecycle.state().condition() != StoreState.Condition.CLOSED) {
            return RecoveredState.NOTHING;
        }
        return lifecycle.call(
                () -> lifecycle.records().recoveredState(lifecycle.directory().header()));
    }

    @Override
    public void setIdentity(VoterIdentity identity) throws StoreException {
        lifecycle.checkOpen();
        OpenDirectory.checkOwner(disk, identity, cluster, member);
        OpenDirectory directory = lifecycle.directory();
        Optional<VoterIdentity> owner = directory.header().identity();
        boolean sameIdentity = owner.isPresent() && owner.get().equals(identity);
        if (directory.header().fault().isEmpty()) {
            lifecycle.run(() -> directory.writeHeader(directory.header().withIdentity(Optional.of(identity), "")));
        } else if (sameIdentity) {
            throw new StoreException(
                    Kind.CORRUPT,
                    "endpoint " + identity.endpoint() + " may not vote again, its store is not trusted: "
                            + directory.header().fault());
        } else {
            lifecycle.run(() -> {
                directory.reset(identity);
                lifecycle.contentReplaced();
            });
        }
    }

    @Override
    public void distrust(String reason) throws StoreException {
        lifecycle.checkOpen();
        OpenDirectory directory = lifecycle.directory();
        lifecycle.run(() -> directory.writeHeader(
                directory.header().withIdentity(directory.header().identity(), reason)));
    }

    @Override
    public void setTerm(int term, String votedFor) throws StoreException {
        stage(() -> lifecycle.records().setTerm(term, votedFor));
        flush();
    }

    @Override
    public void append(long index, int term, byte[] entry) throws StoreException {
        stage(() -> lifecycle.records().append(index, term, entry));
    }

    @Override
    public void truncateFrom(long index) throws StoreException {
        stage(() -> lifecycle.records().truncateFrom(index));
    }

    @Override
    public void truncateUntil(long index) throws StoreException {
        stage(() -> lifecycle.records().truncateUntil(index));
    }

    @Override
    public void snapshotChunk(long index, int term, int chunk, int chunks, byte[] data) throws StoreException {
        stage(() -> lifecycle.records().putSnapshotChunk(index, term, chunk, chunks, data));
    }

    @Override
    public void dropSnapshot(long index) throws StoreException {
        stage(() -> lifecycle.records().dropSnapshot(index));
    }

    @Override
    public void put(String name, byte[] value) throws StoreException {
        stage(() -> lifecycle.records().put(name, value));
        flush();
    }

    @Override
    public Optional<byte[]> get(String name) throws StoreException {
        return lifecycle.call(() -> lifecycle.records().get(name));
    }

    @Override
    public void flush() throws StoreException {
        lifecycle.checkOpen();
        if (hasStagedChanges) {
            lifecycle.flush();
            hasStagedChanges = false;
        }
    }

    @Override
    public StoreState state() {
        return lifecycle.state();
    }

    @Override
    public StoreState probe(long nowUs) {
        boolean wasClosed = !lifecycle.isOpen();
        StoreState state = lifecycle.probe(nowUs);
        hasStagedChanges = hasStagedChanges && !wasClosed; // closing the files discarded the staged changes
        return state;
    }

    @Override
    public void close() {
        lifecycle.close();
    }
}
