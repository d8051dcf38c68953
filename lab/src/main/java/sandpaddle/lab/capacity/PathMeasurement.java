package sandpaddle.lab.capacity;

import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.apache.commons.math3.stat.StatUtils;

/**
 * One point of a request path measurement.
 *
 * @param version version of the measured code
 * @param kind what was measured
 * @param sizes value of each varied size, by field name
 * @param repeats measured value of each repeat
 */
record PathMeasurement(
        String version, String kind, SortedMap<String, Double> sizes, String unit, List<Double> repeats) {
    private static final double MEDIAN = 50;

    static PathMeasurement of(
            String version, String kind, Map<String, Double> sizes, String unit, List<Double> repeats) {
        return new PathMeasurement(version, kind, new TreeMap<>(sizes), unit, List.copyOf(repeats));
    }

    /** The median of the repeats. */
    double value() {
        return StatUtils.percentile(
                repeats.stream().mapToDouble(Double::doubleValue).toArray(), MEDIAN);
    }

    /** The file name, derived from kind and sizes, so that a later run replaces the point. */
    String fileName() {
        String sizeSuffix = sizes.entrySet().stream()
                .map(e -> String.format("-%s-%.0f", e.getKey(), e.getValue()))
                .collect(Collectors.joining());
        return "path-" + kind + sizeSuffix + ".json";
    }

    /** Writes the point as a JSON file into a folder, which is created if missing. */
    Path write(Path folder) throws IOException {
        Files.createDirectories(folder);
        Path file = folder.resolve(fileName());
        try (JsonGenerator json = new JsonFactory().createGenerator(file.toFile(), JsonEncoding.UTF8)) {
            json.setPrettyPrinter(new DefaultPrettyPrinter());
            json.writeStartObject();
            json.writeStringField("version", version);
            json.writeStringField("kind", kind);
            json.writeObjectFieldStart("sizes");
            for (Map.Entry<String, Double> size : sizes.entrySet()) {
                json.writeNumberField(size.getKey(), size.getValue());
            }
            json.writeEndObject();
            json.writeNumberField("value", value());
            json.writeStringField("unit", unit);
            json.writeArrayFieldStart("repeats");
            for (double repeat : repeats) {
                json.writeNumber(repeat);
            }
            json.writeEndArray();
            json.writeEndObject();
        }
        Files.writeString(file, Files.readString(file) + "\n");
        return file;
    }
}
