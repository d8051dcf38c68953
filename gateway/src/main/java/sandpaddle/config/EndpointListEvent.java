package sandpaddle.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineStatus;

/**
 * A versioned change of the endpoint list, as the configuration and the discovery service send it. Maps the names of
 * that format.
 *
 * <p>An event is used as far as it can be read. An engine whose entry is invalid gets no new requests, as if it were
 * draining. A full list without one valid entry counts as no list, so that a fault of the discovery service does not
 * take every engine out of service.
 *
 * @param version of the list after this change
 * @param fullList whether {@code engines} replaces the list; otherwise it holds changed entries
 * @param engines the entries
 * @param errors one message for each invalid field
 */
public record EndpointListEvent(long version, boolean fullList, List<ListedEngine> engines, List<String> errors) {
    private static final Map<String, EngineStatus> STATUS_BY_HEALTH =
            Map.of("Ready", EngineStatus.UP, "Terminating", EngineStatus.DRAINING, "Gone", EngineStatus.REMOVED);
    private static final long US_PER_MS = 1000;
    private static final int UNKNOWN = -1;
    private static final double DEFAULT_RATING = 1;

    /** An engine's entry with its address, which may be null if the engine is not up. */
    public record ListedEngine(EngineEntry entry, InetSocketAddress address) {}

    /** Reads an event. One without a list, such as a heartbeat, has no engines. Only a missing version is an error. */
    public static EndpointListEvent parse(JsonObject event, PlatformNames names) throws InvalidFieldException {
        long version = event.integer("n");
        List<ListedEngine> engines = new ArrayList<>();
        List<String> errors = new ArrayList<>();
        boolean isFull = false;
        if (event.has("members")) {
            try {
                JsonObject list = event.object("members");
                isFull = list.flagOr("whole", false);
                for (JsonObject host : list.objects("hosts")) {
                    readEngine(host, names, engines, errors);
                }
            } catch (InvalidFieldException e) {
                errors.add(e.getMessage());
            }
        }
        return new EndpointListEvent(version, isFull && (errors.isEmpty() || !engines.isEmpty()), engines, errors);
    }

    private static void readEngine(
            JsonObject host, PlatformNames names, List<ListedEngine> engines, List<String> errors) {
        String id;
        try {
            id = host.string("host");
        } catch (InvalidFieldException e) {
            errors.add(e.getMessage());
            return;
        }
        EngineStatus status = EngineStatus.DRAINING; // unless every field is valid
        InetSocketAddress address = null;
        int zone = UNKNOWN;
        int kind = UNKNOWN;
        long cell = 0;
        double rating = DEFAULT_RATING;
        long startedMs = 0;
        try {
            zone = indexOfName(host, "site", names.zones(), errors);
            kind = indexOfName(host, "class", names.engineKinds(), errors);
            cell = host.integerOr("block", 0);
            rating = host.numberOr("share", DEFAULT_RATING);
            startedMs = host.integerOr("born_ms", 0);
            EngineStatus listedStatus = host.oneOf("health", STATUS_BY_HEALTH);
            boolean hasAddress = listedStatus == EngineStatus.UP || host.has("dial");
            address = hasAddress ? AddressParser.read(host, "dial") : null;
            status = listedStatus;
        } catch (InvalidFieldException e) {
            errors.add(e.getMessage() + " (engine " + id + ")");
        }
        EngineEntry entry = new EngineEntry(id, zone, kind, (int) cell, status, rating, startedMs * US_PER_MS);
        engines.add(new ListedEngine(entry, address));
    }

    /**
     * The index of a name in the settings. An absent name stands for the only one there is. A name that the settings
     * lack gets a negative index of its own, derived from its hash: two such zones must not count as one.
     */
    private static int indexOfName(JsonObject host, String field, List<String> names, List<String> errors)
            throws InvalidFieldException {
        if (!host.has(field) && names.size() <= 1) {
            return names.size() - 1;
        }
        String name = host.string(field);
        int index = names.indexOf(name);
        if (index < 0 && !names.isEmpty()) {
            String problem = "has the unknown value '" + name + "'";
            errors.add(host.invalidField(field, problem).getMessage());
        }
        return index >= 0 ? index : UNKNOWN - 1 - (name.hashCode() & Integer.MAX_VALUE >>> 1);
    }
}
