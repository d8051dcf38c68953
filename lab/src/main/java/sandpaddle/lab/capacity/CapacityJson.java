package sandpaddle.lab.capacity;

import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.OptionalDouble;

/** Writes a {@link CapacityReport} as JSON. */
final class CapacityJson {
    private final JsonGenerator json;

    private CapacityJson(JsonGenerator json) {
        this.json = json;
    }

    static void write(CapacityReport report, Path file) throws IOException {
        try (JsonGenerator json = new JsonFactory().createGenerator(file.toFile(), JsonEncoding.UTF8)) {
            json.setPrettyPrinter(new DefaultPrettyPrinter());
            new CapacityJson(json).report(report);
        }
    }

    private void report(CapacityReport report) throws IOException {
        json.writeStartObject();
        json.writeArrayFieldStart("rows");
        for (ProjectionRow row : report.rows()) {
            row(row);
        }
        json.writeEndArray();
        json.writeArrayFieldStart("predictions");
        for (Prediction prediction : report.predictions()) {
            prediction(prediction);
        }
        json.writeEndArray();
        json.writeArrayFieldStart("noGround");
        for (CapacityReport.MissingProjection missing : report.missingProjections()) {
            json.writeStartObject();
            series(missing.series());
            json.writeStringField("reason", missing.reason());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    private void series(SeriesName series) throws IOException {
        json.writeStringField("mechanism", series.mechanism());
        json.writeStringField("role", series.role());
        json.writeStringField("measure", series.measure());
    }

    private void row(ProjectionRow row) throws IOException {
        json.writeStartObject();
        json.writeStringField("role", row.role());
        json.writeStringField("measure", row.measure());
        json.writeStringField("unit", row.unit());
        json.writeStringField("form", row.form());
        json.writeBooleanField("formHolds", row.formHolds());
        number("projected", OptionalDouble.of(row.projected()));
        number("low", row.low());
        number("high", row.high());
        number("budget", row.budget());
        number("ratio", row.ratio());
        json.writeStringField("mechanism", row.mechanism());
        json.writeStringField("ground", row.basis().text());
        json.writeStringField("note", row.note());
        json.writeEndObject();
    }

    private void prediction(Prediction prediction) throws IOException {
        json.writeStartObject();
        series(prediction.series());
        json.writeStringField("form", prediction.form().toString());
        json.writeStringField("axis", prediction.axis().field());
        json.writeObjectFieldStart("sizes");
        for (Map.Entry<Axis, Double> size : new java.util.TreeMap<>(prediction.sizes()).entrySet()) {
            json.writeNumberField(size.getKey().field(), size.getValue());
        }
        json.writeEndObject();
        json.writeNumberField("predicted", prediction.predicted());
        json.writeNumberField("measured", prediction.measured());
        json.writeNumberField("error", prediction.error());
        json.writeBooleanField("holds", prediction.holds());
        json.writeEndObject();
    }

    private void number(String name, OptionalDouble value) throws IOException {
        if (value.isPresent() && Double.isFinite(value.getAsDouble())) {
            json.writeNumberField(name, value.getAsDouble());
        } else {
            json.writeNullField(name);
        }
    }
}
