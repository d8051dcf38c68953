package sandpaddle.lab.capacity;

import java.util.Optional;

/** A size that measurements vary, with its name in their files and its value in the fleet to plan for. */
enum Axis {
    GATEWAYS("gateways", "N", (double) OperatorSize.GATEWAYS),
    ENGINES("engines", "M", (double) OperatorSize.ENGINES),
    LIMITS("limits", "L", (double) OperatorSize.LIMITS),
    CHANGES("changesPerSecond", "C", OperatorSize.CHANGES_PER_SECOND),
    CONNECTIONS("connections", "K", (double) OperatorSize.CONNECTIONS_PER_GATEWAY),
    STATEMENTS("statementsPerSecond", "S", (double) OperatorSize.STATEMENTS_PER_GATEWAY),
    /** A condition: runs with different numbers of them are not fitted together. */
    CONTROL_MACHINES("controlMachines", "voters", null);

    private final String field;
    private final String symbol;
    private final Double planned;

    Axis(String field, String symbol, Double planned) {
        this.field = field;
        this.symbol = symbol;
        this.planned = planned;
    }

    /** Its name in the files of measurements. */
    String field() {
        return field;
    }

    /** Its name in forms. */
    String symbol() {
        return symbol;
    }

    /** Its value in the fleet to plan for; empty where it is a condition of a run. */
    Optional<Double> planned() {
        return Optional.ofNullable(planned);
    }
}
