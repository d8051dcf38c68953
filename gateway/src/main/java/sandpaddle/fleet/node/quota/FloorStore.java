package sandpaddle.fleet.node.quota;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import org.tinylog.Logger;
import sandpaddle.fleet.limit.lease.FloorFile;
import sandpaddle.fleet.limit.lease.SavedFloor;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;

/**
 * Stores this gateway's floors in a file of its directory, for a restart during a network partition. The file is
 * replaced atomically: a temporary file is written, synced and renamed, so after a crash the file has either its former
 * or its new content. A file that cannot be read or is too old is ignored. Not thread-safe: read once at the start,
 * then written by one thread.
 */
public final class FloorStore {
    private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");
    private static final int MAX_FILE_BYTES = 8 << 20;
    private static final long NANOS_PER_US = 1000;

    private final Path file;
    private final long maxAgeUs;
    private final String bootId;
    private boolean writeFailed;

    /**
     * Creates the store of one directory; no file is read or written yet.
     *
     * @param maxAgeUs age from which a file is no longer used (us)
     */
    public FloorStore(Path directory, long maxAgeUs) {
        file = directory.resolve("floors");
        this.maxAgeUs = maxAgeUs;
        bootId = currentBootId();
    }

    /**
     * Identifies this boot of the host, since times of the monotonic clock cannot be compared between boots. If the
     * host has no boot id, the result is unique to this process, so that no file of an earlier process is used.
     */
    private static String currentBootId() {
        try {
            return Files.readString(BOOT_ID_FILE).strip();
        } catch (IOException e) {
            return "started " + System.nanoTime();
        }
    }

    private static long monotonicUs() {
        return System.nanoTime() / NANOS_PER_US;
    }

    /** The floors that an earlier process stored and that may be used now; empty if there are none. */
    public List<SavedFloor> read() {
        try {
            if (!Files.exists(file) || Files.size(file) > MAX_FILE_BYTES) {
                return List.of();
            }
            return FloorFile.read(Files.readAllBytes(file)).usable(bootId, monotonicUs());
        } catch (IOException | FaultyMessageException e) {
            Logger.warn("fleet: floor file {} is ignored: {}", file, e.getMessage());
            return List.of();
        }
    }

    /**
     * Replaces the file. Blocks until the disk has synced it.
     *
     * @return whether the floors are durable; a failure is logged once until the next success
     */
    public boolean write(List<SavedFloor> floors) {
        Path temporaryFile = file.resolveSibling("floors.new");
        try {
            Files.createDirectories(file.getParent());
            try (FileChannel channel = FileChannel.open(
                    temporaryFile,
                    StandardOpenOption.CREATE,
                    StandardOpenOption.WRITE,
                    StandardOpenOption.TRUNCATE_EXISTING)) {
                ByteBuffer bytes = ByteBuffer.wrap(new FloorFile(bootId, monotonicUs(), maxAgeUs, floors).write());
                while (bytes.hasRemaining()) {
                    channel.write(bytes);
                }
                channel.force(true);
            }
            Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            writeFailed = false;
            return true;
        } catch (IOException e) {
            if (!writeFailed) {
                writeFailed = true;
                Logger.warn("fleet: floors could not be stored on disk: {}", e.toString());
            }
            return false;
        }
    }
}
