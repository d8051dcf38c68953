package sandpaddle.fleet.pool.model;

/**
 * An error or a warning about a policy.
 *
 * @param found what was found at the position
 * @param allowed what is allowed there instead
 */
public record PolicyDiagnostic(SourcePosition position, Severity severity, String found, String allowed) {
    /** Whether the policy can be activated in spite of the diagnostic. */
    public enum Severity {
        /** The policy is invalid. */
        ERROR,
        /** The policy is valid. */
        WARNING
    }

    @Override
    public String toString() {
        String kind = severity == Severity.WARNING ? "warning: " : "";
        return position.line() + ":" + position.column() + ": " + kind + "found " + found + "; allowed: " + allowed;
    }
}
