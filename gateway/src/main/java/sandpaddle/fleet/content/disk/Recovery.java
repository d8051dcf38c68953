package sandpaddle.fleet.content.disk;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Builds the index when a gateway starts. It reads at most {@code maxFiles} names, and of each segment only the header:
 * at most {@code maxEntries * 128} bytes with two reads per segment. Partial files are deleted; a segment with a
 * corrupt header is quarantined under another name, and the last {@value #MAX_QUARANTINED} of these are kept; other
 * files are ignored. Faults are recorded; none stops the start.
 */
final class Recovery {
    static final int MAX_QUARANTINED = 4;
    static final String TEMPORARY_SUFFIX = ".part";
    static final String QUARANTINE_SUFFIX = ".aside";
    private static final Pattern FILE_NAME = Pattern.compile("content-([0-9a-f]{16})\\.seg("
            + Pattern.quote(TEMPORARY_SUFFIX) + "|" + Pattern.quote(QUARANTINE_SUFFIX) + ")?");

    private final StorageDirectory files;
    private final DiskSettings settings;
    private final FaultLog faults;
    private final Index index;
    private long lastSegmentNumber; // highest segment number in use

    Recovery(StorageDirectory files, DiskSettings settings, FaultLog faults, Index index) {
        this.files = files;
        this.settings = settings;
        this.faults = faults;
        this.index = index;
    }

    static String segmentName(long number) {
        return String.format("content-%016x.seg", number);
    }

    /** Fills the index; returns the highest segment number in use. */
    long run() {
        List<String> names;
        try {
            names = files.list(settings.maxFiles() + 1);
        } catch (IOException e) {
            faults.add(DiskFault.Kind.READ, "", e);
            return 0;
        }
        if (names.size() > settings.maxFiles()) {
            faults.add(DiskFault.Kind.MANY, "", "more than " + settings.maxFiles() + " files; the others are ignored");
        }
        Deque<String> quarantined = new ArrayDeque<>();
        names.stream().sorted().limit(settings.maxFiles()).forEach(name -> recoverFile(name, quarantined));
        return lastSegmentNumber;
    }

    private void recoverFile(String name, Deque<String> quarantined) {
        Matcher matcher = FILE_NAME.matcher(name);
        if (!matcher.matches()) {
            faults.add(DiskFault.Kind.FOREIGN, name, "not a segment of this cache; ignored");
            return;
        }
        try {
            lastSegmentNumber =
                    Math.max(lastSegmentNumber, Long.parseUnsignedLong(matcher.group(1), 16) & Long.MAX_VALUE);
            if (TEMPORARY_SUFFIX.equals(matcher.group(2))) {
                files.delete(name);
            } else if (QUARANTINE_SUFFIX.equals(matcher.group(2))) {
                limitQuarantined(name, quarantined);
            } else {
                recoverSegment(name, quarantined);
            }
        } catch (IOException e) {
            faults.add(DiskFault.Kind.READ, name, e);
        }
    }

    private void recoverSegment(String name, Deque<String> quarantined) throws IOException {
        long size = files.size(name);
        try {
            SegmentCodec.Contents contents = SegmentCodec.read(files, name, size);
            if (contents.torn()) {
                faults.add(
                        DiskFault.Kind.TORN,
                        name,
                        size + " bytes, shorter than its header states; "
                                + contents.locations().size() + " complete entries are kept");
            }
            if (index.entries() + contents.locations().size() > settings.maxEntries()) {
                faults.add(
                        DiskFault.Kind.MANY, name, "more than " + settings.maxEntries() + " entries; segment deleted");
                files.delete(name);
            } else {
                index.add(new Segment(name, size, contents.locations()));
            }
        } catch (SegmentCodec.CorruptSegmentException e) {
            faults.add(DiskFault.Kind.CORRUPT, name, e.getMessage() + "; quarantined");
            files.rename(name, name + QUARANTINE_SUFFIX);
            limitQuarantined(name + QUARANTINE_SUFFIX, quarantined);
        }
    }

    private void limitQuarantined(String name, Deque<String> quarantined) throws IOException {
        quarantined.add(name);
        if (quarantined.size() > MAX_QUARANTINED) {
            files.delete(quarantined.remove());
        }
    }
}
