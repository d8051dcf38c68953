package sandpaddle.lab.capacity;

import java.util.List;

/** Files of measurements that cannot be used: each fault with its file, all at once. */
final class FaultyMeasurementsException extends Exception {
    private static final long serialVersionUID = 1;

    FaultyMeasurementsException(List<String> faults) {
        super(String.join(System.lineSeparator(), faults));
    }
}
