package sandpaddle.lab.capacity;

import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.stream.IntStream;
import sandpaddle.fleet.limit.LimitScope;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.LimitUnit;
import sandpaddle.fleet.link.LinkSettings;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.node.agree.FleetConfig;
import sandpaddle.fleet.verdict.VerdictSettings;
import sandpaddle.lab.capacity.Budget.Section;
import sandpaddle.lab.capacity.Budget.SizeLine;

/**
 * The limits set in the code, compared with what the planned size requires. The values are read from the classes by
 * reflection, so that the page cannot show a limit that the code no longer has.
 */
final class CodeLimits {
    /** Thrown when a listed limit was moved or renamed in the code; the message names it. */
    static final class MissingLimitException extends Exception {
        private static final long serialVersionUID = 1;

        MissingLimitException(String name, Throwable cause) {
            super("the limit " + name + " was not found in the code; update its entry in CodeLimits", cause);
        }
    }

    /** What the program does with anything over a limit. */
    private enum OverLimitBehavior {
        REJECTED("refused"),
        DEFERRED("waits for a later turn"),
        NOT_TRACKED("goes on unwatched"),
        CONFIGURABLE("a setting of the deployment");

        private final String text;

        OverLimitBehavior(String text) {
            this.text = text;
        }
    }

    /**
     * One limit.
     *
     * @param owner class with the limit, without the prefix {@code sandpaddle.}
     * @param required value that the planned size requires; empty if it cannot be derived from the size
     * @param overLimit what happens over the limit
     * @param reason what the limit applies to
     */
    private record Entry(
            String owner,
            String field,
            String unit,
            OptionalDouble required,
            SizeLine line,
            OverLimitBehavior overLimit,
            String reason) {
        String name() {
            return owner.substring(owner.lastIndexOf('.') + 1).replace('$', '.') + "." + field;
        }

        double value() throws MissingLimitException {
            try {
                Field constant = Class.forName("sandpaddle." + owner).getDeclaredField(field);
                constant.setAccessible(true);
                return ((Number) constant.get(null)).doubleValue();
            } catch (ReflectiveOperationException | ClassCastException | NullPointerException e) {
                throw new MissingLimitException(name(), e);
            }
        }
    }

    /** Its defaults are record components, not constants, and are read without reflection. */
    private static final String VERDICT_SETTINGS = "fleet.verdict.VerdictSettings";

    private static final String LINK_BOUNDS = "fleet.link.LinkSettings$Bounds";
    /** One engine in the list line, with all fields and long names, as assumed by LineDecoder.MAX_LINE_BYTES. */
    private static final int ENGINE_LIST_ENTRY_BYTES = 1024;

    private static final int LIMIT_PER_ENGINE = 50;
    private static final int PORT = 7400;
    private static final OptionalDouble GATEWAYS = OptionalDouble.of(PlannedFleet.GATEWAYS);
    private static final OptionalDouble ENGINES = OptionalDouble.of(PlannedFleet.ENGINES);
    private static final OptionalDouble LIMITS = OptionalDouble.of(PlannedFleet.LIMITS);
    private static final OptionalDouble SLOTS = OptionalDouble.of((double) PlannedFleet.GATEWAYS * PlannedFleet.LIMITS);
    private static final OptionalDouble GATEWAYS_PER_ZONE = OptionalDouble.of(PlannedFleet.GATEWAYS_PER_ZONE);
    private static final OptionalDouble REQUIREMENT_UNKNOWN = OptionalDouble.empty();

    private static final List<Entry> ENTRIES = List.of(
            members("fleet.member.Roster", "a faulty command must not fill the memory of all gateways"),
            members("fleet.node.agree.FleetConfig", "the same for the agreed text"),
            members("fleet.state.machine.FleetMembership", "the same for the replicated membership"),
            members("config.FleetConfigReader", "the same for the operator's file"),
            members("fleet.limit.table.QuotaTable", "rows of the rights table"),
            limits("config.FleetConfigReader", "the operator's file"),
            limits("fleet.limit.table.LimitCommandCodec", "one command that sets all limits"),
            limits("fleet.limit.table.QuotaTable", "limits with those made for each engine, tenant or hall"),
            new Entry(
                    "fleet.limit.table.QuotaTable",
                    "MAX_SLOTS",
                    "slots",
                    SLOTS,
                    SizeLine.GATEWAYS,
                    OverLimitBehavior.REJECTED,
                    "a right of each gateway in each limit"),
            new Entry(
                    "fleet.limit.lease.QuotaHolder",
                    "MAX_SLOTS",
                    "slots",
                    LIMITS,
                    SizeLine.NONE,
                    OverLimitBehavior.REJECTED,
                    "slots that one gateway holds"),
            new Entry(
                    "fleet.limit.wire.Heartbeat",
                    "MAX_REPORTS",
                    "slots a beat",
                    LIMITS,
                    SizeLine.NONE,
                    OverLimitBehavior.DEFERRED,
                    "the rest is told with the next beats"),
            new Entry(
                    "fleet.limit.wire.QuotaGrant",
                    "MAX_SLOTS",
                    "slots a grant",
                    LIMITS,
                    SizeLine.NONE,
                    OverLimitBehavior.DEFERRED,
                    "the rest goes with the next grants"),
            new Entry(
                    "fleet.node.agree.FleetConfig",
                    "MAX_TEXT_BYTES",
                    "bytes",
                    REQUIREMENT_UNKNOWN,
                    SizeLine.NONE,
                    OverLimitBehavior.REJECTED,
                    "one pool policy or one schedule"),
            new Entry(
                    "fleet.state.machine.VersionedDocuments",
                    "MAX_TEXT_BYTES",
                    "bytes",
                    agreedConfigBytes(),
                    SizeLine.CONFIGURATION,
                    OverLimitBehavior.REJECTED,
                    "the whole agreed configuration is one text"),
            new Entry(
                    "fleet.state.raft.RaftCodec",
                    "MAX_COMMAND_BYTES",
                    "bytes",
                    agreedConfigBytes(),
                    SizeLine.CONFIGURATION,
                    OverLimitBehavior.REJECTED,
                    "one command of the log"),
            new Entry(
                    "config.LocatedJson",
                    "MAX_BYTES",
                    "bytes",
                    REQUIREMENT_UNKNOWN,
                    SizeLine.CONFIGURATION,
                    OverLimitBehavior.REJECTED,
                    "the operator's file with all members and limits"),
            new Entry(
                    "config.FleetSettingsReader",
                    "MAX_FOUNDERS",
                    "voters",
                    REQUIREMENT_UNKNOWN,
                    SizeLine.NONE,
                    OverLimitBehavior.REJECTED,
                    "first voters, of which a majority agrees on everything"),
            new Entry(
                    "fleet.node.wire.StatusMessage",
                    "MAX_VOTERS",
                    "voters",
                    REQUIREMENT_UNKNOWN,
                    SizeLine.NONE,
                    OverLimitBehavior.REJECTED,
                    "voters that a gateway is told of"),
            new Entry(
                    "fleet.state.machine.FleetStateMachine",
                    "MAX_SNAPSHOT_BYTES",
                    "bytes",
                    REQUIREMENT_UNKNOWN,
                    SizeLine.NONE,
                    OverLimitBehavior.REJECTED,
                    "a snapshot, which goes out in chunks"),
            new Entry(
                    "fleet.state.raft.RaftCodec",
                    "MAX_CHUNKS",
                    "chunks",
                    REQUIREMENT_UNKNOWN,
                    SizeLine.NONE,
                    OverLimitBehavior.REJECTED,
                    "of a snapshot, a quarter of a megabyte each"),
            new Entry(
                    "fleet.store.VoterStore",
                    "MAX_ENTRIES",
                    "entries",
                    REQUIREMENT_UNKNOWN,
                    SizeLine.NONE,
                    OverLimitBehavior.DEFERRED,
                    "a log that long needs a snapshot first"),
            new Entry(
                    "fleet.node.FleetNode",
                    "MAX_LOOP_EVENTS",
                    "messages",
                    GATEWAYS,
                    SizeLine.NONE,
                    OverLimitBehavior.REJECTED,
                    "a queue from the links to the fleet's thread: one beat of each gateway"),
            new Entry(
                    "fleet.link.frame.Frame",
                    "MAX_GREETING_BYTES",
                    "bytes",
                    REQUIREMENT_UNKNOWN,
                    SizeLine.NONE,
                    OverLimitBehavior.REJECTED,
                    "a frame before the other side has said who it is"),
            new Entry(
                    "fleet.link.tcp.TcpLinks",
                    "ACCEPT_BACKLOG",
                    "connections",
                    GATEWAYS_PER_ZONE,
                    SizeLine.FAILURES,
                    OverLimitBehavior.DEFERRED,
                    "links that wait to be accepted: a zone that comes back"),
            new Entry(
                    "fleet.link.tcp.TcpLinks",
                    "MAX_ACCEPTED_AT_ONCE",
                    "connections",
                    GATEWAYS_PER_ZONE,
                    SizeLine.FAILURES,
                    OverLimitBehavior.DEFERRED,
                    "connections taken in one turn of the link thread"),
            new Entry(
                    "fleet.node.pool.PoolEngines",
                    "MAX_ENGINES",
                    "engines",
                    ENGINES,
                    SizeLine.ENGINES,
                    OverLimitBehavior.REJECTED,
                    "engines that a pool's budgets know"),
            new Entry(
                    "fleet.node.pool.PoolSlots",
                    "MAX_SLOTS",
                    "slots",
                    ENGINES,
                    SizeLine.ENGINES,
                    OverLimitBehavior.REJECTED,
                    "an engine's part for each tenant: one tenant at least"),
            new Entry(
                    "fleet.node.loop.AllowanceCalculator",
                    "MAX_BLOCKED_QUOTAS",
                    "engines",
                    ENGINES,
                    SizeLine.NONE,
                    OverLimitBehavior.DEFERRED,
                    "engines told as barred; the rest is found where an attempt would be written"),
            new Entry(
                    "discovery.LineDecoder",
                    "MAX_LINE_BYTES",
                    "bytes",
                    OptionalDouble.of((double) PlannedFleet.ENGINES * ENGINE_LIST_ENTRY_BYTES),
                    SizeLine.ENGINES,
                    OverLimitBehavior.REJECTED,
                    "the engine list is one line; a kilobyte for an engine with long names"),
            new Entry(
                    "config.GatewayConfig",
                    "DEFAULT_MAX_SOCKETS",
                    "descriptors",
                    OptionalDouble.of(3.0 * PlannedFleet.CONNECTIONS_PER_GATEWAY),
                    SizeLine.CONNECTIONS,
                    OverLimitBehavior.CONFIGURABLE,
                    "the default of limits.sockets, of which clients get a third"),
            new Entry(
                    "eventloop.Acceptor",
                    "BACKLOG",
                    "connections",
                    REQUIREMENT_UNKNOWN,
                    SizeLine.NONE,
                    OverLimitBehavior.DEFERRED,
                    "clients that wait to be accepted"));

    private CodeLimits() {}

    private static Entry members(String owner, String reason) {
        return new Entry(
                owner, "MAX_MEMBERS", "gateways", GATEWAYS, SizeLine.GATEWAYS, OverLimitBehavior.REJECTED, reason);
    }

    private static Entry limits(String owner, String reason) {
        return new Entry(owner, "MAX_LIMITS", "limits", LIMITS, SizeLine.NONE, OverLimitBehavior.REJECTED, reason);
    }

    /** Size in bytes of the encoded {@link FleetConfig} with every gateway and one limit per engine. */
    private static OptionalDouble agreedConfigBytes() {
        List<Member> members = IntStream.range(0, PlannedFleet.GATEWAYS)
                .mapToObj(i -> new Member(
                        "gw-" + i,
                        "region-" + i % PlannedFleet.REGIONS + "-zone-" + i % PlannedFleet.ZONES,
                        "10.0.100.100",
                        PORT))
                .toList();
        List<LimitSpec> limits = IntStream.range(0, PlannedFleet.LIMITS)
                .mapToObj(i -> new LimitSpec(
                        "engine-" + i,
                        new LimitScope(null, null, null, "engine-" + i),
                        LimitUnit.RUNNING,
                        LIMIT_PER_ENGINE,
                        0))
                .toList();
        return OptionalDouble.of(
                new FleetConfig(1, members, limits, "", "").encode().length());
    }

    /** One row per limit, with the required value as the projection and the limit as the budget. */
    static List<ProjectionRow> rows() throws MissingLimitException {
        List<ProjectionRow> rows = new ArrayList<>();
        for (Entry entry : ENTRIES) {
            rows.add(row(entry, entry.value()));
        }
        rows.addAll(verdictRows());
        rows.addAll(linkRows());
        return rows;
    }

    private static List<ProjectionRow> verdictRows() {
        VerdictSettings defaults = VerdictSettings.DEFAULT;
        return List.of(
                row(
                        new Entry(
                                VERDICT_SETTINGS,
                                "maxEngines",
                                "engines",
                                ENGINES,
                                SizeLine.ENGINES,
                                OverLimitBehavior.NOT_TRACKED,
                                "engines watched, those first in the list"),
                        defaults.maxEngines()),
                row(
                        new Entry(
                                VERDICT_SETTINGS,
                                "maxMembers",
                                "gateways",
                                GATEWAYS,
                                SizeLine.GATEWAYS,
                                OverLimitBehavior.NOT_TRACKED,
                                "gateways whose evidence is kept, the first by name"),
                        defaults.maxMembers()));
    }

    private static List<ProjectionRow> linkRows() {
        LinkSettings.Bounds defaults = LinkSettings.Bounds.DEFAULT;
        return List.of(
                row(
                        new Entry(
                                LINK_BOUNDS,
                                "accepted",
                                "links",
                                GATEWAYS,
                                SizeLine.GATEWAYS,
                                OverLimitBehavior.REJECTED,
                                "links that a voter accepts: one from each gateway"),
                        defaults.maxAccepted()),
                row(
                        new Entry(
                                LINK_BOUNDS,
                                "greeting",
                                "links",
                                GATEWAYS_PER_ZONE,
                                SizeLine.FAILURES,
                                OverLimitBehavior.REJECTED,
                                "of them in their handshake: a zone that comes back"),
                        defaults.maxHandshaking()),
                row(
                        new Entry(
                                LINK_BOUNDS,
                                "frameBytes",
                                "bytes",
                                agreedConfigBytes(),
                                SizeLine.CONFIGURATION,
                                OverLimitBehavior.REJECTED,
                                "one frame, which holds the agreed text"),
                        defaults.maxFrameBytes()),
                row(
                        new Entry(
                                LINK_BOUNDS,
                                "queueBytes",
                                "bytes",
                                REQUIREMENT_UNKNOWN,
                                SizeLine.NONE,
                                OverLimitBehavior.REJECTED,
                                "what may wait for one peer"),
                        defaults.maxQueueBytes()),
                row(
                        new Entry(
                                LINK_BOUNDS,
                                "inboundBytes",
                                "bytes",
                                REQUIREMENT_UNKNOWN,
                                SizeLine.NONE,
                                OverLimitBehavior.DEFERRED,
                                "received and not yet taken, over all peers"),
                        defaults.maxInboundBytes()));
    }

    private static ProjectionRow row(Entry entry, double limit) {
        return new ProjectionRow(
                Section.CODE,
                "code",
                entry.name(),
                entry.reason,
                entry.unit,
                "fixed",
                true,
                entry.required.orElse(Double.NaN),
                OptionalDouble.empty(),
                OptionalDouble.empty(),
                OptionalDouble.of(limit),
                entry.line,
                "sandpaddle." + entry.owner,
                ProjectionRow.Basis.ARGUED,
                entry.overLimit.text);
    }
}
