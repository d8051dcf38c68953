package sandpaddle.config;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Reads one object of the operator's file key by key, each with its type, its bounds and its default. An invalid value
 * adds an error and yields the default, so that one pass finds all errors. A key that no accessor has requested is an
 * error too, see {@link #rejectUnknownKeys}.
 */
public final class SectionReader {
    private static final int MAX_TYPO_DISTANCE = 3; // edits within which an unknown key is taken for a typo
    private static final int MAX_PATH_CHARS = 1024;
    private static final long MAX_EXACT_INTEGER = 1L << 53; // beyond it a double skips integers

    private final String path;
    private final LocatedJson json;
    private final Map<String, LocatedJson> members;
    private final ValidationErrors errors;
    private final Set<String> requestedKeys = new HashSet<>();
    private final List<SectionReader> children = new ArrayList<>();

    private SectionReader(String path, LocatedJson json, ValidationErrors errors) {
        this.path = path;
        this.json = json;
        this.errors = errors;
        members = membersOf(json);
    }

    @SuppressWarnings("unchecked") // a map of LocatedJson has string keys and LocatedJson values
    private static Map<String, LocatedJson> membersOf(LocatedJson json) {
        return json != null && json.value() instanceof Map ? (Map<String, LocatedJson>) json.value() : Map.of();
    }

    /** A reader of the outermost object; null stands for an empty one. */
    static SectionReader of(LocatedJson json, ValidationErrors errors) {
        return new SectionReader("", json, errors);
    }

    /** Whether a key is present, with any value. */
    public boolean has(String key) {
        return members.containsKey(key);
    }

    /** A nested object; reads as empty if absent. */
    public SectionReader section(String key) {
        LocatedJson member = request(key);
        if (member != null && !(member.value() instanceof Map)) {
            addError(key, "an object");
            member = null;
        }
        return child(ValidationErrors.joinPath(path, key), member);
    }

    private SectionReader child(String childPath, LocatedJson childJson) {
        SectionReader child = new SectionReader(childPath, childJson, errors);
        children.add(child);
        return child;
    }

    /** The objects of a list of at most {@code maxSize}; empty if absent. */
    public List<SectionReader> sections(String key, int maxSize) {
        List<SectionReader> sections = new ArrayList<>();
        for (LocatedJson element : list(key, maxSize)) {
            String elementPath = ValidationErrors.joinPath(path, key) + "[" + sections.size() + "]";
            boolean isObject = element.value() instanceof Map;
            if (!isObject) {
                errors.add(element.line(), element.column(), elementPath, element.describe(), "an object");
            }
            sections.add(child(elementPath, isObject ? element : null));
        }
        return sections;
    }

    /** The valid strings of a list of at most {@code maxSize}; empty if absent. */
    public List<String> strings(String key, int maxSize, Predicate<String> isValid, String allowed) {
        List<String> strings = new ArrayList<>();
        for (LocatedJson element : list(key, maxSize)) {
            if (element.value() instanceof String string && isValid.test(string)) {
                strings.add(string);
            } else {
                String elementPath = ValidationErrors.joinPath(path, key) + "[" + strings.size() + "]";
                errors.add(element.line(), element.column(), elementPath, element.describe(), allowed);
            }
        }
        return strings;
    }

    @SuppressWarnings("unchecked") // a list of LocatedJson has LocatedJson elements
    private List<LocatedJson> list(String key, int maxSize) {
        LocatedJson member = request(key);
        if (member == null) {
            return List.of();
        }
        if (!(member.value() instanceof List<?> list) || list.size() > maxSize) {
            addError(key, "a list of " + maxSize + " at most");
            return List.of();
        }
        return (List<LocatedJson>) list;
    }

    /** A valid string. */
    public String string(String key, String defaultValue, Predicate<String> isValid, String allowed) {
        LocatedJson member = request(key);
        if (member == null) {
            return defaultValue;
        }
        if (member.value() instanceof String string && isValid.test(string)) {
            return string;
        }
        addError(key, allowed);
        return defaultValue;
    }

    /** The keys that are present, for objects whose keys are names. */
    public Set<String> keys() {
        return members.keySet();
    }

    /** A boolean. */
    public boolean flag(String key, boolean defaultValue) {
        LocatedJson member = request(key);
        if (member == null || member.value() instanceof Boolean) {
            return member == null ? defaultValue : (Boolean) member.value();
        }
        addError(key, "true or false");
        return defaultValue;
    }

    /** An integer from {@code min} to {@code max}. */
    public long integer(String key, long defaultValue, long min, long max) {
        LocatedJson member = request(key);
        if (member == null) {
            return defaultValue;
        }
        if (integralOrSame(member.value()) instanceof Long integer && integer >= min && integer <= max) {
            return integer;
        }
        addError(key, "a whole number from " + min + " to " + max);
        return defaultValue;
    }

    /** JSON has one type of number: 5.0 is the integer 5. */
    private static Object integralOrSame(Object value) {
        boolean isIntegral =
                value instanceof Double number && number == Math.rint(number) && Math.abs(number) < MAX_EXACT_INTEGER;
        return isIntegral ? (Object) ((Double) value).longValue() : value;
    }

    /** A number from {@code min} to {@code max}. */
    public double number(String key, double defaultValue, double min, double max) {
        LocatedJson member = request(key);
        if (member == null) {
            return defaultValue;
        }
        if (member.value() instanceof Number number && number.doubleValue() >= min && number.doubleValue() <= max) {
            return number.doubleValue();
        }
        addError(key, "a number from " + min + " to " + max);
        return defaultValue;
    }

    /** A duration, which the file gives in whole milliseconds. */
    public Duration durationMs(String key, Duration defaultValue, Duration min, Duration max) {
        return Duration.ofMillis(integer(key, defaultValue.toMillis(), min.toMillis(), max.toMillis()));
    }

    /** A constant of an enum by its name, which the file gives in lower case with dashes. */
    public <E extends Enum<E>> E oneOf(String key, E defaultValue, Class<E> type) {
        LocatedJson member = request(key);
        if (member == null) {
            return defaultValue;
        }
        List<String> names = Arrays.stream(type.getEnumConstants())
                .map(SectionReader::nameInFile)
                .toList();
        int index = member.value() instanceof String string ? names.indexOf(string) : -1;
        if (index < 0) {
            addError(key, "one of \"" + String.join("\", \"", names) + "\"");
            return defaultValue;
        }
        return type.getEnumConstants()[index];
    }

    private static String nameInFile(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Accepts a string that the program does not use, such as {@code $schema} for editors. */
    public void ignoreString(String key) {
        LocatedJson member = request(key);
        if (member != null && !(member.value() instanceof String)) {
            addError(key, "a text");
        }
    }

    /** Adds an error about a key, also one that is absent; for values that are invalid only beside others. */
    public void addError(String key, String allowed) {
        LocatedJson member = members.get(key);
        LocatedJson location = member != null ? member : json;
        errors.add(
                location == null ? 1 : location.line(),
                location == null ? 1 : location.column(),
                ValidationErrors.joinPath(path, key),
                member == null ? "nothing" : member.describe(),
                allowed);
    }

    /**
     * The path of a file that a key names, relative to the folder of the operator's file; empty if absent or invalid.
     */
    public Optional<Path> filePath(String key) {
        String name = string(
                key,
                "",
                text -> !text.isBlank() && text.length() <= MAX_PATH_CHARS,
                "a file's path of " + MAX_PATH_CHARS + " characters at most");
        try {
            return name.isEmpty() ? Optional.empty() : Optional.of(errors.resolveSibling(name));
        } catch (InvalidPathException e) {
            addError(key, "a file's path");
            return Optional.empty();
        }
    }

    /** Adds an error inside a file that a key names. */
    public void addErrorInFile(String key, Path file, int line, int column, String found, String allowed) {
        errors.add(file.toString(), line, column, ValidationErrors.joinPath(path, key), found, allowed);
    }

    private LocatedJson request(String key) {
        requestedKeys.add(key);
        LocatedJson member = members.get(key);
        if (member != null && member.value() == null) {
            addError(key, "a value, or no such key");
            return null;
        }
        return member;
    }

    /** Adds an error for each key that was not requested, here and in all sections below. Call it last. */
    void rejectUnknownKeys() {
        members.forEach((key, member) -> {
            if (!requestedKeys.contains(key)) {
                String allowed = nearestRequestedKey(key)
                        .map(nearest -> "'" + nearest + "', if that was meant")
                        .orElseGet(this::describeRequestedKeys);
                String keyPath = ValidationErrors.joinPath(path, key);
                errors.add(member.line(), member.column(), keyPath, "an unknown key", allowed);
            }
        });
        children.forEach(SectionReader::rejectUnknownKeys);
    }

    private Optional<String> nearestRequestedKey(String key) {
        return requestedKeys.stream()
                .filter(requested -> EditDistance.between(requested, key) <= MAX_TYPO_DISTANCE)
                .min(Comparator.comparingInt(requested -> EditDistance.between(requested, key)));
    }

    private String describeRequestedKeys() {
        return requestedKeys.isEmpty()
                ? "nothing here"
                : String.join(", ", requestedKeys.stream().sorted().toList());
    }
}
