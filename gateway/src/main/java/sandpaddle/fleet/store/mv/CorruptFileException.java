package sandpaddle.fleet.store.mv;

import java.io.IOException;

/** The content of a file is not what was written to it. */
public final class CorruptFileException extends IOException {
    private static final long serialVersionUID = 1;

    /** Creates an exception with the error that revealed the corruption, or null. */
    public CorruptFileException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Creates an exception without a cause. */
    public CorruptFileException(String message) {
        this(message, null);
    }
}
