package sandpaddle.fleet.pool.model;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import sandpaddle.fleet.pool.model.PolicyDiagnostic.Severity;

/**
 * Collects the distinct diagnostics of one policy. The first {@value #MAX_ERRORS} errors and the first
 * {@value #MAX_WARNINGS} warnings are kept; the separate limits ensure that warnings never displace an error.
 */
public final class DiagnosticList {
    /** The maximum number of errors that are kept. */
    public static final int MAX_ERRORS = 200;
    /** The maximum number of warnings that are kept. */
    public static final int MAX_WARNINGS = 50;

    private static final int MAX_SHOWN_CHARACTERS = 48;

    private final Set<PolicyDiagnostic> errors = new LinkedHashSet<>();
    private final Set<PolicyDiagnostic> warnings = new LinkedHashSet<>();
    private boolean errorLimitReached;
    private boolean truncated;

    /** Adds an error, unless the same one is present or the limit is reached. */
    public void error(SourcePosition position, String found, String allowed) {
        add(new PolicyDiagnostic(position, Severity.ERROR, found, allowed));
    }

    /** Adds a warning, unless the same one is present or the limit is reached. */
    public void warning(SourcePosition position, String found, String allowed) {
        add(new PolicyDiagnostic(position, Severity.WARNING, found, allowed));
    }

    private void add(PolicyDiagnostic diagnostic) {
        boolean error = diagnostic.severity() == Severity.ERROR;
        Set<PolicyDiagnostic> diagnostics = error ? errors : warnings;
        if (diagnostics.size() < (error ? MAX_ERRORS : MAX_WARNINGS)) {
            diagnostics.add(diagnostic);
        } else if (!diagnostics.contains(diagnostic)) {
            errorLimitReached |= error;
            truncated = true;
        }
    }

    /** The number of errors that are kept. */
    public int errorCount() {
        return errors.size();
    }

    /** Whether an error was discarded because of the limit; callers may stop looking for more. */
    public boolean isErrorLimitReached() {
        return errorLimitReached;
    }

    /** Whether an error or a warning was discarded because of its limit. */
    public boolean isTruncated() {
        return truncated;
    }

    /** All diagnostics, sorted by position. */
    public List<PolicyDiagnostic> list() {
        return Stream.concat(errors.stream(), warnings.stream())
                .sorted(Comparator.comparing(PolicyDiagnostic::position))
                .toList();
    }

    /** Escapes control characters in a text from a policy file, and truncates it, so that it fits in a log line. */
    public static String printable(String text) {
        return printable(text, MAX_SHOWN_CHARACTERS);
    }

    /**
     * Escapes control characters and surrogates in a text, and truncates it.
     *
     * @param maxCharacters length of the result at which it is truncated and "..." appended; an escape sequence may
     * exceed it by 5
     */
    public static String printable(String text, int maxCharacters) {
        StringBuilder shown = new StringBuilder();
        for (int index = 0; index < text.length() && shown.length() < maxCharacters; index++) {
            char character = text.charAt(index);
            if (Character.isISOControl(character) || Character.isSurrogate(character)) {
                shown.append(String.format("\\u%04x", (int) character));
            } else {
                shown.append(character);
            }
        }
        return shown.length() >= maxCharacters ? shown + "..." : shown.toString();
    }
}
