package sandpaddle.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/**
 * The JSON Schema and {@link OperatorFile} accept the same files, except for relations between keys, which a schema
 * cannot express.
 */
class SchemaProperties {
    /** A key of the schema: its path, and the schema of its value. */
    record Key(String path, Map<String, LocatedJson> schema) {}

    private static final SchemaValidator SCHEMA = new SchemaValidator();
    private static final Pattern RELATION = Pattern.compile("'[a-z_]+'"); // an error that names another key
    /** Valid strings by key. */
    private static final Map<String, String> VALID_TEXTS = Map.of(
            "listen",
            "10.0.0.4:7400",
            "address",
            "10.0.0.4:7400",
            "name",
            "n",
            "hall",
            "east",
            "zone",
            "UTC",
            "start",
            "2026-11-01T02:30",
            "duration",
            "PT1H30M",
            "rrule",
            "FREQ=WEEKLY;BYDAY=SU",
            "exdates[]",
            "2026-11-08T02:30",
            "any",
            "10.0.0.5:7400");
    /** The required keys of list elements. */
    private static final Map<String, List<String>> REQUIRED_KEYS = Map.of(
            "members[]",
            List.of("name", "hall", "address"),
            "limits[]",
            List.of("name"),
            "outages[]",
            List.of("name", "hall", "zone", "start", "duration"));

    static final List<Key> KEYS = keys();

    @SuppressWarnings("unchecked")
    private static List<Key> keys() {
        try {
            LocatedJson document = LocatedJson.parse(
                    Files.readAllBytes(Path.of("deploy/sandpaddle.schema.json")), new ValidationErrors("schema"));
            List<Key> keys = new ArrayList<>();
            walk("", (Map<String, LocatedJson>) document.value(), keys);
            return keys;
        } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @SuppressWarnings("unchecked")
    private static void walk(String path, Map<String, LocatedJson> schema, List<Key> keys) {
        if (schema.containsKey("properties")) {
            ((Map<String, LocatedJson>) schema.get("properties").value())
                    .forEach((key, value) ->
                            walk(ValidationErrors.joinPath(path, key), (Map<String, LocatedJson>) value.value(), keys));
        } else if (schema.containsKey("items")) {
            walk(path + "[]", (Map<String, LocatedJson>) schema.get("items").value(), keys);
        } else if (schema.containsKey("additionalProperties")) { // names as keys
            walk(
                    path + ".any",
                    (Map<String, LocatedJson>)
                            schema.get("additionalProperties").value(),
                    keys);
        } else {
            keys.add(new Key(path, schema));
        }
    }

    private static String lastKey(String path) {
        return path.substring(path.lastIndexOf('.') + 1);
    }

    static double number(Key key, String bound) {
        return ((Number) key.schema.get(bound).value()).doubleValue();
    }

    /** A random value for a key: its default, a bound, a value just out of bounds, or one of another type. */
    private static String randomValue(Key key, SplittableRandom random) {
        // Without a pattern in the schema only the reader checks the form of a string, so valid strings are drawn.
        boolean isFreeText = !key.schema.containsKey("pattern");
        if (random.nextInt(6) == 0) {
            boolean text = isFreeText
                    && key.schema.containsKey("type")
                    && "string".equals(key.schema.get("type").value());
            return List.of("null", "[]", "{}", "true", "1.5", "-1", "1e300", "\"x\"")
                    .get(random.nextInt(text ? 7 : 8));
        }
        if (key.schema.containsKey("enum")) {
            List<?> constants = (List<?>) key.schema.get("enum").value();
            return toJson(((LocatedJson) constants.get(random.nextInt(constants.size()))).value());
        }
        if (!key.schema.containsKey("maximum")) {
            LocatedJson defaultValue = key.schema.get("default");
            return defaultValue != null
                    ? toJson(defaultValue.value())
                    : toJson(
                            isFreeText || random.nextBoolean()
                                    ? VALID_TEXTS.getOrDefault(lastKey(key.path), "s")
                                    : List.of("s", "|", "", "x".repeat(600)).get(random.nextInt(4)));
        }
        boolean isInteger = "integer".equals(key.schema.get("type").value());
        double step = isInteger ? 1 : 0.001;
        double value = switch (random.nextInt(5)) {
            case 0 -> number(key, "minimum");
            case 1 -> number(key, "maximum");
            case 2 -> number(key, "minimum") - step;
            case 3 -> number(key, "maximum") + step;
            default -> number(key, key.schema.containsKey("default") ? "default" : "minimum");
        };
        return isInteger ? Long.toString((long) value) : String.format(Locale.ROOT, "%.4f", value);
    }

    static String toJson(Object value) {
        return value instanceof String s ? "\"" + s + "\"" : String.valueOf(value);
    }

    /** Finds a key, a type or a bound that only one of the two knows. */
    @Property(seed = "21", tries = 3000)
    void schemaAndReaderAcceptTheSameFiles(@ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Key key = KEYS.get(random.nextInt(KEYS.size()));
        String name = random.nextInt(12) == 0 ? key.path + "x" : key.path;
        String text = nest(name.split("\\."), randomValue(key, random));
        assertEquals(schemaAccepts(text), readerAccepts(text), text);
    }

    static String nest(String[] path, String value) {
        String text = value;
        for (int i = path.length - 1; i >= 0; i--) {
            boolean list = path[i].endsWith("[]");
            String key = list ? path[i].substring(0, path[i].length() - 2) : path[i];
            text = "{\"" + key + "\": " + (list ? "[" + text + "]" : text)
                    + requiredSiblings(key, i > 0 ? path[i - 1] : "") + "}";
        }
        return text;
    }

    private static String requiredSiblings(String key, String list) {
        return REQUIRED_KEYS.getOrDefault(list, List.of()).stream()
                .filter(sibling -> !sibling.equals(key))
                .map(sibling -> ", \"" + sibling + "\": \"" + VALID_TEXTS.get(sibling) + "\"")
                .collect(Collectors.joining());
    }

    private static boolean readerAccepts(String text) {
        ValidationErrors errors = new ValidationErrors("f");
        try {
            OperatorFile.parse(text.getBytes(StandardCharsets.UTF_8), errors);
            return true;
        } catch (OperatorFile.InvalidFileException e) {
            // Errors about relations between keys or other files are outside the schema.
            return errors.sorted().stream()
                    .allMatch(error -> RELATION.matcher(error.allowed()).find()
                                    && !error.found().startsWith("an unk")
                            || error.allowed().equals("a file that can be read"));
        }
    }

    private static boolean schemaAccepts(String text) {
        return SCHEMA.accepts(text);
    }
}
