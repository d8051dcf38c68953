package sandpaddle.fleet.store.disk;

import static java.nio.file.StandardOpenOption.CREATE;
import static java.nio.file.StandardOpenOption.READ;
import static java.nio.file.StandardOpenOption.WRITE;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.stream.Stream;

/** A directory of the operating system's file system; {@link #lock} creates it if it does not exist. */
public final class NioDisk implements Disk {
    private static final String LOCK_FILE = "voter.lock";
    private static final int MAX_PID_CHARS = 20;

    private final Path directory;

    /** Refers to a directory, which need not exist yet. */
    public NioDisk(Path directory) {
        this.directory = directory.toAbsolutePath();
    }

    @Override
    public DiskFile open(String name) throws IOException {
        return new ChannelFile(FileChannel.open(directory.resolve(name), CREATE, READ, WRITE));
    }

    @Override
    public List<String> fileNames() throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.map(path -> path.getFileName().toString()).sorted().toList();
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(directory.resolve(from), directory.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(directory.resolve(name));
    }

    @Override
    public void force() throws IOException {
        try (FileChannel channel = FileChannel.open(directory, READ)) {
            channel.force(true);
        }
    }

    @Override
    public long freeBytes() throws IOException {
        return Files.getFileStore(directory).getUsableSpace();
    }

    @Override
    public Closeable lock() throws IOException {
        Files.createDirectories(directory);
        FileChannel file = FileChannel.open(directory.resolve(LOCK_FILE), CREATE, READ, WRITE);
        FileLock lock = null;
        try {
            lock = file.tryLock();
            if (lock == null) {
                throw new LockedException(directory + " is locked by process " + lockHolder(file));
            }
            writeProcessId(file);
            return file; // closing the channel releases the lock
        } catch (OverlappingFileLockException e) {
            throw new LockedException(directory + " is already locked by this process, pid "
                    + ProcessHandle.current().pid());
        } finally {
            if (lock == null) {
                file.close();
            }
        }
    }

    private static String lockHolder(FileChannel file) throws IOException {
        ByteBuffer text = ByteBuffer.allocate(MAX_PID_CHARS);
        file.read(text, 0);
        String pid = new String(text.array(), 0, text.position(), StandardCharsets.US_ASCII).trim();
        return pid.matches("[0-9]+") ? pid : "of unknown id";
    }

    private static void writeProcessId(FileChannel file) {
        try {
            file.truncate(0);
            file.write(
                    ByteBuffer.wrap(Long.toString(ProcessHandle.current().pid()).getBytes(StandardCharsets.US_ASCII)),
                    0);
        } catch (IOException e) {
            // the process id is only for messages: on a full disk the lock is held without it
            return;
        }
    }

    @Override
    public String toString() {
        return directory.toString();
    }

    private record ChannelFile(FileChannel channel) implements DiskFile {
        @Override
        public int read(long position, ByteBuffer buffer) throws IOException {
            int total = 0;
            while (buffer.hasRemaining()) {
                int count = channel.read(buffer, position + total);
                if (count < 0) {
                    return total == 0 ? -1 : total;
                }
                total += count;
            }
            return total;
        }

        @Override
        public void write(long position, ByteBuffer buffer) throws IOException {
            long next = position;
            while (buffer.hasRemaining()) {
                next += channel.write(buffer, next);
            }
        }

        @Override
        public long size() throws IOException {
            return channel.size();
        }

        @Override
        public void truncate(long size) throws IOException {
            channel.truncate(size);
        }

        @Override
        public void force() throws IOException {
            channel.force(true);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
