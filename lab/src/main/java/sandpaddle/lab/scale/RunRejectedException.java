package sandpaddle.lab.scale;

import java.util.List;

/** Thrown when a scale run is rejected before it starts. Carries every reason. */
public final class RunRejectedException extends Exception {
    private static final long serialVersionUID = 1;

    private final List<String> reasons;

    RunRejectedException(List<String> reasons) {
        super(String.join("; ", reasons));
        this.reasons = List.copyOf(reasons);
    }

    /** The reasons for the rejection, one element each. */
    public List<String> reasons() {
        return reasons;
    }
}
