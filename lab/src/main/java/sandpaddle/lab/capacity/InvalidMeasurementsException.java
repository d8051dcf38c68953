package sandpaddle.lab.capacity;

import java.util.List;

/** Thrown when measurement files are invalid. The message has one line per fault, with its file. */
final class InvalidMeasurementsException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidMeasurementsException(List<String> faults) {
        super(String.join(System.lineSeparator(), faults));
    }
}
