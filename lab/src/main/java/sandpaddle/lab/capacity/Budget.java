package sandpaddle.lab.capacity;

import java.util.OptionalDouble;

/**
 * The budget of a measured value, with its place on the capacity page and the code that the value depends on.
 *
 * @param factor factor that converts a measured value to {@code unit}
 * @param maximum largest allowed value, in {@code unit}; empty if there is none
 * @param line line of the planned size that the value counts against
 * @param mechanism short text that names the code responsible for the value
 */
record Budget(
        Section section,
        String label,
        String unit,
        double factor,
        OptionalDouble maximum,
        SizeLine line,
        String mechanism) {
    /** A section of the capacity page. */
    enum Section {
        CLIENT("client-side"),
        GATEWAY("gateway"),
        CONTROL_PART("control-part"),
        CONTROL_MACHINE("control-machine"),
        FEED("feed"),
        DISK("disk"),
        TIMES("times"),
        CODE("limits");

        private final String table;

        Section(String table) {
            this.table = table;
        }

        /** The name of the table on the page. */
        String table() {
            return table;
        }
    }

    /** A line of the table of planned sizes. */
    enum SizeLine {
        GATEWAYS,
        ENGINES,
        CONNECTIONS,
        STATEMENTS,
        PRIMARY,
        CONFIGURATION,
        CONTROL,
        FAILURES,
        NONE
    }
}
