package sandpaddle;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

/** Translates the simulator's wire to the events and actions of {@link Gateway}; it decides nothing. */
final class Adapter {
    /** Input that cannot be understood; the message names line, event and fault. */
    static final class WireException extends Exception {
        private static final long serialVersionUID = 1;

        WireException(String message) {
            super(message);
        }
    }

    private static final Map<String, Gateway.Result> RESULTS = Map.of(
            "Ok", Gateway.Result.OK, "Failed", Gateway.Result.ERROR, "QueueFull", Gateway.Result.FULL,
            "TimedOut", Gateway.Result.TIMEOUT, "ConnectError", Gateway.Result.CONNECT_FAILED,
            "ResetByPeer", Gateway.Result.RESET, "Canceled", Gateway.Result.CANCELLED, "Ignored", Gateway.Result.MOOT);
    private static final Map<String, Gateway.Field> FIELDS = Map.of(
            "outstanding", Gateway.Field.INFLIGHT, "backlog", Gateway.Field.QUEUE,
            "utilization", Gateway.Field.UTIL, "recent_ms", Gateway.Field.LATENCY_MS,
            "throughput", Gateway.Field.QPS, "errors_per_s", Gateway.Field.ERRORS_PER_S,
            "x0", Gateway.Field.MEMORY, "x1", Gateway.Field.DISKS);
    private static final Map<String, Gateway.Status> STATUSES = Map.of(
            "on", Gateway.Status.UP, "fading", Gateway.Status.DRAINING, "off", Gateway.Status.GONE);
    private static final Map<String, Gateway.ListKind> LISTS = Map.of(
            "delta", Gateway.ListKind.CHANGES, "full", Gateway.ListKind.FULL,
            "cached", Gateway.ListKind.CACHED, "failed", Gateway.ListKind.FAILED);

    private final JsonParser in;
    private final JsonGenerator out;
    private final Map<String, Gateway> instances = new HashMap<>();
    private final Map<Long, List<Gateway.EngineEntry>> pools = new HashMap<>();
    private long nowUs;
    private Object batch = 0L;
    private String name = "-";

    Adapter(InputStream input, OutputStream output) throws IOException {
        JsonFactory factory = new JsonFactory();
        in = factory.createParser(input);
        out = factory.createGenerator(output);
        out.setPrettyPrinter(new MinimalPrettyPrinter("\n"));
    }

    /** Answers batches until the input ends. */
    void run() throws IOException, WireException {
        try {
            JsonToken token = in.nextToken();
            while (token != null) {
                line(token);
                token = in.nextToken();
            }
        } catch (JsonProcessingException e) {
            throw wrong("malformed JSON");
        }
    }

    private WireException wrong(String what) {
        return new WireException("line " + in.currentLocation().getLineNr() + ", event '" + name + "': " + what);
    }

    private void line(JsonToken token) throws IOException, WireException {
        name = "-";
        if (token != JsonToken.START_OBJECT || in.nextToken() != JsonToken.FIELD_NAME) {
            throw wrong("expected an object with one key");
        }
        name = in.currentName();
        if (in.nextToken() != JsonToken.START_OBJECT) {
            throw wrong("expected an object of fields");
        }
        Row row = new Row(object());
        if (in.nextToken() != JsonToken.END_OBJECT) {
            throw wrong("expected one key");
        }
        event(row);
    }

    private Map<String, Object> object() throws IOException {
        Map<String, Object> map = new HashMap<>();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String key = in.currentName();
            map.put(key, value(in.nextToken()));
        }
        return map;
    }

    private Object value(JsonToken token) throws IOException {
        switch (token) {
            case START_OBJECT:
                return object();
            case START_ARRAY:
                List<Object> list = new ArrayList<>();
                for (JsonToken t = in.nextToken(); t != JsonToken.END_ARRAY; t = in.nextToken()) {
                    list.add(value(t));
                }
                return list;
            case VALUE_STRING:
                return in.getText();
            case VALUE_NUMBER_INT:
                return in.getNumberType() == JsonParser.NumberType.BIG_INTEGER ? (Object) in.getDoubleValue()
                        : (Object) in.getLongValue();
            case VALUE_NUMBER_FLOAT:
                return in.getDoubleValue();
            case VALUE_TRUE:
                return Boolean.TRUE;
            case VALUE_FALSE:
                return Boolean.FALSE;
            default:
                return null;
        }
    }

    private void event(Row row) throws IOException, WireException {
        switch (name) {
            case "sync" -> {
                nowUs = row.integer("ts_us");
                batch = row.integer("batch");
            }
            case "end" -> {
                out.writeStartObject();
                out.writeObjectFieldStart("ok");
                out.writeNumberField("batch", (Long) batch);
                out.writeEndObject();
                out.writeEndObject();
                out.writeRaw('\n');
                out.flush();
            }
            case "pool" -> pools.put(row.integer("set_id"), entries(row));
            case "configure" -> configure(row);
            case "teardown" -> {
                instance(row);
                instances.remove(row.text("who"));
            }
            default -> {
                Gateway.Event event = translate(row);
                String who = row.text("who");
                try {
                    instance(row).on(nowUs, event, action -> write(who, action));
                } catch (RuntimeException e) {
                    throw wrong("cannot be handled: " + e);
                }
            }
        }
    }

    private Gateway instance(Row row) throws WireException {
        Gateway g = instances.get(row.text("who"));
        if (g == null) {
            throw wrong("unknown instance '" + row.text("who") + "'");
        }
        return g;
    }

    private void configure(Row row) throws WireException {
        long seed = row.integer("seed");
        try {
            instances.put(row.text("who"), new Decide(settings(row.row("boot_info")), seed));
        } catch (IllegalArgumentException e) {
            throw wrong(e.getMessage());
        }
    }

    private Gateway.Event translate(Row row) throws WireException {
        return switch (name) {
            case "endpoints" -> endpoints(row);
            case "order" -> new Gateway.Request(row.text("msg_id"), (int) row.integer("priority"), row.textOr("key"),
                    row.integer("expires_in_us"), row.integerOr("estimate_us", 0), row.numberOr("need_mb", 0),
                    (long) row.numberOr("data_group", -1), row.flagOr("retry", false));
            case "accepted" -> new Gateway.Begun(row.text("msg_id"), (int) row.integer("copy"));
            case "report_back" -> outcome(row);
            case "status_note" -> note(row);
            case "left" -> new Gateway.ClientLeft(row.text("msg_id"));
            case "ping_result" -> new Gateway.ProbeResult(row.text("node"), row.oneOf("outcome", RESULTS),
                    row.integer("rtt_us"), row.load());
            case "memo" -> new Gateway.PeerMessage((int) row.integer("neighbour"), row.bytes("msg"));
            case "alarm" -> new Gateway.Timer(row.text("token"));
            default -> throw wrong("unknown event");
        };
    }

    private Gateway.Event endpoints(Row row) throws WireException {
        Gateway.ListKind kind = row.oneOf("kind", LISTS);
        if (kind == Gateway.ListKind.FAILED) {
            return new Gateway.EngineList(kind, List.of());
        }
        List<Gateway.EngineEntry> entries = pools.get(row.integer("set_id"));
        if (entries == null) {
            throw wrong("list " + row.integer("set_id") + " was not declared");
        }
        return new Gateway.EngineList(kind, entries);
    }

    private Gateway.Event outcome(Row row) throws WireException {
        long used = row.integerOr("used_up", 0);
        return new Gateway.Outcome(row.text("msg_id"), (int) row.integer("copy"), row.text("node"),
                row.oneOf("outcome", RESULTS), row.flag("settled"), row.integer("rtt_us"), used / 4096,
                used % 4096 * 4, row.load());
    }

    private Gateway.Event note(Row row) throws WireException {
        int topic = (int) row.integer("topic");
        Gateway.Topic[] topics = Gateway.Topic.values();
        if (topic < 1 || topic > topics.length) {
            throw wrong("unknown topic " + topic);
        }
        return new Gateway.Note(row.text("msg_id"), (int) row.integer("copy"), topics[topic - 1], row.number("x"));
    }

    private List<Gateway.EngineEntry> entries(Row row) throws WireException {
        List<Gateway.EngineEntry> list = new ArrayList<>();
        for (Row e : row.rows("entries")) {
            list.add(new Gateway.EngineEntry(e.text("node"), (int) e.integer("az"), (int) e.integer("hw"),
                    (int) e.integerOr("pod", 0), e.oneOf("availability", STATUSES), e.numberOr("rating", 1),
                    e.integerOr("online_since_us", 0)));
        }
        return list;
    }

    private Gateway.Settings settings(Row s) throws WireException {
        Row facts = s.rowOr("specifics");
        Row report = s.row("report");
        List<Gateway.Field> fields = new ArrayList<>();
        for (Object f : report.list("fields")) {
            fields.add(FIELDS.get(String.valueOf(f)));
        }
        return new Gateway.Settings((int) s.integer("balancers"), (int) s.integer("me"), (int) s.integer("zone"),
                s.text("discovery").equals("subscribe"), classes(s.rows("classes"), facts),
                kinds(s.list("models").size(), facts), fields, report.text("how").equals("inline"),
                limits(s.row("bounds")), rules(s.row("rules")),
                new Gateway.Terms(facts.flagOr("grants_count", false), facts.flagOr("takes_priority", false),
                        facts.numberOr("most_grant", 1), "page".equals(facts.textOr("overbooked")),
                        facts.flagOr("cost_in_answers", false)), charges(s.rowOr("charges")));
    }

    private List<Gateway.RequestClass> classes(List<Row> rows, Row facts) throws WireException {
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

    private static Gateway.Limits limits(Row b) throws WireException {
        return new Gateway.Limits(b.flag("cancel"), b.flag("may_probe"), b.flag("peers"), b.flag("retry_after"),
                b.flag("second_copies"), (int) b.integer("max_attempts"), (int) b.integer("most_held"),
                b.integerOr("max_retry_after_us", 0), b.integerOr("connect_timeout_us", 0));
    }

    private static Gateway.Rules rules(Row r) throws WireException {
        return new Gateway.Rules(r.integer("answer_slack_us"), r.integer("drain_grace_us"),
                r.integerOr("ask_within_us", 0), r.number("cold_from"), r.integer("cold_us"),
                r.number("tip_multiple"), r.integer("fall_us"), r.integerOr("key_rest_us", 0),
                r.integerOr("budget_span_us", 0), r.numberOr("budget_free", 0), r.numberOr("extra_share", 0));
    }

    private static Gateway.Charges charges(Row c) throws WireException {
        return new Gateway.Charges(c.numberOr("probe", 0), c.numberOr("peer", 0));
    }

    private void write(String who, Gateway.Action action) {
        try {
            out.writeStartObject();
            if (action instanceof Gateway.Send a) {
                open("transmit", who, a.id());
                out.writeStringField("node", a.engine());
                out.writeNumberField("within_us", a.timeoutUs());
            } else if (action instanceof Gateway.SetTerms a) {
                open("grant_and_rank", who, a.id());
                out.writeNumberField("importance", a.priority());
                out.writeNumberField("workspace_mb", a.memoryMb());
            } else if (action instanceof Gateway.Refuse a) {
                open("busy", who, a.id());
                out.writeNumberField("not_before_for_us", a.retryAfterUs());
            } else if (action instanceof Gateway.Fail a) {
                open("drop_request", who, a.id());
            } else if (action instanceof Gateway.Cancel a) {
                open("call_off", who, a.id());
                out.writeNumberField("copy", a.attempt());
            } else if (action instanceof Gateway.Probe a) {
                open("sample", who, null);
                out.writeStringField("node", a.engine());
            } else if (action instanceof Gateway.TellPeers a) {
                open("write_peer", who, null);
                out.writeObjectField("target", a.peer());
                out.writeStringField("msg", HexFormat.of().formatHex(a.body()));
            } else if (action instanceof Gateway.SetTimer a) {
                open("notify_me", who, null);
                out.writeStringField("token", a.token());
                out.writeNumberField("alarm_time_us", a.atUs());
            } else if (action instanceof Gateway.Subscribe) {
                open("track", who, null);
                out.writeBooleanField("enable", true);
            } else if (action instanceof Gateway.Log a) {
                open("debug", who, null);
                out.writeStringField("note_text", a.text());
            }
            out.writeEndObject();
            out.writeEndObject();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private void open(String tag, String who, String id) throws IOException {
        out.writeObjectFieldStart(tag);
        out.writeStringField("who", who);
        if (id != null) {
            out.writeStringField("msg_id", id);
        }
    }

    /** The fields of one object, read with their types checked; null and absent are the same. */
    private final class Row {
        private final Map<String, Object> fields;

        Row(Map<String, Object> fields) {
            this.fields = fields;
        }

        private <T> T get(String field, Class<T> type, T otherwise, boolean needed) throws WireException {
            Object v = fields.get(field);
            if (v == null && !needed) {
                return otherwise;
            }
            if (v == null) {
                throw wrong("field '" + field + "' is missing");
            }
            if (!type.isInstance(v)) {
                throw wrong("field '" + field + "' has the wrong type");
            }
            return type.cast(v);
        }

        boolean has(String field) {
            return fields.get(field) != null;
        }

        String text(String field) throws WireException {
            return get(field, String.class, null, true);
        }

        String textOr(String field) throws WireException {
            return get(field, String.class, null, false);
        }

        long integer(String field) throws WireException {
            return get(field, Long.class, 0L, true);
        }

        long integerOr(String field, long otherwise) throws WireException {
            return get(field, Long.class, otherwise, false);
        }

        double number(String field) throws WireException {
            return get(field, Number.class, 0, true).doubleValue();
        }

        double numberOr(String field, double otherwise) throws WireException {
            return get(field, Number.class, otherwise, false).doubleValue();
        }

        boolean flag(String field) throws WireException {
            return get(field, Boolean.class, null, true);
        }

        boolean flagOr(String field, boolean otherwise) throws WireException {
            return get(field, Boolean.class, otherwise, false);
        }

        List<?> list(String field) throws WireException {
            return get(field, List.class, List.of(), true);
        }

        Object at(String field, int i) {
            return fields.get(field) instanceof List<?> l && i < l.size() ? l.get(i) : null;
        }

        <T> T oneOf(String field, Map<String, T> values) throws WireException {
            T v = values.get(text(field));
            if (v == null) {
                throw wrong("field '" + field + "' has the unknown value '" + text(field) + "'");
            }
            return v;
        }

        @SuppressWarnings("unchecked")
        private Row rowOf(Object v, String field) throws WireException {
            if (!(v instanceof Map)) {
                throw wrong("field '" + field + "' has the wrong type");
            }
            return new Row((Map<String, Object>) v);
        }

        Row row(String field) throws WireException {
            return rowOf(get(field, Map.class, null, true), field);
        }

        Row rowOr(String field) throws WireException {
            return has(field) ? row(field) : new Row(Map.of());
        }

        List<Row> rows(String field) throws WireException {
            List<Row> rows = new ArrayList<>();
            for (Object v : list(field)) {
                rows.add(rowOf(v, field));
            }
            return rows;
        }

        List<Integer> indexes(String field) throws WireException {
            if (!has(field)) {
                return null;
            }
            List<Integer> indexes = new ArrayList<>();
            for (Object v : list(field)) {
                if (!(v instanceof Long n)) {
                    throw wrong("field '" + field + "' has the wrong type");
                }
                indexes.add(n.intValue());
            }
            return indexes;
        }

        double[] load() throws WireException {
            if (!has("load")) {
                return null;
            }
            List<?> values = list("load");
            double[] load = new double[values.size()];
            for (int i = 0; i < load.length; i++) {
                load[i] = values.get(i) instanceof Number n ? n.doubleValue() : Double.NaN;
            }
            return load;
        }

        byte[] bytes(String field) throws WireException {
            try {
                return HexFormat.of().parseHex(text(field));
            } catch (IllegalArgumentException e) {
                throw wrong("field '" + field + "' is not hex");
            }
        }
    }
}
