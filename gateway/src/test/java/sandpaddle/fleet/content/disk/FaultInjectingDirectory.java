package sandpaddle.fleet.content.disk;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A directory in memory with injected faults: at one operation, at all that change it, or at a full disk. */
final class FaultInjectingDirectory implements StorageDirectory {
    /** An operation; those from {@link #WRITE} on change the directory. */
    enum Operation {
        LIST,
        SIZE,
        READ,
        WRITE,
        SYNC,
        SYNC_NAMES,
        RENAME,
        DELETE
    }

    final Map<String, byte[]> files = new TreeMap<>();
    long capacityBytes = Long.MAX_VALUE;
    long failingOperation = -1; // index of the operation that fails, from 0
    boolean failsWithDiskFull; // ENOSPC, else EIO
    int bytesOfFailedWrite; // length of the file that a failed write leaves
    boolean readOnly;
    boolean isMissing;
    int missingBytesOfRead; // by this much every read is short
    long operations;
    private final Set<String> unsynced = new HashSet<>();
    private final Map<String, String> unsyncedNames = new TreeMap<>(); // new name to old name
    private final Map<String, byte[]> replaced = new TreeMap<>(); // files that a rename replaced, by name

    private void begin(Operation operation) throws IOException {
        boolean isFailing = operations++ == failingOperation;
        if (isMissing) {
            throw new FileNotFoundException("no such directory");
        }
        if (readOnly && operation.compareTo(Operation.WRITE) >= 0) {
            throw new IOException("Read-only file system");
        }
        if (isFailing) {
            throw failsWithDiskFull && operation.compareTo(Operation.WRITE) >= 0
                    ? new DiskFullException("No space left on device")
                    : new IOException("Input/output error");
        }
    }

    /** Simulates a power loss: reverts unsynced renames, and truncates unsynced files to half of their length. */
    void crash() {
        unsyncedNames.forEach((to, from) -> files.put(from, files.remove(to)));
        files.putAll(replaced);
        unsynced.forEach(n -> files.computeIfPresent(n, (name, b) -> Arrays.copyOf(b, b.length / 2)));
        unsyncedNames.clear();
        replaced.clear();
        unsynced.clear();
    }

    long bytes() {
        return files.values().stream().mapToLong(b -> b.length).sum();
    }

    @Override
    public List<String> list(int max) throws IOException {
        begin(Operation.LIST);
        return files.keySet().stream().limit(max).toList();
    }

    @Override
    public long size(String name) throws IOException {
        begin(Operation.SIZE);
        return existing(name).length;
    }

    private byte[] existing(String name) throws IOException {
        byte[] bytes = files.get(name);
        if (bytes == null) {
            throw new FileNotFoundException(name);
        }
        return bytes;
    }

    @Override
    public byte[] read(String name, long at, int length) throws IOException {
        begin(Operation.READ);
        byte[] all = existing(name);
        int from = (int) Math.min(at, all.length);
        return Arrays.copyOfRange(all, from, Math.max(from, Math.min(all.length, from + length) - missingBytesOfRead));
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
        try {
            begin(Operation.WRITE);
        } catch (IOException e) {
            if (!readOnly && !isMissing) {
                files.put(name, Arrays.copyOf(bytes, Math.min(bytes.length, bytesOfFailedWrite)));
            }
            throw e;
        }
        byte[] old = files.remove(name);
        if (bytes() + bytes.length > capacityBytes) {
            files.put(name, Arrays.copyOf(bytes, (int) Math.max(0, capacityBytes - bytes())));
            throw new DiskFullException("No space left on device, with " + (old == null ? "no" : "an") + " old file");
        }
        files.put(name, bytes.clone());
        unsynced.add(name);
    }

    @Override
    public void sync(String name) throws IOException {
        begin(Operation.SYNC);
        existing(name);
        unsynced.remove(name);
    }

    @Override
    public void syncDirectory() throws IOException {
        begin(Operation.SYNC_NAMES);
        unsyncedNames.clear();
        replaced.clear();
    }

    @Override
    public void rename(String from, String to) throws IOException {
        begin(Operation.RENAME);
        byte[] old = files.put(to, existing(from));
        files.remove(from);
        if (old != null) {
            replaced.put(to, old);
        }
        unsyncedNames.put(to, from);
        if (unsynced.remove(from)) {
            unsynced.add(to);
        }
    }

    @Override
    public void delete(String name) throws IOException {
        begin(Operation.DELETE);
        files.remove(name);
    }
}
