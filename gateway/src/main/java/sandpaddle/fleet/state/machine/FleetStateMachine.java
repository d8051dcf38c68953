package sandpaddle.fleet.state.machine;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;
import sandpaddle.fleet.state.ReplicatedState;
import sandpaddle.fleet.state.SnapshotException;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

/**
 * The replicated state machine of a fleet (Schneider 1990): named parts, each of which applies the commands with its
 * tag in the order of the log. A command whose tag belongs to no part is refused by its result, the same at every voter
 * of that version; so a command of a newer gateway never stops an older voter, which only lacks that part.
 *
 * <p>Commands are applied on the consensus thread; other threads read under the same lock, which is never
 * held during I/O. Cost: one lookup a command. Bounds: those of the parts.
 */
public final class FleetStateMachine implements ReplicatedState {
    /** Max number of parts. */
    public static final int MAX_PARTS = 16;
    /** Max size of a snapshot of all parts, which the consensus transfers in chunks (bytes). */
    public static final int MAX_SNAPSHOT_BYTES = 16 << 20;

    /** Notified after changes, on the consensus thread. */
    public interface ApplyListener {
        /**
         * A command was applied.
         *
         * @param index index of its log entry
         * @param part the part that it was applied to
         * @param result its encoded {@link CommandResult}
         */
        void onApplied(long index, StateMachinePart part, byte[] result);

        /** The whole state was replaced by a snapshot. */
        void onInstalled();

        /**
         * A part threw an exception, contrary to its contract: its state may differ from that of other voters from now
         * on.
         *
         * @param index index of the command's log entry
         * @param part the part that failed
         * @param exception what it threw
         */
        void onPartFailed(long index, StateMachinePart part, RuntimeException exception);
    }

    private final TreeMap<Byte, StateMachinePart> parts = new TreeMap<>();
    // snapshots of parts that this version does not have, retained for its own snapshots
    private final TreeMap<Byte, byte[]> unknownParts = new TreeMap<>();
    private final ReentrantLock lock = new ReentrantLock();
    private final ApplyListener listener;
    private long appliedIndex;

    /**
     * Creates a state machine in its initial state.
     *
     * @param parts parts with different tags, at most {@value #MAX_PARTS}
     * @param listener notified after changes
     */
    public FleetStateMachine(Collection<StateMachinePart> parts, ApplyListener listener) {
        this.listener = listener;
        for (StateMachinePart part : parts) {
            if (this.parts.put(part.tag(), part) != null || this.parts.size() > MAX_PARTS) {
                throw new IllegalArgumentException(
                        "tag " + part.tag() + " is taken, or more than " + MAX_PARTS + " parts");
            }
        }
    }

    /**
     * Reads the state under the lock; from any thread. Commands are not applied until {@code reader} returns, so it
     * must be short and must not block.
     */
    public <T> T read(Supplier<T> reader) {
        lock.lock();
        try {
            return reader.get();
        } finally {
            lock.unlock();
        }
    }

    /** Index of the last applied command; 0 before the first. */
    public long appliedIndex() {
        return read(() -> appliedIndex);
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        StateMachinePart part = command.length == 0 ? null : parts.get(command[0]);
        byte[] result = read(() -> {
            appliedIndex = index;
            return part == null
                    ? CommandResult.refused(
                            command.length == 0
                                    ? "an empty command"
                                    : "no part has the tag " + command[0] + " in this version")
                    : applyToPart(part, index, command);
        });
        if (part != null) {
            listener.onApplied(index, part, result);
        }
        return result;
    }

    private byte[] applyToPart(StateMachinePart part, long index, byte[] command) {
        try {
            byte[] result = part.state().apply(index, Arrays.copyOfRange(command, 1, command.length));
            return part.state() instanceof ReturnsCommandResult ? result : CommandResult.accepted(result);
        } catch (RuntimeException e) {
            listener.onPartFailed(index, part, e);
            return CommandResult.refused("part " + part.name() + " failed: " + e);
        }
    }

    /** State that returns encoded {@link CommandResult}s from {@link #apply}. */
    interface ReturnsCommandResult extends ReplicatedState {}

    @Override
    public byte[] snapshot() {
        return read(() -> {
            CborOut out = new CborOut().number(appliedIndex);
            TreeMap<Byte, byte[]> all = new TreeMap<>(unknownParts);
            parts.forEach((tag, part) -> all.put(tag, part.state().snapshot()));
            out.list(
                    all.entrySet(), (item, entry) -> item.number(entry.getKey()).bytes(entry.getValue()));
            return out.done();
        });
    }

    private record PartSnapshot(byte tag, byte[] bytes) {}

    /**
     * Replaces the whole state by a snapshot.
     *
     * @throws SnapshotException if the list of part snapshots cannot be decoded, in which case nothing is replaced; or
     *     if a part cannot decode its own, in which case parts before it are replaced already
     */
    @Override
    public void install(byte[] snapshot) {
        List<PartSnapshot> partSnapshots = new ArrayList<>();
        long index;
        try {
            CborIn in = new CborIn(snapshot);
            index = in.number(0, Long.MAX_VALUE);
            partSnapshots.addAll(in.list(
                    2 * MAX_PARTS,
                    item -> new PartSnapshot((byte) item.number(1, 127), item.bytes(MAX_SNAPSHOT_BYTES))));
            in.end();
        } catch (FaultyMessageException e) {
            throw new SnapshotException("malformed snapshot of the fleet's state: " + e.getMessage(), e);
        }
        read(() -> {
            unknownParts.clear();
            partSnapshots.stream()
                    .filter(part -> !parts.containsKey(part.tag()))
                    .limit(MAX_PARTS)
                    .forEach(part -> unknownParts.put(part.tag(), part.bytes()));
            partSnapshots.stream()
                    .filter(part -> parts.containsKey(part.tag()))
                    .forEach(part -> parts.get(part.tag()).state().install(part.bytes()));
            appliedIndex = index;
            return null;
        });
        listener.onInstalled();
    }
}
