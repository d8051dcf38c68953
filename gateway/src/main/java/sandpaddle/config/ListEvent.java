package sandpaddle.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sandpaddle.decide.Gateway;

/** A numbered change of the engine list, as the configuration and the control feed hold it. */
public record ListEvent(long number, boolean whole, List<Host> hosts) {
    private static final Map<String, Gateway.Status> HEALTH = Map.of("Ready", Gateway.Status.UP, "Terminating",
            Gateway.Status.DRAINING, "Gone", Gateway.Status.GONE);
    private static final long US_IN_MS = 1000;

    /** An engine's line, with where to reach it. */
    public record Host(Gateway.EngineEntry entry, InetSocketAddress address) { }

    /** An event; one that says nothing of the list has no hosts. */
    public static ListEvent read(Row event, Names names) throws FieldException {
        long number = event.integer("n");
        List<Host> hosts = new ArrayList<>();
        if (!event.has("members")) {
            return new ListEvent(number, false, hosts);
        }
        Row members = event.row("members");
        for (Row h : members.rows("hosts")) {
            hosts.add(new Host(new Gateway.EngineEntry(h.text("host"), position(h, "site", names.zones()),
                    position(h, "class", names.kinds()), (int) h.integerOr("block", 0), h.oneOf("health", HEALTH),
                    h.numberOr("share", 1), h.integerOr("born_ms", 0) * US_IN_MS), Address.read(h, "dial")));
        }
        return new ListEvent(number, members.flagOr("whole", false), hosts);
    }

    private static int position(Row row, String field, List<String> names) throws FieldException {
        int i = names.indexOf(row.text(field));
        if (i < 0) {
            throw row.wrong(field, "has the unknown value '" + row.text(field) + "'");
        }
        return i;
    }
}
