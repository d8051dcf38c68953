package sandpaddle.simulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sandpaddle.config.InvalidFieldException;
import sandpaddle.config.JsonObject;
import sandpaddle.decision.event.AttemptEnded;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.ClientDisconnected;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.decision.event.Event;
import sandpaddle.decision.event.HealthCheckEnded;
import sandpaddle.decision.event.ProgressReported;
import sandpaddle.decision.event.ProgressTopic;
import sandpaddle.decision.event.RequestReceived;
import sandpaddle.decision.event.StreamStarted;
import sandpaddle.decision.event.TimerFired;

/**
 * Reads the events of the simulator's protocol as events of the decision module. {@link SimulatorActionWriter} writes
 * the actions.
 */
final class SimulatorEventReader {
    private static final Map<String, AttemptResult> RESULTS = Map.of(
            "Ok",
            AttemptResult.OK,
            "Failed",
            AttemptResult.ERROR,
            "QueueFull",
            AttemptResult.QUEUE_FULL,
            "TimedOut",
            AttemptResult.TIMEOUT,
            "ConnectError",
            AttemptResult.CONNECT_FAILED,
            "ResetByPeer",
            AttemptResult.RESET,
            "Canceled",
            AttemptResult.CANCELLED,
            "Ignored",
            AttemptResult.CANCELLED_BEFORE_START);
    private static final Map<String, EngineStatus> STATUSES =
            Map.of("on", EngineStatus.UP, "fading", EngineStatus.DRAINING, "off", EngineStatus.REMOVED);
    private static final Map<String, EngineListKind> LIST_KINDS = Map.of(
            "delta",
            EngineListKind.CHANGES,
            "full",
            EngineListKind.FULL,
            "cached",
            EngineListKind.CACHED,
            "failed",
            EngineListKind.FAILED);
    private static final int NO_DATA_GROUP = -1;
    private static final double DEFAULT_RATING = 1;
    /** The field {@code used_up} is the work in milliseconds times this factor, plus the memory in units. */
    private static final long USED_WORK_FACTOR = 4096;
    /** Memory unit of the field {@code used_up}, in MB. */
    private static final long MEMORY_UNIT_MB = 4;

    private SimulatorEventReader() {}

    /**
     * Reads an event other than an endpoint list.
     *
     * @param name name of the event on the wire
     * @param fields fields of the event
     * @return the event, or null if the name is unknown
     */
    static Event read(String name, JsonObject fields) throws InvalidFieldException {
        return switch (name) {
            case "order" -> requestReceived(fields);
            case "accepted" -> new StreamStarted(fields.string("msg_id"), (int) fields.integer("copy"));
            case "report_back" -> attemptEnded(fields);
            case "status_note" -> progressReported(fields);
            case "left" -> new ClientDisconnected(fields.string("msg_id"));
            case "ping_result" -> healthCheckEnded(fields);
            case "alarm" -> new TimerFired(fields.string("token"));
            default -> null;
        };
    }

    private static RequestReceived requestReceived(JsonObject fields) throws InvalidFieldException {
        return new RequestReceived(
                fields.string("msg_id"),
                (int) fields.integer("priority"),
                fields.stringOrNull("key"),
                fields.integer("expires_in_us"),
                fields.integerOr("estimate_us", 0),
                fields.numberOr("need_mb", 0),
                (long) fields.numberOr("data_group", NO_DATA_GROUP),
                fields.flagOr("retry", false));
    }

    private static AttemptEnded attemptEnded(JsonObject fields) throws InvalidFieldException {
        long used = fields.integerOr("used_up", 0);
        return new AttemptEnded(
                fields.string("msg_id"),
                (int) fields.integer("copy"),
                fields.string("node"),
                fields.oneOf("outcome", RESULTS),
                fields.flag("settled"),
                fields.integer("rtt_us"),
                used / USED_WORK_FACTOR,
                used % USED_WORK_FACTOR * MEMORY_UNIT_MB,
                fields.loadReportOrNull());
    }

    private static ProgressReported progressReported(JsonObject fields) throws InvalidFieldException {
        int topic = (int) fields.integer("topic");
        ProgressTopic[] topics = ProgressTopic.values();
        if (topic < 1 || topic > topics.length) {
            throw new InvalidFieldException("unknown topic " + topic);
        }
        return new ProgressReported(
                fields.string("msg_id"), (int) fields.integer("copy"), topics[topic - 1], fields.number("x"));
    }

    private static HealthCheckEnded healthCheckEnded(JsonObject fields) throws InvalidFieldException {
        return new HealthCheckEnded(
                fields.string("node"),
                fields.oneOf("outcome", RESULTS),
                fields.integer("rtt_us"),
                fields.loadReportOrNull());
    }

    /**
     * Reads an endpoint list.
     *
     * @param fields fields of the event
     * @param declaredLists entries of the lists that the simulator has declared, by list id
     */
    static EngineListReceived readEngineList(JsonObject fields, Map<Long, List<EngineEntry>> declaredLists)
            throws InvalidFieldException {
        EngineListKind kind = fields.oneOf("kind", LIST_KINDS);
        if (kind == EngineListKind.FAILED) {
            return new EngineListReceived(kind, List.of());
        }
        List<EngineEntry> entries = declaredLists.get(fields.integer("set_id"));
        if (entries == null) {
            throw new InvalidFieldException("list " + fields.integer("set_id") + " was not declared");
        }
        return new EngineListReceived(kind, entries);
    }

    /** Reads the entries of a declared endpoint list. */
    static List<EngineEntry> readEngineEntries(JsonObject fields) throws InvalidFieldException {
        List<EngineEntry> entries = new ArrayList<>();
        for (JsonObject entry : fields.objects("entries")) {
            entries.add(new EngineEntry(
                    entry.string("node"),
                    (int) entry.integer("az"),
                    (int) entry.integer("hw"),
                    (int) entry.integerOr("pod", 0),
                    entry.oneOf("availability", STATUSES),
                    entry.numberOr("rating", DEFAULT_RATING),
                    entry.integerOr("online_since_us", 0)));
        }
        return entries;
    }
}
