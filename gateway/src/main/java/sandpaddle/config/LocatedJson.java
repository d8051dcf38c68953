package sandpaddle.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON value with its position in the text, so that validation errors can name line and column. Bounded: {@value
 * #MAX_BYTES} bytes, {@value #MAX_DEPTH} levels. A key that occurs twice in one object is an error, since one of the
 * two values would be lost without a message.
 *
 * @param value a {@code Map<String, LocatedJson>}, a {@code List<LocatedJson>}, a string, a {@code Long}, a {@code
 *     Double} (also for integers beyond 64 bits), a {@code Boolean}, or null
 * @param line of the value's first character, from 1
 * @param column of the value's first character, from 1
 */
public record LocatedJson(Object value, int line, int column) {
    static final int MAX_BYTES = 1024 * 1024;
    static final int MAX_DEPTH = 32;
    private static final int MAX_DESCRIPTION_CHARS = 60;
    private static final String ELLIPSIS = "...";
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
            .build();

    /** Parses a text; null, with the errors added, if it is not one JSON object. */
    public static LocatedJson parse(byte[] text, ValidationErrors errors) {
        if (text.length > MAX_BYTES) {
            errors.add(1, 1, "", text.length + " bytes", "a file of at most " + MAX_BYTES + " bytes");
            return null;
        }
        try (JsonParser parser = FACTORY.createParser(text)) {
            return parseDocument(parser, errors);
        } catch (JsonProcessingException e) {
            JsonLocation location = e.getLocation();
            int line = location == null ? 1 : location.getLineNr();
            int column = location == null ? 1 : location.getColumnNr();
            errors.add(line, column, "", e.getOriginalMessage(), "JSON");
            return null;
        } catch (IOException e) {
            throw new UncheckedIOException("reading from memory failed", e);
        }
    }

    private static LocatedJson parseDocument(JsonParser parser, ValidationErrors errors) throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            errors.add(1, 1, "", "no object", "one JSON object");
            return null;
        }
        LocatedJson document = read(parser, "", errors);
        if (parser.nextToken() != null) {
            JsonLocation location = parser.currentTokenLocation();
            errors.add(location.getLineNr(), location.getColumnNr(), "", "more after the object", "one JSON object");
            return null;
        }
        return document;
    }

    private static LocatedJson read(JsonParser parser, String path, ValidationErrors errors) throws IOException {
        JsonLocation location = parser.currentTokenLocation();
        return new LocatedJson(readValue(parser, path, errors), location.getLineNr(), location.getColumnNr());
    }

    private static Object readValue(JsonParser parser, String path, ValidationErrors errors) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT:
                return readMembers(parser, path, errors);
            case START_ARRAY:
                return readElements(parser, path, errors);
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

    private static List<LocatedJson> readElements(JsonParser parser, String path, ValidationErrors errors)
            throws IOException {
        List<LocatedJson> elements = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            elements.add(read(parser, path + "[" + elements.size() + "]", errors));
        }
        return elements;
    }

    private static Map<String, LocatedJson> readMembers(JsonParser parser, String path, ValidationErrors errors)
            throws IOException {
        Map<String, LocatedJson> members = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String key = parser.currentName();
            String memberPath = ValidationErrors.joinPath(path, key);
            JsonLocation location = parser.currentTokenLocation();
            parser.nextToken();
            if (members.put(key, read(parser, memberPath, errors)) != null) {
                errors.add(location.getLineNr(), location.getColumnNr(), memberPath, "a second time", "each key once");
            }
        }
        return members;
    }

    /** The value as it appears in a message, cut to {@value #MAX_DESCRIPTION_CHARS} characters. */
    String describe() {
        if (value instanceof Map) {
            return "an object";
        } else if (value instanceof List) {
            return "a list";
        }
        String text = value instanceof String string ? "\"" + string + "\"" : String.valueOf(value);
        return text.length() > MAX_DESCRIPTION_CHARS
                ? text.substring(0, MAX_DESCRIPTION_CHARS - ELLIPSIS.length()) + ELLIPSIS
                : text;
    }
}
