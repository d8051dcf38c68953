package sandpaddle.fleet.state.raft;

import io.microraft.statemachine.StateMachine;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import sandpaddle.fleet.state.ReplicatedState;
import sandpaddle.fleet.state.SnapshotException;

/** Adapts a {@link ReplicatedState} to MicroRaft; snapshots are split into chunks that fit into a frame. */
public final class ReplicatedStateAdapter implements StateMachine {
    /** Max size of one command (bytes). */
    public static final int MAX_COMMAND_BYTES = RaftCodec.MAX_COMMAND_BYTES;

    private final ReplicatedState machine;

    /** Creates an adapter of {@code machine}, which only the adapter may change from now on. */
    public ReplicatedStateAdapter(ReplicatedState machine) {
        this.machine = machine;
    }

    @Override
    public Object runOperation(long index, Object operation) {
        return operation instanceof LogOperation.Command command ? machine.apply(index, command.bytes()) : null;
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> chunks) {
        byte[] snapshotBytes = machine.snapshot();
        if (snapshotBytes.length > RaftCodec.MAX_CHUNKS * RaftCodec.MAX_CHUNK_BYTES) {
            throw new SnapshotException("the fleet's state has " + snapshotBytes.length + " bytes, more than "
                    + RaftCodec.MAX_CHUNKS * RaftCodec.MAX_CHUNK_BYTES);
        }
        int start = 0;
        do {
            int end = Math.min(snapshotBytes.length, start + RaftCodec.MAX_CHUNK_BYTES);
            chunks.accept(Arrays.copyOfRange(snapshotBytes, start, end));
            start = end;
        } while (start < snapshotBytes.length);
    }

    @Override
    public void installSnapshot(long index, List<Object> chunks) {
        ByteArrayOutputStream snapshotBytes = new ByteArrayOutputStream();
        chunks.forEach(chunk -> snapshotBytes.writeBytes((byte[]) chunk));
        machine.install(snapshotBytes.toByteArray());
    }

    @Override
    public Object getNewTermOperation() {
        return new LogOperation.NewTerm();
    }
}
