package sandpaddle.config;

import java.util.ArrayList;
import java.util.List;

/** What the settings call things that the module knows by their position. */
public record Names(List<String> routes, List<String> zones, List<String> kinds, List<String> reportFields) {
    static Names read(Row settings) throws FieldException {
        List<String> routes = new ArrayList<>();
        for (Row c : settings.rows("classes")) {
            routes.add(c.text("name"));
        }
        return new Names(routes, textsOr(settings, "failure_domains"), textsOr(settings, "models"),
                texts(settings.row("report"), "fields"));
    }

    private static List<String> textsOr(Row row, String field) throws FieldException {
        return row.has(field) ? texts(row, field) : List.of();
    }

    private static List<String> texts(Row row, String field) throws FieldException {
        return row.list(field).stream().map(String::valueOf).toList();
    }
}
