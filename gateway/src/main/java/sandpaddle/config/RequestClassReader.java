package sandpaddle.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import sandpaddle.decision.settings.DeduplicationScope;
import sandpaddle.decision.settings.Idempotency;
import sandpaddle.decision.settings.RequestClass;

/** Maps the request classes of the platform's settings: their times, idempotency and placement. */
final class RequestClassReader {
    private static final Map<String, DeduplicationScope> SCOPES =
            Map.of("all", DeduplicationScope.ALL, "zone", DeduplicationScope.ZONE, "cell", DeduplicationScope.CELL);
    private static final Map<String, Idempotency> IDEMPOTENCY_BY_EFFECT =
            Map.of("safe", Idempotency.IDEMPOTENT, "keyed", Idempotency.WITH_KEY, "unsafe", Idempotency.NOT_IDEMPOTENT);
    private static final int DEADLINE_PER_OBJECTIVE = 10; // for a class with a stretch but without a latency objective
    private static final int NO_INDEX = -1;

    private final List<String> warnings;
    private final JsonObject specifics;
    private final PlatformNames names;

    /**
     * Creates a reader.
     *
     * @param warnings receives a message for each implausible value
     * @param specifics the settings' object of deployment details, whose arrays are indexed by class
     * @param names names of zones and engine kinds, which placements refer to
     */
    RequestClassReader(List<String> warnings, JsonObject specifics, PlatformNames names) {
        this.warnings = warnings;
        this.specifics = specifics;
        this.names = names;
    }

    /** All classes in the order of the settings; requests refer to them by index. */
    List<RequestClass> classes(JsonObject settings) throws InvalidFieldException {
        List<RequestClass> classes = new ArrayList<>();
        Set<String> seenNames = new HashSet<>();
        for (JsonObject object : settings.indexedObjects("classes")) {
            LenientReader fields = new LenientReader(object, warnings);
            if (fields.has("name") && !seenNames.add(object.string("name"))) {
                fields.warn(
                        "name",
                        "is '" + object.string("name") + "', which an earlier class has; expected a unique name: no "
                                + "query can select this class");
            }
            classes.add(requestClass(fields, classes.size()));
        }
        return classes;
    }

    private RequestClass requestClass(LenientReader fields, int index) throws InvalidFieldException {
        long deadlineUs = fields.micros("hard_limit_us");
        if (deadlineUs == 0) {
            throw fields.object().invalidField("hard_limit_us", "is not above 0");
        }
        double objectiveStretch = fields.numberOr("aim_stretch", 0, 0, LenientReader.MAX_FACTOR, "");
        double priorityWeight = priorityWeight(fields);
        Idempotency effect = fields.object().oneOf("effect", IDEMPOTENCY_BY_EFFECT);
        DeduplicationScope scope = scopeOrNull(fields);
        long windowUs = fields.microsOr("window_us", 0);
        Idempotency idempotency = checkedIdempotency(fields, effect, scope, windowUs);
        return new RequestClass(
                latencyObjectiveUs(fields, objectiveStretch, deadlineUs),
                objectiveStretch,
                deadlineUs,
                priorityWeight,
                fields.numberOr("late_worth", 0, 0, 1, ""),
                idempotency,
                scope == null ? DeduplicationScope.CELL : scope,
                windowUs,
                fields.object().flagOr("by_arrival", false),
                fields.object().flagOr("stream", false),
                threads(index),
                isSet("class_load", index),
                isSet("class_waits", index),
                placement(fields, "allowed_on", "models", names.engineKinds()),
                placement(fields, "failure_domains_allowed", "failure_domains", names.zones()));
    }

    private static double priorityWeight(LenientReader fields) throws InvalidFieldException {
        double weight = fields.numberOr("value", 1, 0, LenientReader.MAX_FACTOR, "");
        if (weight == 0) {
            fields.warn("value", "is 0: requests of this class have no priority weight, but are still served");
        } else if (!fields.has("value")) {
            fields.warn("value", "is missing: read as 1");
        }
        return weight;
    }

    /** Null if the settings name an unknown scope. */
    private static DeduplicationScope scopeOrNull(LenientReader fields) throws InvalidFieldException {
        return fields.has("key_scope") ? SCOPES.get(fields.object().string("key_scope")) : DeduplicationScope.ALL;
    }

    /** Requests with a key count as not idempotent if the scope in which engines drop repeats is unknown. */
    private static Idempotency checkedIdempotency(
            LenientReader fields, Idempotency effect, DeduplicationScope scope, long windowUs)
            throws InvalidFieldException {
        if (effect != Idempotency.WITH_KEY) {
            return effect;
        }
        if (scope == null) {
            fields.warn(
                    "key_scope",
                    "has the unknown value '" + fields.object().string("key_scope") + "'; expected one of "
                            + new TreeSet<>(SCOPES.keySet())
                            + ": requests that may have run are not retried, as with the effect 'unsafe'");
            return Idempotency.NOT_IDEMPOTENT;
        }
        if (windowUs == 0) {
            fields.warn("window_us", "is 0 or missing: what may have run is not sent again");
        }
        return effect;
    }

    /**
     * The latency objective (us), from 1 to the deadline: it stands in for the usual latency of the class until answers
     * yield an estimate. Without an objective every answer before the deadline has the same value.
     */
    private static long latencyObjectiveUs(LenientReader fields, double objectiveStretch, long deadlineUs)
            throws InvalidFieldException {
        long objectiveUs = fields.microsOr("aim_us", 0);
        if (objectiveUs == 0 && objectiveStretch > 0) {
            fields.warn("aim_us", "is 0 or missing beside a stretch: read as a tenth of the deadline");
            return Math.max(1, deadlineUs / DEADLINE_PER_OBJECTIVE);
        }
        if (objectiveUs == 0) {
            fields.warn(
                    "aim_us",
                    "is 0 or missing; expected above 0: read as 'hard_limit_us', since no answer can meet it and all "
                            + "answers before the deadline count alike");
            return deadlineUs;
        }
        if (objectiveUs > deadlineUs) {
            fields.warn(
                    "aim_us",
                    "is above 'hard_limit_us': read as 'hard_limit_us', so every answer before the deadline meets the "
                            + "latency objective");
        }
        return Math.min(objectiveUs, deadlineUs);
    }

    private boolean isSet(String field, int index) {
        return Boolean.TRUE.equals(specifics.elementOrNull(field, index));
    }

    private int threads(int index) throws InvalidFieldException {
        if (!(specifics.elementOrNull("class_threads", index) instanceof Number threads)) {
            return 1;
        }
        String key = "class_threads[" + index + "]";
        LenientReader element = new LenientReader(new JsonObject(specifics.path(), Map.of(key, threads)), warnings);
        return (int) element.number(key, 1, LenientReader.MAX_FACTOR, "");
    }

    /** Indices of engine kinds or zones, which the settings give by index or name; null if any will do. */
    private static List<Integer> placement(LenientReader fields, String field, String namesField, List<String> names)
            throws InvalidFieldException {
        if (!fields.has(field)) {
            return null;
        }
        List<Integer> indices = new ArrayList<>();
        for (Object allowed : fields.object().list(field)) {
            int index = indexOf(allowed, names);
            if (index >= 0) {
                indices.add(index);
            }
            if (index < 0 || index >= names.size()) {
                String problem =
                        "names " + allowed + ", which is not in '" + namesField + "': no engine is known to be of it";
                fields.warn(field, problem);
            }
        }
        if (indices.isEmpty()) {
            fields.warn(field, "permits no engine kind or zone: requests of this class are refused");
        }
        return indices;
    }

    /** The index that a value gives as such or by a name; negative if it gives none. */
    static int indexOf(Object value, List<String> names) {
        if (value instanceof Number number) {
            double index = number.doubleValue();
            boolean isIndex = index == Math.rint(index) && index >= 0 && index <= Integer.MAX_VALUE;
            return isIndex ? (int) index : NO_INDEX;
        }
        return value == null ? NO_INDEX : names.indexOf(String.valueOf(value));
    }
}
