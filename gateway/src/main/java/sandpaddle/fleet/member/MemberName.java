package sandpaddle.fleet.member;

/**
 * Syntax of the names of members, zones and clusters, so that they can be used in logs, files and frames without
 * escaping.
 */
public final class MemberName {
    /** Longest name in characters. */
    public static final int MAX_CHARS = 64;

    private MemberName() {}

    /**
     * Whether a name has one to {@value #MAX_CHARS} of the letters {@code A-Z a-z}, the digits, dot, underscore and
     * hyphen.
     */
    public static boolean isValid(String name) {
        if (name == null || name.isEmpty() || name.length() > MAX_CHARS) {
            return false;
        }
        for (int i = 0; i < name.length(); i++) {
            char c = name.charAt(i);
            boolean letter = c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z';
            if (!letter && !(c >= '0' && c <= '9') && c != '.' && c != '_' && c != '-') {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the name if it is valid.
     *
     * @param field name of the checked field, for the message
     * @param name the name to check
     * @throws IllegalArgumentException with the field and the name, shortened for a log line
     */
    public static String check(String field, String name) {
        if (!isValid(name)) {
            String shown = name == null ? "none" : name.substring(0, Math.min(MAX_CHARS, name.length()));
            throw new IllegalArgumentException(
                    field + " '" + shown + "' is not 1 to " + MAX_CHARS + " of A-Z a-z 0-9 . _ -");
        }
        return name;
    }
}
