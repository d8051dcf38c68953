package sandpaddle.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Names from the platform's settings for things that the decision module identifies by index: the index of a name is
 * the index of the thing.
 *
 * @param requestClasses {@code settings.classes[].name}, empty for a class without a name
 * @param zones {@code settings.failure_domains}
 * @param engineKinds {@code settings.models}
 * @param loadReportFields {@code settings.report.fields}, in the order of the values of a load report
 */
public record PlatformNames(
        List<String> requestClasses, List<String> zones, List<String> engineKinds, List<String> loadReportFields) {
    static PlatformNames read(JsonObject settings) throws InvalidFieldException {
        List<String> requestClasses = new ArrayList<>();
        for (JsonObject requestClass : settings.indexedObjects("classes")) {
            requestClasses.add(requestClass.has("name") ? requestClass.string("name") : "");
        }
        return new PlatformNames(
                requestClasses,
                stringsOrEmpty(settings, "failure_domains"),
                stringsOrEmpty(settings, "models"),
                stringsOrEmpty(settings.objectOrEmpty("report"), "fields"));
    }

    private static List<String> stringsOrEmpty(JsonObject object, String field) throws InvalidFieldException {
        return object.has(field)
                ? object.list(field).stream().map(String::valueOf).toList()
                : List.of();
    }
}
