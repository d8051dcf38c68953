package sandpaddle.fleet.content.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import sandpaddle.fleet.content.CachedResult;

/**
 * A small state that survives a restart, such as statistics of outages: one file with a checksum that is replaced
 * atomically, so a failed save leaves the previous state. It must not be in the directory of a {@link DiskTier}, which
 * would report it as a foreign file.
 */
public final class SavedState {
    /** Maximum size of a state in bytes. */
    public static final int MAX_BYTES = 4 << 20;

    private static final int HEADER_BYTES = 8;
    private static final int MAGIC = 0x5350_5331; // "SPS1"

    private final StorageDirectory files;
    private final String name;

    /** Creates an accessor for the file of that name; no I/O is done yet. */
    public SavedState(StorageDirectory files, String name) {
        this.files = files;
        this.name = name;
    }

    /** Saves a state; returns the fault, or empty if the state is durable. */
    public Optional<DiskFault> save(byte[] state) {
        if (state.length > MAX_BYTES) {
            return Optional.of(new DiskFault(
                    DiskFault.Kind.WRITE, name, "state of " + state.length + " bytes; expected at most " + MAX_BYTES));
        }
        String temporaryName = name + Recovery.TEMPORARY_SUFFIX;
        try {
            files.write(
                    temporaryName,
                    ByteBuffer.allocate(HEADER_BYTES + state.length)
                            .putInt(MAGIC)
                            .putInt(CachedResult.crc32c(state))
                            .put(state)
                            .array());
            files.sync(temporaryName);
            files.rename(temporaryName, name);
            files.syncDirectory();
            return Optional.empty();
        } catch (IOException e) {
            return Optional.of(new DiskFault(
                    e instanceof StorageDirectory.DiskFullException ? DiskFault.Kind.FULL : DiskFault.Kind.WRITE,
                    name,
                    e.toString()));
        }
    }

    /**
     * Outcome of {@link #load}; both components are empty if no state was saved.
     *
     * @param state the saved state
     * @param fault why it cannot be loaded
     */
    public record Loaded(Optional<byte[]> state, Optional<DiskFault> fault) {}

    /** Loads the state. */
    public Loaded load() {
        try {
            if (!files.list(Integer.MAX_VALUE).contains(name)) {
                return new Loaded(Optional.empty(), Optional.empty());
            }
            byte[] bytes = files.read(name, 0, HEADER_BYTES + MAX_BYTES + 1);
            if (bytes.length < HEADER_BYTES
                    || bytes.length > HEADER_BYTES + MAX_BYTES
                    || ByteBuffer.wrap(bytes).getInt() != MAGIC) {
                return failed(
                        DiskFault.Kind.CORRUPT,
                        "is not a saved state: wrong magic number, or size not from " + HEADER_BYTES + " to "
                                + (HEADER_BYTES + MAX_BYTES) + " bytes");
            }
            byte[] state = Arrays.copyOfRange(bytes, HEADER_BYTES, bytes.length);
            return CachedResult.crc32c(state) == ByteBuffer.wrap(bytes).getInt(4)
                    ? new Loaded(Optional.of(state), Optional.empty())
                    : failed(DiskFault.Kind.CORRUPT, "checksum does not match");
        } catch (IOException e) {
            return failed(DiskFault.Kind.READ, e.toString());
        }
    }

    private Loaded failed(DiskFault.Kind kind, String detail) {
        return new Loaded(Optional.empty(), Optional.of(new DiskFault(kind, name, detail)));
    }
}
