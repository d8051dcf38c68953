package sandpaddle.fleet.store.mv;

import java.io.IOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.ReadOnlyFileSystemException;
import java.util.List;
import java.util.Locale;
import sandpaddle.fleet.store.StoreException;
import sandpaddle.fleet.store.StoreException.Kind;
import sandpaddle.fleet.store.disk.Disk;

/**
 * Classifies I/O errors by {@link Kind}. Java exposes the system's error only as text, so the texts of the C locale
 * are matched; in other locales a nearly full disk is recognized by its free space.
 */
final class FailureClassifier {
    private static final List<String> FULL_MESSAGES = List.of("no space left", "quota exceeded", "file too large");
    private static final List<String> READ_ONLY_MESSAGES =
            List.of("read-only file system", "permission denied", "operation not permitted");
    private static final int FULL_BELOW_BYTES = 1 << 20; // less free space counts as full if the text is unknown
    private static final int MAX_CAUSES = 8; // guards against cycles of causes

    private FailureClassifier() {}

    static StoreException toStoreException(IOException error, Disk disk) {
        if (error instanceof StoreException storeException) {
            return storeException;
        }
        String text = error.getMessage() == null ? error.getClass().getSimpleName() : error.getMessage();
        return new StoreException(classify(error, disk), disk + ": " + text, error);
    }

    private static Kind classify(IOException error, Disk disk) {
        if (error instanceof Disk.LockedException) {
            return Kind.LOCKED;
        }
        if (error instanceof CorruptFileException) {
            return Kind.CORRUPT;
        }
        Throwable cause = error;
        for (int i = 0; cause != null && i < MAX_CAUSES; i++) {
            String text = String.valueOf(cause.getMessage()).toLowerCase(Locale.ROOT);
            if (FULL_MESSAGES.stream().anyMatch(text::contains)) {
                return Kind.FULL;
            }
            if (cause instanceof AccessDeniedException
                    || cause instanceof ReadOnlyFileSystemException
                    || READ_ONLY_MESSAGES.stream().anyMatch(text::contains)) {
                return Kind.READ_ONLY;
            }
            cause = cause.getCause();
        }
        try {
            return disk.freeBytes() < FULL_BELOW_BYTES ? Kind.FULL : Kind.IO;
        } catch (IOException spaceUnknown) {
            return Kind.IO;
        }
    }
}
