package sandpaddle.fleet.state;

/**
 * State that is replicated among the voters by applying committed commands in order. Implementations are deterministic:
 * no clock, no randomness. Called on the consensus thread.
 */
public interface ReplicatedState {
    /**
     * Applies a committed command. Never throws: a refusal is a result as well.
     *
     * @param index index of the command's log entry
     * @param command the encoded command
     * @return the encoded result for the proposer
     */
    byte[] apply(long index, byte[] command);

    /** Encodes the whole state as a snapshot for {@link #install}. */
    byte[] snapshot();

    /**
     * Replaces the whole state by a snapshot.
     *
     * @throws SnapshotException if the snapshot cannot be read
     */
    void install(byte[] snapshot);
}
