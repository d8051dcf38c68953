package sandpaddle.fleet.state;

/**
 * A snapshot of replicated state cannot be decoded, or would be too large. A single state is unchanged then; a state
 * machine of several parts may have replaced some of them.
 */
public final class SnapshotException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    /** Creates an exception for a snapshot that cannot be decoded. */
    public SnapshotException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Creates an exception for a snapshot that is too large. */
    public SnapshotException(String message) {
        super(message);
    }
}
