package sandpaddle.codec;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/** The header fields of a message in their order, with names in lower case. */
public final class HttpHeaders {
    private static final Pattern NUMBER = Pattern.compile("\\d{1,18}");

    private record Field(String name, String value) {}

    private final List<Field> fields = new ArrayList<>();

    void add(String name, String value) {
        fields.add(new Field(name.toLowerCase(Locale.ROOT), value));
    }

    /** The first value of a field, by its name in lower case; null if it is absent. */
    public String get(String name) {
        for (Field field : fields) {
            if (field.name.equals(name)) {
                return field.value;
            }
        }
        return null;
    }

    /** The first value of a field, by its name in lower case; {@code fallback} if it is absent. */
    public String get(String name, String fallback) {
        String value = get(name);
        return value == null ? fallback : value;
    }

    /** All values of a field, by its name in lower case, in order. */
    public List<String> values(String name) {
        return fields.stream()
                .filter(field -> field.name.equals(name))
                .map(Field::value)
                .toList();
    }

    /** Whether a field is present, by its name in lower case. */
    public boolean has(String name) {
        return get(name) != null;
    }

    /**
     * The value of an integer field.
     *
     * @param name name of the field in lower case
     * @param fallback returned if the field is absent
     * @return the value; -1 if it is not a non-negative integer of at most 18 digits
     */
    public long number(String name, long fallback) {
        String text = get(name);
        if (text == null) {
            return fallback;
        }
        return NUMBER.matcher(text).matches() ? Long.parseLong(text) : -1;
    }

    /**
     * Whether a comma-separated list contains a token; ignores case, and parameters after a semicolon.
     *
     * @param name name of the field in lower case
     * @param token the token
     */
    public boolean containsToken(String name, String token) {
        for (String value : values(name)) {
            for (String part : value.split(",")) {
                if (part.split(";", 2)[0].strip().equalsIgnoreCase(token)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** The name of a field that must be single-valued and has two different values; null if there is none. */
    String conflictingField(Predicate<String> isSingleValued) {
        for (Field field : fields) {
            if (isSingleValued.test(field.name) && !field.value.equals(get(field.name))) {
                return field.name;
            }
        }
        return null;
    }

    int size() {
        return fields.size();
    }
}
