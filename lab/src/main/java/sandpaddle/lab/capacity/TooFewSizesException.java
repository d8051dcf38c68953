package sandpaddle.lab.capacity;

/** There are too few measurements, or too few different sizes, for a projection; the message tells what is missing. */
final class TooFewSizesException extends Exception {
    private static final long serialVersionUID = 1;

    TooFewSizesException(String message) {
        super(message);
    }
}
