package sandpaddle.fleet.content.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A directory of the local file system, which is created if it does not exist. */
public final class FileSystemDirectory implements StorageDirectory {
    private final Path directory;

    /** Creates an accessor; no I/O is done yet. */
    public FileSystemDirectory(Path directory) {
        this.directory = directory;
    }

    @Override
    public List<String> list(int max) throws IOException {
        java.nio.file.Files.createDirectories(directory);
        List<String> names = new ArrayList<>();
        try (DirectoryStream<Path> paths = java.nio.file.Files.newDirectoryStream(directory)) {
            for (Path path : paths) {
                if (names.size() == max) {
                    break;
                }
                names.add(path.getFileName().toString());
            }
        }
        return names;
    }

    @Override
    public long size(String name) throws IOException {
        return java.nio.file.Files.size(directory.resolve(name));
    }

    @Override
    public byte[] read(String name, long offset, int length) throws IOException {
        try (FileChannel file = FileChannel.open(directory.resolve(name), StandardOpenOption.READ)) {
            ByteBuffer into = ByteBuffer.allocate((int) Math.max(0, Math.min(length, file.size() - offset)));
            while (into.hasRemaining() && file.read(into, offset + into.position()) >= 0) {
                continue;
            }
            byte[] bytes = new byte[into.position()];
            into.flip().get(bytes);
            return bytes;
        }
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
        try {
            java.nio.file.Files.createDirectories(directory); // it may have been removed since the start
            try (FileChannel file = FileChannel.open(
                    directory.resolve(name),
                    StandardOpenOption.CREATE,
                    StandardOpenOption.TRUNCATE_EXISTING,
                    StandardOpenOption.WRITE)) {
                ByteBuffer from = ByteBuffer.wrap(bytes);
                while (from.hasRemaining()) {
                    file.write(from);
                }
            }
        } catch (IOException e) {
            throw withDiskFullType(e);
        }
    }

    /** Recognizes ENOSPC, EDQUOT and EFBIG by their message, since Java has no exception type for them. */
    private static IOException withDiskFullType(IOException fault) {
        String message = String.valueOf(fault.getMessage());
        String lowerCase = message.toLowerCase(Locale.ROOT);
        return lowerCase.contains("no space left")
                        || lowerCase.contains("quota exceeded")
                        || lowerCase.contains("file too large")
                ? new DiskFullException(message)
                : fault;
    }

    @Override
    public void sync(String name) throws IOException {
        try (FileChannel file = FileChannel.open(directory.resolve(name), StandardOpenOption.WRITE)) {
            file.force(true);
        } catch (IOException e) {
            throw withDiskFullType(e);
        }
    }

    @Override
    public void syncDirectory() throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        try {
            java.nio.file.Files.move(
                    directory.resolve(from),
                    directory.resolve(to),
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            throw withDiskFullType(e);
        }
    }

    @Override
    public void delete(String name) throws IOException {
        java.nio.file.Files.deleteIfExists(directory.resolve(name));
    }
}
