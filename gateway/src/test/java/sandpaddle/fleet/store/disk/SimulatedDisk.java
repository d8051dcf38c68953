package sandpaddle.fleet.store.disk;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.IntPredicate;

/**
 * A directory in memory that records its operations, so that {@link #afterCrash} can build the disk after a power loss
 * at any point: of the operations that were not synced, any subset of sector writes and directory changes survives. A
 * {@link FaultInjector} makes operations fail.
 */
public final class SimulatedDisk implements Disk {
    static final int SECTOR_BYTES = 512;

    /** One recorded operation; a write is of at most one sector. */
    private record Operation(Kind kind, int inode, long position, byte[] data, String name, String newName) {}

    /** Kinds of operations. */
    public enum Kind {
        OPEN,
        READ,
        WRITE,
        TRUNCATE,
        SYNC,
        RENAME,
        DELETE,
        SYNC_NAMES
    }

    /** Called before each operation; throws the exception with which it should fail. */
    public interface FaultInjector {
        void before(Kind kind, String name) throws IOException;
    }

    private final List<Operation> operations = new ArrayList<>();
    private final List<FileContent> inodes = new ArrayList<>();
    private final TreeMap<String, Integer> names = new TreeMap<>();
    private List<FileContent> initialInodes = List.of(); // before the first operation
    private TreeMap<String, Integer> initialNames = new TreeMap<>();
    private FaultInjector faultInjector = (kind, name) -> {};
    private boolean locked;
    private boolean syncsTakeEffect = true;
    private long freeBytes = Long.MAX_VALUE;

    /** Sets what is called before each operation. */
    public void setFaultInjector(FaultInjector injector) {
        faultInjector = injector;
    }

    /** Sets the free space (bytes). */
    public void setFreeBytes(long bytes) {
        freeBytes = bytes;
    }

    /** From now on a sync succeeds without effect. */
    public void ignoreSyncs() {
        syncsTakeEffect = false;
    }

    /** Number of operations so far. */
    public int operationCount() {
        return operations.size();
    }

    /** Whether the operation with this index, from 0, is a sync. */
    public boolean isSync(int operationIndex) {
        return operationIndex < operations.size()
                && (operations.get(operationIndex).kind == Kind.SYNC
                        || operations.get(operationIndex).kind == Kind.SYNC_NAMES);
    }

    /** A copy of the current content, including what is not synced. */
    public SimulatedDisk copy() {
        return afterCrash(operationCount(), i -> true);
    }

    /**
     * The disk after a crash.
     *
     * @param completed number of operations before the crash; the synced ones survive
     * @param survives decides by its index whether an operation that was not synced survives
     */
    public SimulatedDisk afterCrash(int completed, IntPredicate survives) {
        boolean[] durable = new boolean[completed];
        boolean[] inodeSynced = new boolean[inodes.size()];
        boolean namesSynced = false;
        for (int i = completed - 1; i >= 0; i--) {
            Operation operation = operations.get(i);
            boolean changesNames = operation.inode < 0 || operation.kind == Kind.OPEN;
            if (operation.kind == Kind.SYNC) {
                inodeSynced[operation.inode] = true;
            }
            namesSynced |= operation.kind == Kind.SYNC_NAMES;
            durable[i] = changesNames ? namesSynced : inodeSynced[operation.inode];
        }
        SimulatedDisk after = new SimulatedDisk();
        after.names.putAll(initialNames);
        for (int i = 0; i < inodes.size(); i++) {
            after.inodes.add(i < initialInodes.size() ? initialInodes.get(i).copy() : new FileContent());
        }
        for (int i = 0; i < completed; i++) {
            if (durable[i] || survives.test(i)) {
                after.apply(operations.get(i));
            }
        }
        after.initialInodes = after.inodes.stream().map(FileContent::copy).toList();
        after.initialNames = new TreeMap<>(after.names);
        return after;
    }

    private void apply(Operation operation) {
        switch (operation.kind) {
            case OPEN -> names.put(operation.name, operation.inode);
            case WRITE -> inodes.get(operation.inode).write((int) operation.position, operation.data);
            case TRUNCATE -> inodes.get(operation.inode).truncate((int) operation.position);
            case RENAME -> {
                Integer inode = names.remove(operation.name);
                if (inode != null) {
                    names.put(operation.newName, inode);
                }
            }
            case DELETE -> names.remove(operation.name);
            default -> {}
        }
    }

    private void execute(Operation operation) {
        operations.add(operation);
        apply(operation);
    }

    /** Corrupts bytes of a file. */
    public void corrupt(String name, long position, int length) {
        inodes.get(names.get(name)).corrupt((int) position, length);
    }

    /** The content of a file. */
    public byte[] bytes(String name) {
        return inodes.get(names.get(name)).bytes();
    }

    @Override
    public DiskFile open(String name) throws IOException {
        faultInjector.before(Kind.OPEN, name);
        if (!names.containsKey(name)) {
            inodes.add(new FileContent());
            execute(new Operation(Kind.OPEN, inodes.size() - 1, 0, null, name, null));
        }
        return new OpenFile(names.get(name), name);
    }

    @Override
    public List<String> fileNames() {
        return List.copyOf(names.keySet());
    }

    @Override
    public void rename(String from, String to) throws IOException {
        faultInjector.before(Kind.RENAME, from);
        execute(new Operation(Kind.RENAME, -1, 0, null, from, to));
    }

    @Override
    public void delete(String name) throws IOException {
        faultInjector.before(Kind.DELETE, name);
        execute(new Operation(Kind.DELETE, -1, 0, null, name, null));
    }

    @Override
    public void force() throws IOException {
        faultInjector.before(Kind.SYNC_NAMES, ".");
        if (syncsTakeEffect) {
            execute(new Operation(Kind.SYNC_NAMES, -1, 0, null, null, null));
        }
    }

    @Override
    public long freeBytes() {
        return freeBytes;
    }

    @Override
    public Closeable lock() throws LockedException {
        if (locked) {
            throw new LockedException(this + " is locked");
        }
        locked = true;
        return () -> locked = false;
    }

    @Override
    public String toString() {
        return "simulated disk";
    }

    private final class OpenFile implements DiskFile {
        private final int inode;
        private final String name;

        OpenFile(int inode, String name) {
            this.inode = inode;
            this.name = name;
        }

        @Override
        public int read(long position, ByteBuffer buffer) throws IOException {
            faultInjector.before(Kind.READ, name);
            byte[] part = inodes.get(inode).read((int) position, buffer.remaining());
            buffer.put(part);
            return part.length > 0 ? part.length : -1;
        }

        @Override
        public void write(long position, ByteBuffer buffer) throws IOException {
            long next = position;
            while (buffer.hasRemaining()) {
                faultInjector.before(Kind.WRITE, name); // one sector at a time, so that a write can fail halfway
                byte[] part = new byte[(int) Math.min(buffer.remaining(), SECTOR_BYTES - next % SECTOR_BYTES)];
                buffer.get(part);
                execute(new Operation(Kind.WRITE, inode, next, part, name, null));
                next += part.length;
            }
        }

        @Override
        public long size() {
            return inodes.get(inode).length();
        }

        @Override
        public void truncate(long size) throws IOException {
            faultInjector.before(Kind.TRUNCATE, name);
            execute(new Operation(Kind.TRUNCATE, inode, size, null, name, null));
        }

        @Override
        public void force() throws IOException {
            faultInjector.before(Kind.SYNC, name);
            if (syncsTakeEffect) {
                execute(new Operation(Kind.SYNC, inode, 0, null, name, null));
            }
        }

        @Override
        public void close() {
            // does not sync
        }
    }
}
