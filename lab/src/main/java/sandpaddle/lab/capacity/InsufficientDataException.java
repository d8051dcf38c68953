package sandpaddle.lab.capacity;

/** Thrown when there are too few measurements, or too few distinct sizes, for a projection; the message says why. */
final class InsufficientDataException extends Exception {
    private static final long serialVersionUID = 1;

    InsufficientDataException(String message) {
        super(message);
    }
}
