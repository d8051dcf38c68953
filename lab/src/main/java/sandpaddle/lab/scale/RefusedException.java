package sandpaddle.lab.scale;

import java.util.List;

/** A run that is not begun, with every reason. */
public final class RefusedException extends Exception {
    private static final long serialVersionUID = 1;

    private final List<String> reasons;

    RefusedException(List<String> reasons) {
        super(String.join("; ", reasons));
        this.reasons = List.copyOf(reasons);
    }

    /** What stands against the run, each by itself. */
    public List<String> reasons() {
        return reasons;
    }
}
