package sandpaddle.lab.capacity;

import java.util.OptionalDouble;

/**
 * One projected value with its budget.
 *
 * @param form the model form as text
 * @param formHolds false if a prediction missed by more than the tolerance, so that the projection must not be used
 * @param note sizes that were held constant, and measurements that were left out
 */
record ProjectionRow(
        Budget.Section section,
        String role,
        String measure,
        String label,
        String unit,
        String form,
        boolean formHolds,
        double projected,
        OptionalDouble low,
        OptionalDouble high,
        OptionalDouble budget,
        Budget.SizeLine line,
        String mechanism,
        Basis basis,
        String note) {
    /** The evidence that a projection is based on. */
    enum Basis {
        /** Measured at the planned size itself. */
        MEASURED,
        /** Extrapolated with a tested form beyond the largest measured size. */
        EXTRAPOLATED,
        /** Derived from the code, without a measurement. */
        ARGUED;

        String text() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    /** Whether the projection is reliable: its form holds, or the value was measured and needs no form. */
    boolean isUsable() {
        return formHolds || basis == Basis.MEASURED;
    }

    /** The projected value divided by the budget; empty if there is no budget. */
    OptionalDouble ratio() {
        return budget.isPresent() ? OptionalDouble.of(projected / budget.getAsDouble()) : OptionalDouble.empty();
    }
}
