package sandpaddle.lab.capacity;

import java.util.Optional;

/** An independent variable of the measurements, with its name in their files and its value in the planned fleet. */
enum Axis {
    GATEWAYS("gateways", "N", (double) PlannedFleet.GATEWAYS),
    ENGINES("engines", "M", (double) PlannedFleet.ENGINES),
    LIMITS("limits", "L", (double) PlannedFleet.LIMITS),
    CHANGES("changesPerSecond", "C", PlannedFleet.CHANGES_PER_SECOND),
    CONNECTIONS("connections", "K", (double) PlannedFleet.CONNECTIONS_PER_GATEWAY),
    STATEMENTS("statementsPerSecond", "S", (double) PlannedFleet.STATEMENTS_PER_GATEWAY),
    /** A condition of a run: runs with different values are not fitted together. */
    CONTROL_MACHINES("controlMachines", "voters", null);

    private final String field;
    private final String symbol;
    private final Double plannedSize;

    Axis(String field, String symbol, Double plannedSize) {
        this.field = field;
        this.symbol = symbol;
        this.plannedSize = plannedSize;
    }

    /** The field name in measurement files. */
    String field() {
        return field;
    }

    /** The symbol in printed model forms. */
    String symbol() {
        return symbol;
    }

    /** The value in the planned fleet; empty if the axis is a condition of a run. */
    Optional<Double> plannedSize() {
        return Optional.ofNullable(plannedSize);
    }
}
