package sandpaddle.fleet.store.mv;

import java.nio.channels.FileChannel;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.h2.store.fs.FilePath;

/**
 * Lets MVStore, which opens files by path, use a channel that is already open: a path with its own scheme and a number
 * as its name. A channel is registered only between {@link #registerChannel} and {@link #unregisterChannel}, so the
 * map is bounded by the stores that are being opened at the same time. Thread-safe.
 */
final class ChannelFilePath extends FilePath {
    private static final String SCHEME = "sandpaddle-voter";
    private static final Map<String, FileChannel> CHANNELS = new ConcurrentHashMap<>();
    private static final AtomicLong LAST_NUMBER = new AtomicLong();

    static {
        register(new ChannelFilePath(SCHEME + ":"));
    }

    private ChannelFilePath(String name) {
        this.name = name;
    }

    /** Registers a channel and returns the path under which MVStore opens it. */
    static String registerChannel(FileChannel channel) {
        String name = SCHEME + ":" + LAST_NUMBER.incrementAndGet();
        CHANNELS.put(name, channel);
        return name;
    }

    /** Removes a channel once MVStore has opened it. */
    static void unregisterChannel(String name) {
        CHANNELS.remove(name);
    }

    @Override
    public FileChannel open(String mode) {
        return CHANNELS.get(name);
    }

    @Override
    public boolean exists() {
        return CHANNELS.containsKey(name);
    }

    @Override
    public boolean canWrite() {
        return true;
    }

    @Override
    public String getScheme() {
        return SCHEME;
    }

    @Override
    public ChannelFilePath getPath(String path) {
        return new ChannelFilePath(path);
    }

    @Override
    public FilePath getParent() {
        return null; // MVStore would check that the parent directory exists
    }

    @Override
    public FilePath toRealPath() {
        return this;
    }

    @Override
    public boolean isRegularFile() {
        return true;
    }

    @Override
    public boolean isDirectory() {
        return false;
    }

    @Override
    public boolean isAbsolute() {
        return true;
    }

    @Override
    public long size() {
        throw unsupported();
    }

    @Override
    public void moveTo(FilePath to, boolean atomic) {
        throw unsupported();
    }

    @Override
    public boolean createFile() {
        throw unsupported();
    }

    @Override
    public void delete() {
        throw unsupported();
    }

    @Override
    public List<FilePath> newDirectoryStream() {
        throw unsupported();
    }

    @Override
    public long lastModified() {
        throw unsupported();
    }

    @Override
    public void createDirectory() {
        throw unsupported();
    }

    @Override
    public boolean setReadOnly() {
        throw unsupported();
    }

    private static UnsupportedOperationException unsupported() {
        return new UnsupportedOperationException("MVStore only opens, reads and writes this path");
    }
}
