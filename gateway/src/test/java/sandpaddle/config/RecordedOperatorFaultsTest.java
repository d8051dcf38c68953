package sandpaddle.config;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sandpaddle.config.SchemaProperties.Key;
import sandpaddle.recorded.RecordedFile;

/** The messages of {@code check} for valid and invalid values of each key of the operator's file are unchanged. */
class RecordedOperatorFaultsTest {
    private static final List<String> VALUES_OF_EACH_TYPE =
            List.of("null", "[]", "{}", "true", "1.5", "-1", "1e300", "\"x\"");

    private static Set<String> values(Key key) {
        Set<String> values = new LinkedHashSet<>(VALUES_OF_EACH_TYPE);
        if (key.schema().containsKey("default")) {
            values.add(SchemaProperties.toJson(key.schema().get("default").value()));
        }
        for (String bound : List.of("minimum", "maximum")) {
            if (key.schema().containsKey(bound)) {
                long number = (long) SchemaProperties.number(key, bound);
                values.addAll(List.of(Long.toString(number), Long.toString(number - 1), Long.toString(number + 1)));
            }
        }
        return values;
    }

    @Test
    void messagesEqualTheRecordedOnes() {
        SchemaValidator validator = new SchemaValidator();
        List<String> lines = new ArrayList<>();
        for (Key key : SchemaProperties.KEYS) {
            for (String name : List.of(key.path(), key.path() + "x")) {
                for (String value : values(key)) {
                    String text = SchemaProperties.nest(name.split("\\."), value);
                    List<String> messages = validator
                            .validate("f", text.getBytes(StandardCharsets.UTF_8))
                            .messages();
                    lines.add(name + " = " + value + ": " + String.join(" | ", messages));
                }
            }
        }
        assertTrue(SchemaProperties.KEYS.size() > 80, "keys " + SchemaProperties.KEYS.size());
        new RecordedFile("operator-file-faults.txt").check(lines);
    }
}
