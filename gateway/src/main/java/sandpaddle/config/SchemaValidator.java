package sandpaddle.config;

import dev.harrel.jsonschema.Dialects;
import dev.harrel.jsonschema.Error;
import dev.harrel.jsonschema.JsonNode;
import dev.harrel.jsonschema.JsonNodeFactory;
import dev.harrel.jsonschema.SimpleType;
import dev.harrel.jsonschema.Validator;
import dev.harrel.jsonschema.ValidatorFactory;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Validates the operator's file against its JSON Schema, with a library that only the command {@code check} loads.
 * {@link OperatorFile}, which {@code serve} uses, enforces the same bounds and more; a test compares the two.
 */
public final class SchemaValidator {
    private final Validator validator;
    private final URI schema;

    /** Loads the schema from the jar. */
    public SchemaValidator() {
        validator = new ValidatorFactory()
                .withDefaultDialect(new Dialects.Draft2020Dialect())
                .withJsonNodeFactory(new Nodes())
                .createValidator();
        try (InputStream in = SchemaValidator.class.getResourceAsStream("/" + OperatorFile.SCHEMA)) {
            schema = validator.registerSchema(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException("the schema is not in the jar", e);
        }
    }

    /** Whether the schema alone accepts a text. */
    boolean accepts(String text) {
        return validator.validate(schema, new Nodes().create(text)).isValid();
    }

    /**
     * Validates a text as {@code serve} reads it, then against the schema. Errors of the schema are added only where
     * {@link OperatorFile} has found none, since its messages say what is allowed.
     *
     * @param file the name that messages show
     */
    public ValidationErrors validate(String file, byte[] text) {
        ValidationErrors errors = new ValidationErrors(file);
        try {
            OperatorFile.parse(text, errors);
        } catch (OperatorFile.InvalidFileException e) {
            // errors holds them already
        }
        LocatedJson document = LocatedJson.parse(text, new ValidationErrors(file));
        if (document != null) {
            Set<String> reportedPaths = errors.sorted().stream()
                    .map(ValidationErrors.ValidationError::path)
                    .collect(Collectors.toSet());
            for (Error error :
                    validator.validate(schema, new Node(document, "")).getErrors()) {
                addUnlessReported(document, error, reportedPaths, errors);
            }
        }
        return errors;
    }

    private static void addUnlessReported(
            LocatedJson document, Error error, Set<String> reportedPaths, ValidationErrors errors) {
        StringBuilder path = new StringBuilder();
        LocatedJson location = document;
        for (String step : error.getInstanceLocation().split("/")) {
            if (step.isEmpty() || location == null) {
                continue;
            }
            String key = step.replace("~1", "/").replace("~0", "~");
            boolean isList = location.value() instanceof List;
            location = childOrNull(location, key);
            path.append(isList ? "[" + key + "]" : path.length() == 0 ? key : "." + key);
        }
        if (location != null && reportedPaths.stream().noneMatch(reported -> reported.startsWith(path.toString()))) {
            String allowed = "by the schema: " + error.getError();
            errors.add(location.line(), location.column(), path.toString(), location.describe(), allowed);
        }
    }

    private static LocatedJson childOrNull(LocatedJson parent, String key) {
        if (parent.value() instanceof Map<?, ?> members) {
            return (LocatedJson) members.get(key);
        }
        return parent.value() instanceof List<?> list ? (LocatedJson) list.get(Integer.parseInt(key)) : null;
    }

    /** Lets the library read documents through {@link LocatedJson}. */
    private static final class Nodes implements JsonNodeFactory {
        @Override
        public JsonNode wrap(Object value) {
            return value instanceof JsonNode node ? node : new Node((LocatedJson) value, "");
        }

        @Override
        public JsonNode create(String text) {
            ValidationErrors errors = new ValidationErrors("schema");
            LocatedJson document = LocatedJson.parse(text.getBytes(StandardCharsets.UTF_8), errors);
            if (!errors.isEmpty()) {
                throw new IllegalArgumentException(String.join("; ", errors.messages()));
            }
            return new Node(document, "");
        }
    }

    /** Adapts a {@link LocatedJson} to the library's interface. */
    private record Node(LocatedJson json, String pointer) implements JsonNode {
        @Override
        public String getJsonPointer() {
            return pointer;
        }

        @Override
        public SimpleType getNodeType() {
            Object value = json.value();
            if (value == null) {
                return SimpleType.NULL;
            } else if (value instanceof Boolean) {
                return SimpleType.BOOLEAN;
            } else if (value instanceof String) {
                return SimpleType.STRING;
            } else if (value instanceof Long
                    || value instanceof Double number && number == Math.rint(number) && !Double.isInfinite(number)) {
                return SimpleType.INTEGER;
            } else if (value instanceof Double) {
                return SimpleType.NUMBER;
            }
            return value instanceof List ? SimpleType.ARRAY : SimpleType.OBJECT;
        }

        @Override
        public boolean asBoolean() {
            return (Boolean) json.value();
        }

        @Override
        public String asString() {
            return String.valueOf(json.value());
        }

        @Override
        public BigInteger asInteger() {
            return asNumber().toBigInteger();
        }

        @Override
        public BigDecimal asNumber() {
            return json.value() instanceof Long integer
                    ? BigDecimal.valueOf(integer)
                    : new BigDecimal((Double) json.value());
        }

        @Override
        public List<JsonNode> asArray() {
            List<JsonNode> list = new ArrayList<>();
            for (Object element : (List<?>) json.value()) {
                list.add(new Node((LocatedJson) element, pointer + "/" + list.size()));
            }
            return list;
        }

        @Override
        public Map<String, JsonNode> asObject() {
            Map<String, JsonNode> members = new LinkedHashMap<>();
            ((Map<?, ?>) json.value()).forEach((key, member) -> {
                String name = (String) key;
                String memberPointer = pointer + "/" + JsonNode.encodeJsonPointer(name);
                members.put(name, new Node((LocatedJson) member, memberPointer));
            });
            return members;
        }
    }
}
