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
 * The limits that the code sets, read from the classes themselves, beside what the planned size needs of each. So the
 * page cannot tell of a limit that the code no longer has.
 */
final class CodeLimits {
    /** A limit that moved or changed its name; the message tells which. */
    static final class MissingLimitException extends Exception {
        private static final long serialVersionUID = 1;

        MissingLimitException(String name, Throwable cause) {
            super("the limit " + name + " is not in the code any more: correct its entry in CodeLimits", cause);
        }
    }

    /** What happens to what is over a limit. */
    private enum Beyond {
        REFUSED("refused"),
        LATER("waits for a later turn"),
        UNKNOWN_TO_IT("goes on unwatched"),
        SETTING("a setting of the deployment");

        private final String text;

        Beyond(String text) {
            this.text = text;
        }
    }

    /** {@code need}: what the planned size asks of it; empty where the size does not tell. */
    private record Entry(
            String owner, String field, String unit, OptionalDouble need, SizeLine line, Beyond beyond, String reason) {
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

    private static final String VERDICTS = "fleet.verdict.VerdictSettings"; // its defaults are no constants
    private static final String LINKS = "fleet.link.LinkSettings$Bounds";
    private static final int LISTED_ENGINE_BYTES = 1024; // with all fields and long names, as LineReader counts
    private static final int LIMIT_EACH = 50;
    private static final int PORT = 7400;
    private static final OptionalDouble GATEWAYS = OptionalDouble.of(OperatorSize.GATEWAYS);
    private static final OptionalDouble ENGINES = OptionalDouble.of(OperatorSize.ENGINES);
    private static final OptionalDouble LIMITS = OptionalDouble.of(OperatorSize.LIMITS);
    private static final OptionalDouble SLOTS = OptionalDouble.of((double) OperatorSize.GATEWAYS * OperatorSize.LIMITS);
    private static final OptionalDouble ZONE = OptionalDouble.of(OperatorSize.GATEWAYS_PER_ZONE);
    private static final OptionalDouble UNKNOWN = OptionalDouble.empty();

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
                    Beyond.REFUSED,
                    "a right of each gateway in each limit"),
            new Entry(
                    "fleet.limit.lease.QuotaHolder",
                    "MAX_SLOTS",
                    "slots",
                    LIMITS,
                    SizeLine.NONE,
                    Beyond.REFUSED,
                    "slots that one gateway holds"),
            new Entry(
                    "fleet.limit.wire.Heartbeat",
                    "MAX_REPORTS",
                    "slots a beat",
                    LIMITS,
                    SizeLine.NONE,
                    Beyond.LATER,
                    "the rest is told with the next beats"),
            new Entry(
                    "fleet.limit.wire.QuotaGrant",
                    "MAX_SLOTS",
                    "slots a grant",
                    LIMITS,
                    SizeLine.NONE,
                    Beyond.LATER,
                    "the rest goes with the next grants"),
            new Entry(
                    "fleet.node.agree.FleetConfig",
                    "MAX_TEXT_BYTES",
                    "bytes",
                    UNKNOWN,
                    SizeLine.NONE,
                    Beyond.REFUSED,
                    "one pool policy or one schedule"),
            new Entry(
                    "fleet.state.machine.VersionedDocuments",
                    "MAX_TEXT_BYTES",
                    "bytes",
                    agreedText(),
                    SizeLine.CONFIGURATION,
                    Beyond.REFUSED,
                    "the whole agreed configuration is one text"),
            new Entry(
                    "fleet.state.raft.RaftCodec",
                    "MAX_COMMAND_BYTES",
                    "bytes",
                    agreedText(),
                    SizeLine.CONFIGURATION,
                    Beyond.REFUSED,
                    "one command of the log"),
            new Entry(
                    "config.LocatedJson",
                    "MAX_BYTES",
                    "bytes",
                    UNKNOWN,
                    SizeLine.CONFIGURATION,
                    Beyond.REFUSED,
                    "the operator's file with all members and limits"),
            new Entry(
                    "config.FleetSettingsReader",
                    "MAX_FOUNDERS",
                    "voters",
                    UNKNOWN,
                    SizeLine.NONE,
                    Beyond.REFUSED,
                    "first voters, of which a majority agrees on everything"),
            new Entry(
                    "fleet.node.wire.StatusMessage",
                    "MAX_VOTERS",
                    "voters",
                    UNKNOWN,
                    SizeLine.NONE,
                    Beyond.REFUSED,
                    "voters that a gateway is told of"),
            new Entry(
                    "fleet.state.machine.FleetStateMachine",
                    "MAX_SNAPSHOT_BYTES",
                    "bytes",
                    UNKNOWN,
                    SizeLine.NONE,
                    Beyond.REFUSED,
                    "a snapshot, which goes out in chunks"),
            new Entry(
                    "fleet.state.raft.RaftCodec",
                    "MAX_CHUNKS",
                    "chunks",
                    UNKNOWN,
                    SizeLine.NONE,
                    Beyond.REFUSED,
                    "of a snapshot, a quarter of a megabyte each"),
            new Entry(
                    "fleet.store.VoterStore",
                    "MAX_ENTRIES",
                    "entries",
                    UNKNOWN,
                    SizeLine.NONE,
                    Beyond.LATER,
                    "a log that long needs a snapshot first"),
            new Entry(
                    "fleet.node.FleetNode",
                    "MAX_LOOP_EVENTS",
                    "messages",
                    GATEWAYS,
                    SizeLine.NONE,
                    Beyond.REFUSED,
                    "a queue from the links to the fleet's thread: one beat of each gateway"),
            new Entry(
                    "fleet.link.frame.Frame",
                    "MAX_GREETING_BYTES",
                    "bytes",
                    UNKNOWN,
                    SizeLine.NONE,
                    Beyond.REFUSED,
                    "a frame before the other side has said who it is"),
            new Entry(
                    "fleet.link.tcp.TcpLinks",
                    "ACCEPT_BACKLOG",
                    "connections",
                    ZONE,
                    SizeLine.FAILURES,
                    Beyond.LATER,
                    "links that wait to be accepted: a zone that comes back"),
            new Entry(
                    "fleet.link.tcp.TcpLinks",
                    "MAX_ACCEPTED_AT_ONCE",
                    "connections",
                    ZONE,
                    SizeLine.FAILURES,
                    Beyond.LATER,
                    "connections taken in one turn of the link thread"),
            new Entry(
                    "fleet.node.pool.PoolEngines",
                    "MAX_ENGINES",
                    "engines",
                    ENGINES,
                    SizeLine.ENGINES,
                    Beyond.REFUSED,
                    "engines that a pool's budgets know"),
            new Entry(
                    "fleet.node.pool.PoolSlots",
                    "MAX_SLOTS",
                    "slots",
                    ENGINES,
                    SizeLine.ENGINES,
                    Beyond.REFUSED,
                    "an engine's part for each tenant: one tenant at least"),
            new Entry(
                    "fleet.node.loop.AllowanceCalculator",
                    "MAX_BLOCKED_QUOTAS",
                    "engines",
                    ENGINES,
                    SizeLine.NONE,
                    Beyond.LATER,
                    "engines told as barred; the rest is found where an attempt would be written"),
            new Entry(
                    "discovery.LineDecoder",
                    "MAX_LINE_BYTES",
                    "bytes",
                    OptionalDouble.of((double) OperatorSize.ENGINES * LISTED_ENGINE_BYTES),
                    SizeLine.ENGINES,
                    Beyond.REFUSED,
                    "the engine list is one line; a kilobyte for an engine with long names"),
            new Entry(
                    "config.GatewayConfig",
                    "DEFAULT_MAX_SOCKETS",
                    "descriptors",
                    OptionalDouble.of(3.0 * OperatorSize.CONNECTIONS_PER_GATEWAY),
                    SizeLine.CONNECTIONS,
                    Beyond.SETTING,
                    "the default of limits.sockets, of which clients get a third"),
            new Entry(
                    "eventloop.Acceptor",
                    "BACKLOG",
                    "connections",
                    UNKNOWN,
                    SizeLine.NONE,
                    Beyond.LATER,
                    "clients that wait to be accepted"));

    private CodeLimits() {}

    private static Entry members(String owner, String reason) {
        return new Entry(owner, "MAX_MEMBERS", "gateways", GATEWAYS, SizeLine.GATEWAYS, Beyond.REFUSED, reason);
    }

    private static Entry limits(String owner, String reason) {
        return new Entry(owner, "MAX_LIMITS", "limits", LIMITS, SizeLine.NONE, Beyond.REFUSED, reason);
    }

    /** Bytes of the agreed text with every gateway and one limit for each engine, as the class writes it. */
    private static OptionalDouble agreedText() {
        List<Member> members = IntStream.range(0, OperatorSize.GATEWAYS)
                .mapToObj(i -> new Member(
                        "gw-" + i,
                        "region-" + i % OperatorSize.REGIONS + "-zone-" + i % OperatorSize.ZONES,
                        "10.0.100.100",
                        PORT))
                .toList();
        List<LimitSpec> limits = IntStream.range(0, OperatorSize.LIMITS)
                .mapToObj(i -> new LimitSpec(
                        "engine-" + i,
                        new LimitScope(null, null, null, "engine-" + i),
                        LimitUnit.RUNNING,
                        LIMIT_EACH,
                        0))
                .toList();
        return OptionalDouble.of(
                new FleetConfig(1, members, limits, "", "").encode().length());
    }

    /** Every limit as a row: what is needed, beside the limit as its budget. */
    static List<ProjectionRow> rows() throws MissingLimitException {
        List<ProjectionRow> rows = new ArrayList<>();
        for (Entry e : ENTRIES) {
            rows.add(row(e, e.value()));
        }
        rows.addAll(verdicts());
        rows.addAll(links());
        return rows;
    }

    private static List<ProjectionRow> verdicts() {
        VerdictSettings d = VerdictSettings.DEFAULT;
        return List.of(
                row(
                        new Entry(
                                VERDICTS,
                                "maxEngines",
                                "engines",
                                ENGINES,
                                SizeLine.ENGINES,
                                Beyond.UNKNOWN_TO_IT,
                                "engines watched, those first in the list"),
                        d.maxEngines()),
                row(
                        new Entry(
                                VERDICTS,
                                "maxMembers",
                                "gateways",
                                GATEWAYS,
                                SizeLine.GATEWAYS,
                                Beyond.UNKNOWN_TO_IT,
                                "gateways whose evidence is kept, the first by name"),
                        d.maxMembers()));
    }

    private static List<ProjectionRow> links() {
        LinkSettings.Bounds d = LinkSettings.Bounds.DEFAULT;
        return List.of(
                row(
                        new Entry(
                                LINKS,
                                "accepted",
                                "links",
                                GATEWAYS,
                                SizeLine.GATEWAYS,
                                Beyond.REFUSED,
                                "links that a voter accepts: one from each gateway"),
                        d.maxAccepted()),
                row(
                        new Entry(
                                LINKS,
                                "greeting",
                                "links",
                                ZONE,
                                SizeLine.FAILURES,
                                Beyond.REFUSED,
                                "of them in their handshake: a zone that comes back"),
                        d.maxHandshaking()),
                row(
                        new Entry(
                                LINKS,
                                "frameBytes",
                                "bytes",
                                agreedText(),
                                SizeLine.CONFIGURATION,
                                Beyond.REFUSED,
                                "one frame, which holds the agreed text"),
                        d.maxFrameBytes()),
                row(
                        new Entry(
                                LINKS,
                                "queueBytes",
                                "bytes",
                                UNKNOWN,
                                SizeLine.NONE,
                                Beyond.REFUSED,
                                "what may wait for one peer"),
                        d.maxQueueBytes()),
                row(
                        new Entry(
                                LINKS,
                                "inboundBytes",
                                "bytes",
                                UNKNOWN,
                                SizeLine.NONE,
                                Beyond.LATER,
                                "received and not yet taken, over all peers"),
                        d.maxInboundBytes()));
    }

    private static ProjectionRow row(Entry e, double limit) {
        return new ProjectionRow(
                Section.CODE,
                "code",
                e.name(),
                e.reason,
                e.unit,
                "fixed",
                true,
                e.need.orElse(Double.NaN),
                OptionalDouble.empty(),
                OptionalDouble.empty(),
                OptionalDouble.of(limit),
                e.line,
                "sandpaddle." + e.owner,
                ProjectionRow.Ground.ARGUED,
                e.beyond.text);
    }
}
