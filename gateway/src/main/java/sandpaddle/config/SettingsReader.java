package sandpaddle.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sandpaddle.decide.Gateway;

/** The settings object, as the simulator's first message and the real configuration hold it. */
public final class SettingsReader {
    private static final Map<String, Gateway.Field> FIELDS = Map.of(
            "outstanding", Gateway.Field.INFLIGHT, "backlog", Gateway.Field.QUEUE,
            "utilization", Gateway.Field.UTIL, "recent_ms", Gateway.Field.LATENCY_MS,
            "throughput", Gateway.Field.QPS, "errors_per_s", Gateway.Field.ERRORS_PER_S,
            "x0", Gateway.Field.MEMORY, "x1", Gateway.Field.DISKS);

    private SettingsReader() {
    }

    /** The settings; an impossible value is named too. */
    public static Gateway.Settings read(Row s) throws FieldException {
        Row facts = s.rowOr("specifics");
        Row report = s.row("report");
        List<Gateway.Field> fields = new ArrayList<>();
        for (Object f : report.list("fields")) {
            fields.add(FIELDS.get(String.valueOf(f)));
        }
        return new Gateway.Settings((int) s.integer("balancers"), (int) s.integer("me"),
                (int) s.integerOr("zone", -1), "subscribe".equals(s.textOr("discovery")),
                classes(s.rows("classes"), facts), kinds(s.has("models") ? s.list("models").size() : 0, facts), fields,
                report.text("how").equals("inline"),
                limits(s.row("bounds")), rules(s.row("rules")),
                new Gateway.Terms(facts.flagOr("grants_count", false), facts.flagOr("takes_priority", false),
                        facts.numberOr("most_grant", 1), "page".equals(facts.textOr("overbooked")),
                        facts.flagOr("cost_in_answers", false), facts.integerOr("progress_us", 0)),
                charges(s.rowOr("charges")));
    }

    private static List<Gateway.RequestClass> classes(List<Row> rows, Row facts) throws FieldException {
        List<Gateway.RequestClass> list = new ArrayList<>();
        for (int i = 0; i < rows.size(); i++) {
            Row c = rows.get(i);
            list.add(new Gateway.RequestClass(c.integer("aim_us"), c.numberOr("aim_stretch", 0),
                    c.integer("hard_limit_us"), c.number("value"), c.numberOr("late_worth", 0),
                    c.oneOf("effect", Map.of("safe", Gateway.Effect.SAFE, "keyed", Gateway.Effect.KEYED,
                            "unsafe", Gateway.Effect.UNSAFE)),
                    c.has("key_scope") ? c.oneOf("key_scope", Map.of("all", Gateway.Scope.ALL,
                            "zone", Gateway.Scope.ZONE, "cell", Gateway.Scope.CELL)) : Gateway.Scope.ALL,
                    c.integerOr("window_us", 0), c.flagOr("by_arrival", false), c.flagOr("stream", false),
                    facts.at("class_threads", i) instanceof Number n ? n.intValue() : 1,
                    Boolean.TRUE.equals(facts.at("class_load", i)), Boolean.TRUE.equals(facts.at("class_waits", i)),
                    c.indexes("allowed_on"), c.indexes("failure_domains_allowed")));
        }
        return list;
    }

    private static List<Gateway.Kind> kinds(int count, Row facts) {
        List<Gateway.Kind> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(new Gateway.Kind(facts.at("size_cores", i) instanceof Number n ? n.doubleValue() : 0,
                    facts.at("kind_memory_mb", i) instanceof Number n ? n.doubleValue() : 0));
        }
        return list;
    }

    private static Gateway.Limits limits(Row b) throws FieldException {
        return new Gateway.Limits(b.flag("cancel"), b.flag("may_probe"), b.flag("retry_after"),
                b.flag("second_copies"), (int) b.integer("max_attempts"), (int) b.integer("most_held"),
                b.integerOr("max_retry_after_us", 0), b.integerOr("connect_timeout_us", 0),
                b.integerOr("conn_idle_us", 0));
    }

    private static Gateway.Rules rules(Row r) throws FieldException {
        return new Gateway.Rules(r.integer("answer_slack_us"), r.integer("drain_grace_us"),
                r.integerOr("ask_within_us", 0), r.number("cold_from"), r.integer("cold_us"),
                r.number("tip_multiple"), r.integer("fall_us"), r.integerOr("key_rest_us", 0),
                r.integerOr("budget_span_us", 0), r.numberOr("budget_free", 0), r.numberOr("extra_share", 0));
    }

    private static Gateway.Charges charges(Row c) throws FieldException {
        return new Gateway.Charges(c.numberOr("probe", 0), c.numberOr("handshake", 0));
    }
}
