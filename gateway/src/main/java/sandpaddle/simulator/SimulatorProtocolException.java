package sandpaddle.simulator;

/** Thrown for a line of the simulator that cannot be handled; the message states line number, event and problem. */
public final class SimulatorProtocolException extends Exception {
    private static final long serialVersionUID = 1;

    SimulatorProtocolException(String message) {
        super(message);
    }
}
