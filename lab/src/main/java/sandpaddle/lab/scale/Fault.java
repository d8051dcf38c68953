package sandpaddle.lab.scale;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** A fault injected during a scale run. Some are reserved names from the capacity plan and not implemented yet. */
public enum Fault {
    /** No fault. */
    NONE(true),
    /** The process of the leader is killed without a shutdown, as in a power failure. */
    CONTROL_MACHINE(true),
    /** The gateways of one zone are partitioned from all control machines until the end of the run. */
    ZONE(true),
    /** The gateways of one zone are partitioned for part of the run and reconnect at the same moment. */
    RETURN_ZONE(true),
    /** A tenth of the gateways crash and restart at the same moment. */
    RESTART_TENTH(true),
    /** A tenth of the gateways of one zone fail. */
    RACK(false),
    /** All zones of one region fail. */
    REGION(false),
    /** The disk of a control machine has a high latency. */
    SLOW_DISK(false),
    /** An engine is replaced by its successor. */
    SUCCESSOR(false);

    private final boolean implemented;

    Fault(boolean implemented) {
        this.implemented = implemented;
    }

    /** Whether a scale run can inject this fault. */
    public boolean isImplemented() {
        return implemented;
    }

    /** The name on the command line and in reports. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Whether the links of one zone pass through a relay that can disconnect them. */
    boolean disconnectsZone() {
        return this == ZONE || this == RETURN_ZONE;
    }

    /**
     * Returns the fault with a label, ignoring case.
     *
     * @throws RunRejectedException if the label is unknown or the fault is not implemented
     */
    public static Fault of(String name) throws RunRejectedException {
        Fault found = Arrays.stream(values())
                .filter(f -> f.label().equalsIgnoreCase(name))
                .findFirst()
                .orElseThrow(() -> new RunRejectedException(
                        List.of("fault '" + name + "' is unknown; expected one of " + labels())));
        if (!found.implemented) {
            throw new RunRejectedException(
                    List.of("fault '" + found.label() + "' is not implemented; expected one of " + labels()));
        }
        return found;
    }

    private static String labels() {
        return Arrays.stream(values())
                .filter(Fault::isImplemented)
                .map(Fault::label)
                .collect(Collectors.joining(", "));
    }
}
