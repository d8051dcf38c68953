package sandpaddle.fleet.store.mv;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import sandpaddle.fleet.store.StoreException;
import sandpaddle.fleet.store.VoterIdentity;
import sandpaddle.fleet.store.disk.Disk;
import sandpaddle.fleet.store.disk.DiskFile;
import sandpaddle.fleet.store.mv.HeaderFile.Header;

/**
 * An open directory of a voter. Opening it reads the content from the file of the previous opening, verifies its
 * checksum, and writes all of it to a new file, which a new header with an incremented generation then refers to. A
 * crash or error at any step leaves either the old file and header or the new ones. Files: {@code voter.id} (header),
 * {@code voter.mark} (number of flushes), {@code voter-N.mv} (content), and {@code voter-N.bad}, the newest content
 * file that was not trusted. Not thread-safe.
 */
final class OpenDirectory implements AutoCloseable {
    private static final String CONTENT_PREFIX = "voter-";
    private static final String CONTENT_SUFFIX = ".mv";
    private static final String BAD_SUFFIX = ".bad";

    private final Disk disk;
    private final int maxValueBytes;
    private final DiskFile headerFile;
    private final DiskFile flushMark;
    private Header header;
    private ChecksummedFile contentFile;

    private OpenDirectory(Disk disk, int maxValueBytes) throws IOException {
        this.disk = disk;
        this.maxValueBytes = maxValueBytes;
        headerFile = disk.open(HeaderFile.NAME);
        try {
            flushMark = disk.open(FlushMark.NAME);
        } catch (IOException e) {
            headerFile.close();
            throw e;
        }
    }

    /**
     * Opens a directory that the caller has locked.
     *
     * @throws StoreException of kind FOREIGN if it belongs to another cluster or member
     */
    static OpenDirectory open(Disk disk, String cluster, String member, int maxValueBytes) throws IOException {
        OpenDirectory opened = new OpenDirectory(disk, maxValueBytes);
        boolean done = false;
        try {
            opened.load(cluster, member);
            done = true;
            return opened;
        } finally {
            if (!done) {
                opened.close();
            }
        }
    }

    private void load(String cluster, String member) throws IOException {
        Optional<Header> stored = HeaderFile.read(headerFile);
        header = stored.orElse(Header.NONE);
        if (header.identity().isPresent()) {
            checkOwner(disk, header.identity().get(), cluster, member);
        }
        String fault = header.fault();
        if (stored.isEmpty() && (newestFileNumber() > 0 || FlushMark.read(flushMark) > 0)) {
            fault = HeaderFile.NAME + " cannot be read: the owner of the stored votes and entries is unknown";
            header = new Header(0, header.identity(), 0, newestFileNumber(), fault);
        }
        if (stored.isEmpty()) {
            HeaderFile.write(headerFile, header); // a directory with content always has a header
            disk.force();
        }
        if (!fault.isEmpty() || header.fileNumber() == 0) {
            rewrite(null, fault);
            return;
        }
        String name = contentFileName(header.fileNumber());
        if (!disk.fileNames().contains(name)) {
            rewrite(null, name + " is missing; term, vote, log and snapshot are lost");
            return;
        }
        try (DiskFile diskFile = disk.open(name)) {
            ChecksummedFile previous = readOrReset(diskFile, name);
            if (previous == null) {
                return;
            }
            try (previous) {
                long acknowledged = FlushMark.read(flushMark);
                rewrite(
                        previous,
                        previous.flushes() >= acknowledged
                                ? ""
                                : name + " ends with flush " + previous.flushes() + ", but " + acknowledged
                                        + " were acknowledged: the later ones are lost");
            }
        }
    }

    /** Reads a content file. If it is corrupt, continues with an empty one and returns null. */
    private ChecksummedFile readOrReset(DiskFile file, String name) throws IOException {
        try {
            return ChecksummedFile.read(file, maxValueBytes);
        } catch (CorruptFileException e) {
            rewrite(null, name + " is corrupt (" + e.getMessage() + "); term, vote, log and snapshot are lost");
            return null;
        }
    }

    /** Throws if the owner of a directory is another cluster or member than expected. */
    static void checkOwner(Disk disk, VoterIdentity owner, String cluster, String member) throws StoreException {
        if (!owner.cluster().equals(cluster) || !owner.member().equals(member)) {
            throw new StoreException(
                    StoreException.Kind.FOREIGN,
                    disk + " belongs to " + owner.member() + " of cluster " + owner.cluster() + ", not to " + member
                            + " of cluster " + cluster);
        }
    }

    /** Writes the content to a new file and switches to it; with a fault the new file is empty. */
    private void rewrite(ChecksummedFile previous, String fault) throws IOException {
        rewrite(previous, header.forNextOpening(Math.max(header.fileNumber(), newestFileNumber()) + 1, fault));
    }

    private void rewrite(ChecksummedFile previous, Header next) throws IOException {
        long flushes = Math.max(previous == null ? 0 : previous.flushes(), FlushMark.read(flushMark));
        long fileNumber = next.fileNumber();
        ChecksummedFile rewritten = null;
        try {
            DiskFile diskFile = disk.open(contentFileName(fileNumber));
            try {
                rewritten = ChecksummedFile.create(diskFile, maxValueBytes, flushes);
            } finally {
                if (rewritten == null) {
                    diskFile.close();
                }
            }
            if (next.fault().isEmpty() && previous != null) {
                rewritten.copyFrom(previous);
            }
            rewritten.commit();
            disk.force();
            HeaderFile.write(headerFile, next);
            deleteOldFiles(header.fileNumber(), fileNumber, !next.fault().isEmpty());
            header = next;
        } catch (IOException e) {
            if (rewritten != null) {
                rewritten.close();
            }
            deleteUnused(fileNumber);
            throw e;
        }
        if (contentFile != null) {
            contentFile.close();
        }
        contentFile = rewritten;
    }

    /** Deletes an incomplete file, which takes space on a full disk, unless the stored header already refers to it. */
    private void deleteUnused(long fileNumber) {
        try {
            if (HeaderFile.read(headerFile).map(Header::fileNumber).orElse(0L) != fileNumber) {
                disk.delete(contentFileName(fileNumber));
            }
        } catch (IOException e) {
            return; // the next opening deletes it
        }
    }

    private void deleteOldFiles(long previousNumber, long currentNumber, boolean keepPrevious) throws IOException {
        List<String> names = disk.fileNames();
        if (keepPrevious && names.contains(contentFileName(previousNumber))) {
            for (String name : names) {
                if (name.endsWith(BAD_SUFFIX)) {
                    disk.delete(name); // only one is kept, so that repeated corruption does not fill the disk
                }
            }
            disk.rename(contentFileName(previousNumber), CONTENT_PREFIX + previousNumber + BAD_SUFFIX);
        }
        for (String name : disk.fileNames()) {
            if (name.startsWith(CONTENT_PREFIX)
                    && name.endsWith(CONTENT_SUFFIX)
                    && !name.equals(contentFileName(currentNumber))) {
                disk.delete(name);
            }
        }
    }

    private static String contentFileName(long fileNumber) {
        return CONTENT_PREFIX + fileNumber + CONTENT_SUFFIX;
    }

    /** The highest number of a content file; 0 if there is none. */
    private long newestFileNumber() throws IOException {
        return disk.fileNames().stream()
                .filter(name -> name.matches("voter-[0-9]{1,18}\\.mv"))
                .mapToLong(name -> Long.parseLong(
                        name.substring(CONTENT_PREFIX.length(), name.length() - CONTENT_SUFFIX.length())))
                .max()
                .orElse(0);
    }

    /** The file with the content. */
    ChecksummedFile contentFile() {
        return contentFile;
    }

    /** The header as last written. */
    Header header() {
        return header;
    }

    /** Makes all changes of the content durable, then records the number of the flush. */
    void flush() throws IOException {
        contentFile.flush();
        FlushMark.write(flushMark, contentFile.flushes());
    }

    /** Durably changes the owner, the reason for distrust, or the content file. */
    void writeHeader(Header next) throws IOException {
        HeaderFile.write(headerFile, next);
        header = next;
    }

    /** Rewrites the content to a new file, without unused space. */
    void compact() throws IOException {
        rewrite(contentFile, header.withFile(header.fileNumber() + 1));
    }

    /** Empties the directory and gives it a new identity; a crash in between keeps the fault. */
    void reset(VoterIdentity newIdentity) throws IOException {
        writeHeader(header.withIdentity(Optional.of(newIdentity), header.fault()));
        rewrite(null, header.withFile(header.fileNumber() + 1));
        writeHeader(header.withIdentity(header.identity(), ""));
    }

    @Override
    public void close() {
        if (contentFile != null) {
            contentFile.close();
        }
        for (DiskFile file : List.of(headerFile, flushMark)) {
            try {
                file.close();
            } catch (IOException e) {
                continue; // all acknowledged data was synced before
            }
        }
    }
}
