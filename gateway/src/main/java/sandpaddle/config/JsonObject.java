package sandpaddle.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * A JSON object read with typed accessors. A field that is {@code null} counts as absent. Each accessor throws {@link
 * InvalidFieldException} if the field has another type, and, unless its name ends in {@code Or} or {@code OrNull}, if
 * the field is absent; the message names the field with the path that leads to it. Unknown fields are ignored.
 *
 * <p>Values are held as Jackson's streaming parser yields them: a map for an object, a list for an array, a string, a
 * {@code Long}, a {@code Double} (also for integers beyond 64 bits) or a {@code Boolean}.
 */
public final class JsonObject {
    private static final JsonFactory FACTORY = new JsonFactory();

    private final String path;
    private final Map<String, Object> fields;

    /**
     * Wraps fields that have been read already.
     *
     * @param path prefix of field names in messages: empty, or ending in a dot
     */
    public JsonObject(String path, Map<String, Object> fields) {
        this.path = path;
        this.fields = fields;
    }

    /**
     * Parses a text that consists of exactly one object.
     *
     * @param path prefix of field names in messages: empty, or ending in a dot
     * @throws InvalidFieldException if the text is no object, or if anything follows it
     * @throws IOException if the text is malformed JSON
     */
    public static JsonObject parse(byte[] text, String path) throws IOException, InvalidFieldException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidFieldException("expected a JSON object");
            }
            JsonObject object = read(parser, path);
            if (parser.nextToken() != null) {
                throw new InvalidFieldException("expected one JSON object and nothing after it");
            }
            return object;
        }
    }

    /** Reads an object whose opening brace the parser has consumed, up to and including its closing brace. */
    public static JsonObject read(JsonParser parser, String path) throws IOException {
        return new JsonObject(path, readFields(parser));
    }

    private static Map<String, Object> readFields(JsonParser parser) throws IOException {
        Map<String, Object> fields = new HashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            fields.put(name, readValue(parser, parser.nextToken()));
        }
        return fields;
    }

    private static Object readValue(JsonParser parser, JsonToken token) throws IOException {
        switch (token) {
            case START_OBJECT:
                return readFields(parser);
            case START_ARRAY:
                return readElements(parser);
            case VALUE_STRING:
                return parser.getText();
            case VALUE_NUMBER_INT:
                return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? (Object) parser.getDoubleValue()
                        : (Object) parser.getLongValue();
            case VALUE_NUMBER_FLOAT:
                return parser.getDoubleValue();
            case VALUE_TRUE:
                return Boolean.TRUE;
            case VALUE_FALSE:
                return Boolean.FALSE;
            default:
                return null;
        }
    }

    private static List<Object> readElements(JsonParser parser) throws IOException {
        List<Object> elements = new ArrayList<>();
        for (JsonToken token = parser.nextToken(); token != JsonToken.END_ARRAY; token = parser.nextToken()) {
            elements.add(readValue(parser, token));
        }
        return elements;
    }

    /** The fields by name, for tests and reports that edit or list them. The map is live, not a copy. */
    public Map<String, Object> asMap() {
        return fields;
    }

    /** An exception that names a field of this object and says what is wrong with it. */
    public InvalidFieldException invalidField(String field, String problem) {
        return new InvalidFieldException("field '" + path + field + "' " + problem);
    }

    /** This object with a string for a field if that is absent; this object itself if {@code text} is null. */
    JsonObject withDefault(String field, String text) {
        if (has(field) || text == null) {
            return this;
        }
        Map<String, Object> extended = new HashMap<>(fields);
        extended.put(field, text);
        return new JsonObject(path, extended);
    }

    private <T> T get(String field, Class<T> type, T defaultValue, boolean isRequired) throws InvalidFieldException {
        Object value = fields.get(field);
        if (value == null && !isRequired) {
            return defaultValue;
        }
        if (value == null) {
            throw invalidField(field, "is missing");
        }
        if (!type.isInstance(value)) {
            throw invalidField(field, "has the wrong type");
        }
        return type.cast(value);
    }

    /** The prefix of field names in messages. */
    String path() {
        return path;
    }

    /** The value of a field, of any type; null if it is absent. */
    Object valueOrNull(String field) {
        return fields.get(field);
    }

    /** Whether a field is present with a value other than null. */
    public boolean has(String field) {
        return fields.get(field) != null;
    }

    /** A string. */
    public String string(String field) throws InvalidFieldException {
        return get(field, String.class, null, true);
    }

    /** A string; null if absent. */
    public String stringOrNull(String field) throws InvalidFieldException {
        return get(field, String.class, null, false);
    }

    /** An integer. */
    public long integer(String field) throws InvalidFieldException {
        return asInteger(field, get(field, Number.class, 0L, true));
    }

    /** An integer; the default if absent. */
    public long integerOr(String field, long defaultValue) throws InvalidFieldException {
        return asInteger(field, get(field, Number.class, defaultValue, false));
    }

    /** A number of any size; null if absent. */
    Double numberOrNull(String field) throws InvalidFieldException {
        Number number = get(field, Number.class, null, false);
        return number == null ? null : (Double) number.doubleValue();
    }

    /** Accepts an integer that is written with a fraction of zeros, such as {@code 5.0}. */
    private long asInteger(String field, Number number) throws InvalidFieldException {
        if (number.doubleValue() != number.longValue()) {
            throw invalidField(field, "is " + number + "; expected a 64-bit integer");
        }
        return number.longValue();
    }

    /** A number. */
    public double number(String field) throws InvalidFieldException {
        return get(field, Number.class, 0, true).doubleValue();
    }

    /** A number; the default if absent. */
    public double numberOr(String field, double defaultValue) throws InvalidFieldException {
        return get(field, Number.class, defaultValue, false).doubleValue();
    }

    /** A boolean. */
    public boolean flag(String field) throws InvalidFieldException {
        return get(field, Boolean.class, null, true);
    }

    /** A boolean; the default if absent. */
    public boolean flagOr(String field, boolean defaultValue) throws InvalidFieldException {
        return get(field, Boolean.class, defaultValue, false);
    }

    /** The elements of an array, of any types. */
    public List<?> list(String field) throws InvalidFieldException {
        return get(field, List.class, List.of(), true);
    }

    /** One element of an array, of any type; null if the field is no array or has no such element. */
    public Object elementOrNull(String field, int index) {
        return fields.get(field) instanceof List<?> list && index < list.size() ? list.get(index) : null;
    }

    /** Maps a string to the value that it stands for; an unknown string is an error. */
    public <T> T oneOf(String field, Map<String, T> values) throws InvalidFieldException {
        T value = values.get(string(field));
        if (value == null) {
            throw invalidField(
                    field,
                    "has the unknown value '" + string(field) + "'; expected one of " + new TreeSet<>(values.keySet()));
        }
        return value;
    }

    @SuppressWarnings("unchecked") // maps come from readFields alone, whose keys are strings
    private JsonObject asObject(Object value, String field) throws InvalidFieldException {
        if (!(value instanceof Map)) {
            throw invalidField(field, "has the wrong type");
        }
        return new JsonObject(path + field + ".", (Map<String, Object>) value);
    }

    /** A nested object. */
    public JsonObject object(String field) throws InvalidFieldException {
        return asObject(get(field, Map.class, null, true), field);
    }

    /** A nested object; an empty one if absent. */
    public JsonObject objectOrEmpty(String field) throws InvalidFieldException {
        return has(field) ? object(field) : new JsonObject(path + field + ".", Map.of());
    }

    /** The objects of an array; messages about their fields do not tell them apart. */
    public List<JsonObject> objects(String field) throws InvalidFieldException {
        List<JsonObject> objects = new ArrayList<>();
        for (Object value : list(field)) {
            objects.add(asObject(value, field));
        }
        return objects;
    }

    /** The objects of an array; messages about their fields contain the index. */
    List<JsonObject> indexedObjects(String field) throws InvalidFieldException {
        List<JsonObject> objects = new ArrayList<>();
        for (Object value : list(field)) {
            objects.add(asObject(value, field + "[" + objects.size() + "]"));
        }
        return objects;
    }

    /**
     * The values of a load report in the field {@code load}, NaN for each that is no number; null if there is none. An
     * empty report counts as none, since it must not be taken for the report of an idle engine.
     */
    public double[] loadReportOrNull() throws InvalidFieldException {
        List<?> values = has("load") ? list("load") : List.of();
        if (values.isEmpty()) {
            return null;
        }
        double[] report = new double[values.size()];
        for (int i = 0; i < report.length; i++) {
            report[i] = values.get(i) instanceof Number number ? number.doubleValue() : Double.NaN;
        }
        return report;
    }
}
