package sandpaddle.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.EngineKind;
import sandpaddle.decision.settings.LoadField;

/**
 * Maps the settings object of the platform, as both the simulator's first message and the real configuration contain
 * it. {@link RequestClassReader} and {@link PlatformRulesReader} map parts of it.
 *
 * <p>A value that cannot be used at all is an error that names its key. A value that is merely implausible is replaced
 * by the strictest one with which requests can be served, with a warning that names the key and the replacement, so
 * that the gateway starts nevertheless.
 */
public final class DecisionSettingsReader {
    private static final Map<String, LoadField> LOAD_FIELDS = Map.of(
            "outstanding",
            LoadField.IN_FLIGHT,
            "backlog",
            LoadField.QUEUED,
            "utilization",
            LoadField.UTILIZATION,
            "recent_ms",
            LoadField.LATENCY_MS,
            "throughput",
            LoadField.REQUESTS_PER_S,
            "errors_per_s",
            LoadField.ERRORS_PER_S,
            "x0",
            LoadField.MEMORY,
            "x1",
            LoadField.DISKS);
    private static final Set<LoadField> FIELDS_THAT_MEASURE_LOAD =
            Set.of(LoadField.IN_FLIGHT, LoadField.QUEUED, LoadField.UTILIZATION, LoadField.MEMORY, LoadField.DISKS);
    private static final String REPORTS_OFF = "off";
    private static final Map<String, Boolean> IS_INLINE_BY_REPORTS =
            Map.of("inline", true, "on_probe", false, REPORTS_OFF, false);
    private static final Map<String, Boolean> IS_SUBSCRIPTION_BY_DISCOVERY =
            Map.of("subscribe", true, "automatic", false);
    private static final double MIN_CORES = 0.01;
    private static final double MAX_ENGINE_SIZE = 1e9; // cores, or MB
    private static final double SHARE_SUM_TOLERANCE = 0.001; // shares may miss 1 by rounding
    private static final int NO_ZONE = -1;

    private final List<String> warnings;

    private DecisionSettingsReader(List<String> warnings) {
        this.warnings = warnings;
    }

    /**
     * Reads the settings.
     *
     * @param warnings receives a message for each implausible value, with the value that is used instead
     */
    public static DecisionSettings read(JsonObject settings, List<String> warnings) throws InvalidFieldException {
        return new DecisionSettingsReader(warnings).read(new LenientReader(settings, warnings));
    }

    private LenientReader lenient(JsonObject object) {
        return new LenientReader(object, warnings);
    }

    private DecisionSettings read(LenientReader settings) throws InvalidFieldException {
        JsonObject object = settings.object();
        JsonObject specifics = object.objectOrEmpty("specifics");
        PlatformNames names = PlatformNames.read(object);
        int gateways = settings.count("balancers", 1, "");
        int ownIndex = settings.count("me", 0, "");
        if (ownIndex >= gateways) {
            String problem = "is " + ownIndex + "; expected less than 'balancers' (" + gateways + ")";
            settings.warn("me", problem + ": read as given, with a traffic share of 1/" + gateways);
        }
        LenientReader report = lenient(object.objectOrEmpty("report"));
        checkTenantShares(settings);
        if (names.zones().isEmpty() && settings.has("failure_domains")) {
            settings.warn(
                    "failure_domains",
                    "is empty; expected the names of zones: each zone name in an endpoint list is treated as a "
                            + "separate zone");
        }
        return new DecisionSettings(
                gateways,
                ownIndex,
                ownZone(settings, names),
                settings.enumOr("discovery", IS_SUBSCRIPTION_BY_DISCOVERY, false, "changes are taken to come unasked"),
                new RequestClassReader(warnings, specifics, names).classes(object),
                engineKinds(names.engineKinds(), lenient(specifics), settings),
                loadReportFields(report),
                report.enumOr("how", IS_INLINE_BY_REPORTS, false, "answers are taken to hold no reports"),
                PlatformRulesReader.limits(lenient(object.object("bounds"))),
                PlatformRulesReader.rules(lenient(object.object("rules"))),
                PlatformRulesReader.engineFeatures(lenient(specifics)),
                PlatformRulesReader.costs(lenient(object.objectOrEmpty("charges"))));
    }

    /** The gateway's own zone; it only affects which engines are reported to other gateways as local. */
    private int ownZone(LenientReader settings, PlatformNames names) {
        Object value = settings.object().valueOrNull("zone");
        int zone = RequestClassReader.indexOf(value, names.zones());
        if (zone < 0 || zone >= names.zones().size() && !names.zones().isEmpty()) {
            if (value == null && names.zones().isEmpty()) {
                return NO_ZONE; // the platform has no zones
            }
            settings.warn("zone", (value == null ? "is missing" : "is " + value) + ": this gateway counts as in none");
            return NO_ZONE;
        }
        return zone;
    }

    /** Only warns: the platform counts the shares of tenants, and no decision depends on them. */
    private void checkTenantShares(LenientReader settings) {
        double sum = 0;
        int count = 0;
        if (settings.object().valueOrNull("tenants") instanceof List<?> tenants) {
            for (Object tenant : tenants) {
                if (tenant instanceof Map<?, ?> fields && fields.get("fraction") instanceof Number share) {
                    sum += share.doubleValue();
                    count++;
                }
            }
        }
        boolean addsUp = Math.abs(sum - 1) <= SHARE_SUM_TOLERANCE; // false for NaN
        if (count > 0 && !addsUp) {
            String problem = "have fractions that add up to " + LenientReader.format(sum);
            settings.warn("tenants", problem + ", not 1: decisions treat all tenants alike");
        }
    }

    private List<EngineKind> engineKinds(List<String> names, LenientReader specifics, LenientReader settings)
            throws InvalidFieldException {
        if (names.isEmpty() && settings.has("models")) {
            settings.warn(
                    "models",
                    "is empty; expected the names of engine kinds: engines count by their position and rating");
        }
        List<EngineKind> kinds = new ArrayList<>();
        while (kinds.size() < names.size() || specifics.object().elementOrNull("size_cores", kinds.size()) != null) {
            int index = kinds.size();
            double cores = sizeOrZero(specifics, "size_cores", index, MIN_CORES);
            double memoryMb = sizeOrZero(specifics, "kind_memory_mb", index, 0);
            kinds.add(new EngineKind(cores, memoryMb));
        }
        return kinds;
    }

    /** A size of an engine kind; 0 if it is not given, so that the endpoint list's rating counts instead. */
    private double sizeOrZero(LenientReader specifics, String field, int index, double min)
            throws InvalidFieldException {
        String key = field + "[" + index + "]";
        if (!(specifics.object().elementOrNull(field, index) instanceof Number size) || size.doubleValue() == 0) {
            return 0;
        }
        LenientReader element = lenient(new JsonObject(specifics.object().path(), Map.of(key, size)));
        return size.doubleValue() < 0
                ? element.number(key, 0, LenientReader.MAX_FACTOR, "as if it were missing")
                : element.number(key, min, MAX_ENGINE_SIZE, "");
    }

    /** The values of a load report in order, null for an unknown one; empty if none of them measures load. */
    private static List<LoadField> loadReportFields(LenientReader report) throws InvalidFieldException {
        List<LoadField> fields = new ArrayList<>();
        for (Object name : report.has("fields") ? report.object().list("fields") : List.of()) {
            LoadField field = LOAD_FIELDS.get(String.valueOf(name));
            if (field == null) {
                report.warn(
                        "fields",
                        "has the unknown value '" + name + "'; expected one of " + new TreeSet<>(LOAD_FIELDS.keySet())
                                + ": this value of load reports is ignored");
            }
            fields.add(field);
        }
        if (fields.stream().noneMatch(field -> field != null && FIELDS_THAT_MEASURE_LOAD.contains(field))) {
            if (!REPORTS_OFF.equals(report.object().stringOrNull("how"))) {
                report.warn("fields", "names nothing that tells of load: reports are not heeded");
            }
            return List.of(); // a report without a measure of load must not be taken for an idle engine's
        }
        return fields;
    }
}
