package sandpaddle.lab.scale;

import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Writes a map as a JSON file. Values are maps, lists, numbers, strings or null. */
final class JsonFile {
    private JsonFile() {}

    static void write(Path file, Map<String, Object> values) throws IOException {
        try (JsonGenerator json = new JsonFactory().createGenerator(file.toFile(), JsonEncoding.UTF8)) {
            json.setPrettyPrinter(new DefaultPrettyPrinter());
            writeValue(json, values);
        }
    }

    private static void writeValue(JsonGenerator json, Object value) throws IOException {
        if (value instanceof Map<?, ?> map) {
            json.writeStartObject();
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                json.writeFieldName(entry.getKey().toString());
                writeValue(json, entry.getValue());
            }
            json.writeEndObject();
        } else if (value instanceof List<?> list) {
            json.writeStartArray();
            for (Object element : list) {
                writeValue(json, element);
            }
            json.writeEndArray();
        } else if (value instanceof Double decimal) {
            json.writeNumber(decimal);
        } else if (value instanceof Number number) {
            json.writeNumber(number.longValue());
        } else if (value == null) {
            json.writeNull();
        } else {
            json.writeString(value.toString());
        }
    }
}
