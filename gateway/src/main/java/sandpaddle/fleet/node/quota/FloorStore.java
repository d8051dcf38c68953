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
 * This gateway's floors in a file of its directory, for a restart while it is cut off. Written beside, synced and
 * renamed: it is there whole, or as it was. A file that cannot be read, or is too old, is ignored.
 */
public final class FloorStore {
    private static final Path BOOT = Path.of("/proc/sys/kernel/random/boot_id");
    private static final int MAX_BYTES = 8 << 20;
    private static final long NANOS = 1000;

    private final Path file;
    private final long keepUs;
    private final String boot;
    private boolean failed;

    /** {@code keepUs}: how old a file may be that is used. */
    public FloorStore(Path directory, long keepUs) {
        file = directory.resolve("floors");
        this.keepUs = keepUs;
        boot = boot();
    }

    /** Monotonic clocks start anew with the host; where nothing tells its boot, no file of before is used. */
    private static String boot() {
        try {
            return Files.readString(BOOT).strip();
        } catch (IOException e) {
            return "started " + System.nanoTime();
        }
    }

    private static long host() {
        return System.nanoTime() / NANOS;
    }

    /** The floors of an earlier process that may be used now. */
    public List<SavedFloor> read() {
        try {
            if (!Files.exists(file) || Files.size(file) > MAX_BYTES) {
                return List.of();
            }
            return FloorFile.read(Files.readAllBytes(file)).usable(boot, host());
        } catch (IOException | FaultyMessageException e) {
            Logger.warn("fleet: {} is not used: {}", file, e.getMessage());
            return List.of();
        }
    }

    /** Writes them; whether they are durable. Waits for the disk. */
    public boolean write(List<SavedFloor> floors) {
        Path beside = file.resolveSibling("floors.new");
        try {
            Files.createDirectories(file.getParent());
            try (FileChannel to = FileChannel.open(
                    beside,
                    StandardOpenOption.CREATE,
                    StandardOpenOption.WRITE,
                    StandardOpenOption.TRUNCATE_EXISTING)) {
                ByteBuffer bytes = ByteBuffer.wrap(new FloorFile(boot, host(), keepUs, floors).write());
                while (bytes.hasRemaining()) {
                    to.write(bytes);
                }
                to.force(true);
            }
            Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            failed = false;
            return true;
        } catch (IOException e) {
            if (!failed) {
                failed = true;
                Logger.warn("fleet: floors are not kept on disk: {}", e.toString());
            }
            return false;
        }
    }
}
