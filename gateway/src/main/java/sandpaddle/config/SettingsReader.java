package sandpaddle.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sandpaddle.decide.Gateway;

/**
 * The settings object, as the simulator's first message and the real configuration hold it. What no reading can serve
 * is a fault that names its key. What merely looks wrong is read in the strictest way that still serves, with a warning
 * that names the key and that reading: a gateway that does not start serves nobody.
 */
public final class SettingsReader {
    private static final Map<String, Gateway.Field> FIELDS = Map.of(
            "outstanding", Gateway.Field.INFLIGHT, "backlog", Gateway.Field.QUEUE,
            "utilization", Gateway.Field.UTIL, "recent_ms", Gateway.Field.LATENCY_MS,
            "throughput", Gateway.Field.QPS, "errors_per_s", Gateway.Field.ERRORS_PER_S,
            "x0", Gateway.Field.MEMORY, "x1", Gateway.Field.DISKS);
    private static final Set<Gateway.Field> OF_LOAD = Set.of(Gateway.Field.INFLIGHT, Gateway.Field.QUEUE,
            Gateway.Field.UTIL, Gateway.Field.MEMORY, Gateway.Field.DISKS);
    private static final Map<String, Gateway.Scope> SCOPES = Map.of("all", Gateway.Scope.ALL, "zone",
            Gateway.Scope.ZONE, "cell", Gateway.Scope.CELL);
    private static final Map<String, Gateway.Effect> EFFECTS = Map.of("safe", Gateway.Effect.SAFE, "keyed",
            Gateway.Effect.KEYED, "unsafe", Gateway.Effect.UNSAFE);
    private static final Map<String, Boolean> REPORTS = Map.of("inline", true, "on_probe", false, "off", false);
    private static final Map<String, Boolean> DISCOVERY = Map.of("subscribe", true, "automatic", false);
    private static final double CORES_LEAST = 0.01;
    private static final double RETRY_MOST_US = 60e6; // of advice: a calendar has a place for each moment of it
    private static final double BUDGET_MOST_US = 600e6; // a time is kept for each request of the span
    private static final double ADDS_UP = 0.001; // shares may miss 1 by rounding
    private static final int AIM_PART = 10; // of the deadline: the aim where only a stretch is told

    private final List<String> warnings;

    private SettingsReader(List<String> warnings) {
        this.warnings = warnings;
    }

    /** The settings; {@code warnings} gets a line for each key that looks wrong, with how it is read. */
    public static Gateway.Settings read(Row settings, List<String> warnings) throws FieldException {
        return new SettingsReader(warnings).settings(new Lenient(settings, warnings));
    }

    private Lenient within(Row row) {
        return new Lenient(row, warnings);
    }

    private Gateway.Settings settings(Lenient s) throws FieldException {
        Row facts = s.row().rowOr("specifics");
        Names names = Names.read(s.row());
        int gateways = s.count("balancers", 1, "this one");
        int me = s.count("me", 0, "the first");
        if (me >= gateways) {
            s.warn("me", "is " + me + " of " + gateways + ": its share of the traffic stays one of " + gateways);
        }
        Lenient report = within(s.row().rowOr("report"));
        tenants(s);
        if (names.zones().isEmpty() && s.has("failure_domains")) {
            s.warn("failure_domains", "is empty: each zone that a list names counts as one of its own");
        }
        return new Gateway.Settings(gateways, me, zone(s, names),
                s.wordOr("discovery", DISCOVERY, false, "changes are taken to come unasked"), classes(s, facts, names),
                kinds(names.kinds(), within(facts), s), reportFields(report),
                report.wordOr("how", REPORTS, false, "answers are taken to hold no reports"),
                limits(within(s.row().row("bounds"))), rules(within(s.row().row("rules"))), terms(within(facts)),
                charges(within(s.row().rowOr("charges"))));
    }

    /** Nothing is decided by the gateway's own zone but which engines other gateways are told to be near. */
    private int zone(Lenient s, Names names) throws FieldException {
        Object told = s.row().value("zone");
        int zone = place(told, names.zones());
        if (zone < 0 || zone >= names.zones().size() && !names.zones().isEmpty()) {
            if (told == null && names.zones().isEmpty()) {
                return -1; // there are none
            }
            s.warn("zone", (told == null ? "is missing" : "is " + told) + ": this gateway counts as in none");
            return -1;
        }
        return zone;
    }

    /** Shares of tenants are for the platform to count; decisions go by none of them. */
    private void tenants(Lenient s) {
        double sum = 0;
        int told = 0;
        if (s.row().value("tenants") instanceof List<?> tenants) {
            for (Object t : tenants) {
                if (t instanceof Map<?, ?> m && m.get("fraction") instanceof Number n) {
                    sum += n.doubleValue();
                    told++;
                }
            }
        }
        if (told > 0 && !(Math.abs(sum - 1) <= ADDS_UP)) {
            s.warn("tenants", "have fractions that add up to " + Lenient.shown(sum)
                    + ", not 1: decisions treat all tenants alike");
        }
    }

    // ---- Classes.

    private List<Gateway.RequestClass> classes(Lenient s, Row facts, Names names) throws FieldException {
        List<Gateway.RequestClass> list = new ArrayList<>();
        Set<String> met = new HashSet<>();
        for (Row row : s.row().numbered("classes")) {
            int i = list.size();
            Lenient c = within(row);
            if (c.has("name") && !met.add(row.text("name"))) {
                c.warn("name", "is '" + row.text("name") + "' a second time: no query can name this class");
            }
            list.add(cls(c, i, facts, names));
        }
        return list;
    }

    private Gateway.RequestClass cls(Lenient c, int i, Row facts, Names names) throws FieldException {
        long limit = c.us("hard_limit_us");
        if (limit == 0) {
            throw c.row().wrong("hard_limit_us", "is not above 0");
        }
        double stretch = c.numberOr("aim_stretch", 0, 0, Lenient.MOST, "");
        double worth = c.numberOr("value", 1, 0, Lenient.MOST, "");
        if (!c.has("value") || worth == 0) {
            c.warn("value", worth == 0 ? "is 0: its answers earn nothing, and it is served all the same"
                    : "is missing: read as 1");
        }
        Gateway.Effect effect = c.row().oneOf("effect", EFFECTS);
        Gateway.Scope scope = scope(c);
        long window = c.usOr("window_us", 0);
        if (scope == null && effect == Gateway.Effect.KEYED) {
            c.warn("key_scope", "has the unknown value '" + c.row().text("key_scope") + "': what may have run is not "
                    + "sent again, as if the effect were 'unsafe'");
            effect = Gateway.Effect.UNSAFE;
        }
        if (effect == Gateway.Effect.KEYED && window == 0) {
            c.warn("window_us", "is 0 or missing: what may have run is not sent again");
        }
        return new Gateway.RequestClass(aim(c, stretch, limit), stretch, limit, worth,
                c.numberOr("late_worth", 0, 0, 1, ""), effect, scope == null ? Gateway.Scope.CELL : scope, window,
                c.row().flagOr("by_arrival", false), c.row().flagOr("stream", false), threads(facts, i),
                Boolean.TRUE.equals(facts.at("class_load", i)), Boolean.TRUE.equals(facts.at("class_waits", i)),
                placement(c, "allowed_on", "models", names.kinds()),
                placement(c, "failure_domains_allowed", "failure_domains", names.zones()));
    }

    /** Null where it is none of the known ones. */
    private static Gateway.Scope scope(Lenient c) throws FieldException {
        return c.has("key_scope") ? SCOPES.get(c.row().text("key_scope")) : Gateway.Scope.ALL;
    }

    /**
     * The aim stands for the usual time of the class until answers tell it, so it is neither nothing nor beyond the
     * deadline. Where nothing can be in time all answers before the deadline earn alike, so there is no hurry.
     */
    private static long aim(Lenient c, double stretch, long limit) throws FieldException {
        long aim = c.usOr("aim_us", 0);
        if (aim == 0 && stretch > 0) {
            c.warn("aim_us", "is 0 or missing beside a stretch: read as a tenth of the deadline");
            return Math.max(1, limit / AIM_PART);
        }
        if (aim == 0) {
            c.warn("aim_us", "is 0 or missing: no answer can be in time, all before the deadline count alike");
            return limit;
        }
        if (aim > limit) {
            c.warn("aim_us", "is above 'hard_limit_us': every answer before the deadline is in time");
        }
        return Math.min(aim, limit);
    }

    private int threads(Row facts, int i) throws FieldException {
        Object told = facts.at("class_threads", i);
        return told instanceof Number n ? (int) within(new Row(facts.path(), Map.of("class_threads[" + i + "]", n)))
                .number("class_threads[" + i + "]", 1, Lenient.MOST, "") : 1;
    }

    /** Machine kinds or zones by position or by name; null where any will do. What nothing can be is left out. */
    private static List<Integer> placement(Lenient c, String field, String listKey, List<String> names)
            throws FieldException {
        if (!c.has(field)) {
            return null;
        }
        List<Integer> places = new ArrayList<>();
        for (Object told : c.row().list(field)) {
            int place = place(told, names);
            if (place >= 0) {
                places.add(place);
            }
            if (place < 0 || place >= names.size()) {
                c.warn(field, "names " + told + ", which is not in '" + listKey + "': no engine is known to be of it");
            }
        }
        if (places.isEmpty()) {
            c.warn(field, "allows nothing: requests of this class are refused");
        }
        return places;
    }

    /** A position, told as such or by a name; -1 where it is none. */
    private static int place(Object told, List<String> names) {
        if (told instanceof Number n) {
            double at = n.doubleValue();
            return at == Math.rint(at) && at >= 0 && at <= Integer.MAX_VALUE ? (int) at : -1;
        }
        return told == null ? -1 : names.indexOf(String.valueOf(told));
    }

    // ---- Engines.

    private List<Gateway.Kind> kinds(List<String> names, Lenient facts, Lenient s) throws FieldException {
        if (names.isEmpty() && s.has("models")) {
            s.warn("models", "is empty: engines count by their position and rating");
        }
        List<Gateway.Kind> list = new ArrayList<>();
        while (list.size() < names.size() || facts.row().at("size_cores", list.size()) != null) {
            int i = list.size();
            list.add(new Gateway.Kind(size(facts, "size_cores", i, CORES_LEAST), size(facts, "kind_memory_mb", i, 0)));
        }
        return list;
    }

    /** 0 where it is not told: a list's rating then counts. */
    private double size(Lenient facts, String field, int i, double least) throws FieldException {
        String key = field + "[" + i + "]";
        if (!(facts.row().at(field, i) instanceof Number n) || n.doubleValue() == 0) {
            return 0;
        }
        Lenient one = within(new Row(facts.row().path(), Map.of(key, n)));
        return n.doubleValue() < 0 ? one.number(key, 0, Lenient.MOST, "as if it were not told")
                : one.number(key, least, 1e9, "");
    }

    /** The values of a report, in order, null for one that is unknown; none where no value tells of load. */
    private static List<Gateway.Field> reportFields(Lenient report) throws FieldException {
        List<Gateway.Field> fields = new ArrayList<>();
        for (Object f : report.has("fields") ? report.row().list("fields") : List.of()) {
            Gateway.Field known = FIELDS.get(String.valueOf(f));
            if (known == null) {
                report.warn("fields", "has the unknown value '" + f + "': what it tells is not heeded");
            }
            fields.add(known);
        }
        if (fields.stream().noneMatch(f -> f != null && OF_LOAD.contains(f))) {
            if (!"off".equals(report.row().textOr("how"))) {
                report.warn("fields", "names nothing that tells of load: reports are not heeded");
            }
            return List.of(); // a report that says nothing of load must not stand for an engine at ease
        }
        return fields;
    }

    // ---- Figures.

    private static Gateway.Limits limits(Lenient b) throws FieldException {
        int attempts = b.count("max_attempts", 0, "");
        if (attempts == 0) {
            b.warn("max_attempts", "allows none: every request is refused");
        }
        int held = b.count("most_held", 0, "");
        if (held == 0) {
            b.warn("most_held", "allows none: every request is turned away");
        }
        String no = "read as not permitted";
        return new Gateway.Limits(b.flagOr("cancel", false, no), b.flagOr("may_probe", false, no),
                b.flagOr("retry_after", false, no), b.flagOr("second_copies", false, no), attempts, held,
                b.usOr("max_retry_after_us", 0, RETRY_MOST_US, "longer advice is not given"),
                b.usOr("connect_timeout_us", 0), b.usOr("conn_idle_us", 0));
    }

    private static Gateway.Rules rules(Lenient r) throws FieldException {
        double coldFrom = r.number("cold_from", 0, 1, "");
        if (coldFrom == 0) {
            r.warn("cold_from", "is 0: an engine gets nothing as it starts, and more as it warms up");
        }
        long fall = r.us("fall_us");
        double tip = r.number("tip_multiple", 0, Lenient.MOST, "");
        if (tip == 0 || fall == 0) {
            r.warn(tip == 0 ? "tip_multiple" : "fall_us", "is 0: cold engines get next to nothing until they are warm");
        }
        double free = r.numberOr("budget_free", 0, 0, 1e9, "");
        double share = r.numberOr("extra_share", 0, 0, Lenient.MOST, "");
        double span = budgetSpan(r);
        double kept = Math.min(span, BUDGET_MOST_US);
        return new Gateway.Rules(r.us("answer_slack_us"), r.us("drain_grace_us"), r.usOr("ask_within_us", 0), coldFrom,
                r.us("cold_us"), tip, fall, r.usOr("key_rest_us", 0), (long) kept,
                kept < span ? free * kept / span : free, share);
    }

    /**
     * The span of the budget for further attempts, 0 where there is none. A budget without one counts over the whole
     * day. Of a long span a part is kept, with as much less to spend freely: what holds over each part holds over all.
     */
    private static double budgetSpan(Lenient r) throws FieldException {
        double span = r.usOr("budget_span_us", 0);
        if (span == 0 && (r.has("budget_span_us") || r.has("budget_free") || r.has("extra_share"))) {
            r.warn("budget_span_us", "is 0 or missing beside a budget: further attempts are counted over all time");
            span = Lenient.YEAR_US;
        }
        return span;
    }

    private static Gateway.Terms terms(Lenient facts) throws FieldException {
        Row row = facts.row();
        return new Gateway.Terms(row.flagOr("grants_count", false), row.flagOr("takes_priority", false),
                facts.numberOr("most_grant", 1, 0, 1, ""), "page".equals(row.textOr("overbooked")),
                row.flagOr("cost_in_answers", false), facts.usOr("progress_us", 0));
    }

    private static Gateway.Charges charges(Lenient c) throws FieldException {
        return new Gateway.Charges(c.numberOr("probe", 0, 0, Lenient.MOST, ""),
                c.numberOr("handshake", 0, 0, Lenient.MOST, ""));
    }
}
