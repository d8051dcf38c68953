package sandpaddle.fleet.store;

import java.io.Closeable;
import java.util.Optional;

/**
 * Durable storage of a voter: term, vote, log, snapshot, identity, and small named values. This is Raft's persistent
 * state (Ongaro and Ousterhout, 2014, figure 2). Changes are durable once {@link #flush}, or a method documented as
 * durable, has returned; the voter acknowledges nothing before that. After a failed sync no state in memory is
 * trusted, and the files are opened again ("Can Applications Recover from fsync Failures?", Rebello et al., 2020).
 *
 * <p>After a {@link StoreException} of a write the store accepts no writes until {@link #probe} has opened it again.
 * Then {@link RecoveredState#generation} is higher, changes that were not durable are lost, and the voter restarts
 * from {@link #recover}. All methods are called on one thread, except for {@link #state}, which is thread-safe.
 */
public interface VoterStore extends Closeable {
    /** Maximum size of an entry, a chunk of a snapshot and a named value. */
    int MAX_VALUE_BYTES = 1 << 20;
    /** Maximum number of entries; beyond it a snapshot has to be taken first. */
    int MAX_ENTRIES = 100_000;
    /** Maximum number of chunks of a snapshot. */
    int MAX_CHUNKS = 64;
    /** Maximum number of named values, and maximum length of a name in characters. */
    int MAX_NAMES = 256;

    /** Reads the durable state from the files at each call; the store keeps no copy in memory. */
    RecoveredState recover() throws StoreException;

    /**
     * Sets the owner; durable when it returns. Rejects another cluster or member than the current owner's. A store
     * that is not trusted accepts no writes until it gets a new endpoint, which empties it.
     */
    void setIdentity(VoterIdentity identity) throws StoreException;

    /** Marks the store as not trusted, for example as an old copy; durable until {@link #setIdentity}. */
    void distrust(String reason) throws StoreException;

    /** Sets term and vote; durable when it returns, with all staged changes. {@code votedFor} may be null. */
    void setTerm(int term, String votedFor) throws StoreException;

    /** Stages an entry after the last one; {@code index} is the last index plus one. */
    void append(long index, int term, byte[] entry) throws StoreException;

    /** Stages the removal of this entry and all later ones. */
    void truncateFrom(long index) throws StoreException;

    /** Stages the removal of this entry and all earlier ones. */
    void truncateUntil(long index) throws StoreException;

    /**
     * Stages a chunk of a snapshot. The snapshot is complete when all its chunks are durable.
     *
     * @param index index of the last entry that the snapshot covers
     * @param term term of that entry
     * @param chunk number of the chunk, from 0
     * @param chunks number of chunks of the snapshot
     * @param data content of the chunk
     */
    void snapshotChunk(long index, int term, int chunk, int chunks, byte[] data) throws StoreException;

    /** Stages the removal of all chunks of a snapshot. */
    void dropSnapshot(long index) throws StoreException;

    /** Makes all staged changes durable atomically. */
    void flush() throws StoreException;

    /** Stores a small named value (floors, margins, members); durable when it returns, with all staged changes. */
    void put(String name, byte[] value) throws StoreException;

    /** Reads a named value. */
    Optional<byte[]> get(String name) throws StoreException;

    /** The current health. */
    StoreState state();

    /**
     * Probes a failed disk when a probe is due, and opens the store again once the disk accepts writes. Call it about
     * every 100 ms, also while the store works.
     *
     * @param nowUs monotonic time (us)
     */
    StoreState probe(long nowUs);

    /** Releases the directory; changes that were not flushed are lost. */
    @Override
    void close();
}
