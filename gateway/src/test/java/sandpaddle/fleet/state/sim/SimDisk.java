package sandpaddle.fleet.state.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import sandpaddle.fleet.store.RecoveredState;
import sandpaddle.fleet.store.StoreException;
import sandpaddle.fleet.store.StoreState;
import sandpaddle.fleet.store.StoredEntry;
import sandpaddle.fleet.store.StoredSnapshot;
import sandpaddle.fleet.store.VoterIdentity;
import sandpaddle.fleet.store.VoterStore;

/**
 * A disk in memory: flushed writes survive the closing of its store, staged ones are lost. Its writes can be made fail.
 */
public final class SimDisk {
    /** Whether writes succeed. */
    public enum Health {
        GOOD,
        FULL,
        FAILING
    }

    private static final class Content {
        private VoterIdentity identity;
        private long generation;
        private int term;
        private String vote;
        private long firstKept = 1;
        private TreeMap<Long, StoredEntry> entries = new TreeMap<>();
        private TreeMap<Long, TreeMap<Integer, byte[]>> chunks = new TreeMap<>();
        private TreeMap<Long, int[]> snapshots = new TreeMap<>(); // term and number of chunks by index
        private TreeMap<String, byte[]> values = new TreeMap<>();

        Content copy() {
            Content copy = new Content();
            copy.identity = identity;
            copy.generation = generation;
            copy.term = term;
            copy.vote = vote;
            copy.firstKept = firstKept;
            copy.entries = new TreeMap<>(entries);
            chunks.forEach((i, all) -> copy.chunks.put(i, new TreeMap<>(all)));
            copy.snapshots = new TreeMap<>(snapshots);
            copy.values = new TreeMap<>(values);
            return copy;
        }
    }

    private Content durable = new Content();
    private Health health = Health.GOOD;
    private long flushes;
    private boolean ignoresFlush;

    public void health(Health next) {
        health = next;
    }

    /** Lets flushes return without making anything durable, to show what depends on them. */
    public void ignoreFlush() {
        ignoresFlush = true;
    }

    /** A copy of what is durable now, to be restored later. */
    public SimDisk copy() {
        SimDisk copy = new SimDisk();
        copy.durable = durable.copy();
        return copy;
    }

    public long flushes() {
        return flushes;
    }

    /** Opens the store, as a process does at its start. */
    public VoterStore open() {
        return new OpenStore();
    }

    private final class OpenStore implements VoterStore {
        private Content staged;
        private StoreException fault;

        OpenStore() {
            reopen();
        }

        private void reopen() {
            if (health == Health.GOOD) {
                durable.generation++;
                staged = durable.copy();
                fault = null;
            } else {
                fault = new StoreException(StoreException.Kind.FULL, "the simulated disk accepts no writes");
            }
        }

        private void checkWritable() throws StoreException {
            if (fault == null && health != Health.GOOD) {
                fault = new StoreException(
                        health == Health.FULL ? StoreException.Kind.FULL : StoreException.Kind.IO,
                        "the simulated disk is " + health);
            }
            if (fault != null) {
                throw fault;
            }
        }

        @Override
        public RecoveredState recover() {
            Content content = staged == null ? durable : staged;
            Optional<StoredSnapshot> snapshot = Optional.empty();
            for (var entry : content.snapshots.entrySet()) {
                TreeMap<Integer, byte[]> all = content.chunks.get(entry.getKey());
                if (all != null && all.size() == entry.getValue()[1]) {
                    snapshot = Optional.of(
                            new StoredSnapshot(entry.getKey(), entry.getValue()[0], new ArrayList<>(all.values())));
                }
            }
            long after = snapshot.map(StoredSnapshot::index).orElse(0L);
            return new RecoveredState(
                    Optional.ofNullable(content.identity),
                    content.generation,
                    flushes,
                    content.term,
                    Optional.ofNullable(content.vote),
                    snapshot,
                    new ArrayList<>(content.entries.tailMap(after, false).values()),
                    List.of());
        }

        @Override
        public void setIdentity(VoterIdentity id) throws StoreException {
            checkWritable();
            staged.identity = id;
            flush();
        }

        @Override
        public void distrust(String reason) {
            throw new UnsupportedOperationException(reason);
        }

        @Override
        public void setTerm(int term, String votedFor) throws StoreException {
            checkWritable();
            staged.term = term;
            staged.vote = votedFor;
            flush();
        }

        @Override
        public void append(long index, int term, byte[] entry) throws StoreException {
            checkWritable();
            long last = staged.entries.isEmpty() ? recover().lastIndex() : staged.entries.lastKey();
            if (index != last + 1) {
                throw new IllegalStateException(
                        "entry index " + index + " follows " + last + "; expected " + (last + 1));
            }
            staged.entries.put(index, new StoredEntry(index, term, entry));
        }

        @Override
        public void truncateFrom(long index) throws StoreException {
            checkWritable();
            staged.entries.tailMap(index, true).clear();
        }

        @Override
        public void truncateUntil(long index) throws StoreException {
            checkWritable();
            staged.entries.headMap(index, true).clear();
        }

        @Override
        public void snapshotChunk(long index, int term, int chunk, int chunks, byte[] data) throws StoreException {
            checkWritable();
            staged.snapshots.put(index, new int[] {term, chunks});
            staged.chunks.computeIfAbsent(index, i -> new TreeMap<>()).put(chunk, data);
        }

        @Override
        public void dropSnapshot(long index) throws StoreException {
            checkWritable();
            staged.snapshots.remove(index);
            staged.chunks.remove(index);
        }

        @Override
        public void flush() throws StoreException {
            checkWritable();
            flushes++;
            if (!ignoresFlush) {
                durable = staged.copy();
            }
        }

        @Override
        public void put(String key, byte[] value) throws StoreException {
            checkWritable();
            staged.values.put(key, value);
            flush();
        }

        @Override
        public Optional<byte[]> get(String key) {
            return Optional.ofNullable((staged == null ? durable : staged).values.get(key));
        }

        @Override
        public StoreState state() {
            return fault == null
                    ? new StoreState(StoreState.Condition.WORKING, "")
                    : new StoreState(StoreState.Condition.FAILING, fault.getMessage());
        }

        @Override
        public StoreState probe(long now) {
            if (fault != null) {
                reopen();
            }
            return state();
        }

        @Override
        public void close() {
            fault = new StoreException(StoreException.Kind.CLOSED, "closed");
        }
    }
}
