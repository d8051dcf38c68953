package sandpaddle.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sandpaddle.decision.settings.DecisionSettings;

/**
 * The platform's configuration of one gateway. Maps the names of that file, except the settings object, which {@link
 * DecisionSettingsReader} maps, and the endpoint list events, which {@link EndpointListEvent} maps.
 *
 * @param name the gateway's own name
 * @param listenAddress where clients connect
 * @param seed of all random choices
 * @param maxSockets limit on the process's sockets
 * @param memoryLimitMb limit on the process's memory; 0 if none is given
 * @param discoveryAddress of the service that sends endpoint list events
 * @param initialListVersion version of the endpoint list that {@code initialListEvents} add up to
 * @param initialListEvents the endpoint list at the start
 * @param names the names of request classes, zones, engine kinds and load report fields in the settings
 * @param decisionSettings the settings of the decision module
 * @param engineIdleTimeout after which an unused connection to an engine is closed
 * @param connectTimeout for a connection to an engine
 * @param peersAllowed whether gateways may talk to each other
 * @param warnings a message for each setting that is missing or out of bounds, with the value that is used instead
 */
public record GatewayConfig(
        String name,
        InetSocketAddress listenAddress,
        long seed,
        int maxSockets,
        long memoryLimitMb,
        InetSocketAddress discoveryAddress,
        long initialListVersion,
        List<EndpointListEvent> initialListEvents,
        PlatformNames names,
        DecisionSettings decisionSettings,
        Duration engineIdleTimeout,
        Duration connectTimeout,
        boolean peersAllowed,
        List<String> warnings) {
    private static final String FILE_VARIABLE = "BALANCER_CONFIG";
    private static final String NAME_VARIABLE = "BALANCER_NAME";
    private static final String LISTEN_VARIABLE = "BALANCER_LISTEN";
    private static final String DEFAULT_NAME = "sandpaddle";
    private static final long DEFAULT_MAX_SOCKETS = 1024;
    private static final long DEFAULT_ENGINE_IDLE_US = 15_000_000;
    private static final long MIN_ENGINE_IDLE_US = 1_000; // no connection is reused
    private static final long DEFAULT_CONNECT_US = 250_000;
    private static final long MIN_CONNECT_US = 1_000;
    private static final int SEED_RADIX = 16;

    /**
     * Reads the file that the environment names. The environment also supplies the gateway's name and address if the
     * file lacks them.
     */
    public static GatewayConfig load(Map<String, String> environment) throws InvalidFieldException {
        String file = environment.get(FILE_VARIABLE);
        if (file == null || file.isBlank()) {
            throw new InvalidFieldException("environment variable " + FILE_VARIABLE + " is not set");
        }
        try {
            return parse(JsonObject.parse(Files.readAllBytes(Path.of(file)), "")
                    .withDefault("name", environment.get(NAME_VARIABLE))
                    .withDefault("listen", environment.get(LISTEN_VARIABLE)));
        } catch (IOException e) {
            throw new InvalidFieldException(FILE_VARIABLE + " names " + file + ", which cannot be read: " + e);
        }
    }

    /** A string that changes when the file that the environment names is replaced; empty if it cannot be examined. */
    public static String fileVersion(Map<String, String> environment) {
        try {
            Path file = Path.of(environment.getOrDefault(FILE_VARIABLE, ""));
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return attributes.lastModifiedTime() + " " + attributes.size() + " " + attributes.fileKey();
        } catch (IOException e) {
            return "";
        }
    }

    /** Reads the configuration from its JSON object. */
    public static GatewayConfig parse(JsonObject config) throws InvalidFieldException {
        JsonObject settings = config.object("settings");
        PlatformNames names = PlatformNames.read(settings);
        JsonObject initialList = config.objectOrEmpty("known");
        List<EndpointListEvent> events = initialListEvents(initialList, names);
        long lastVersion = events.isEmpty() ? 0 : events.get(events.size() - 1).version();
        JsonObject bounds = settings.object("bounds");
        List<String> warnings = new ArrayList<>();
        return new GatewayConfig(
                config.has("name") ? config.string("name") : DEFAULT_NAME,
                AddressParser.read(config, "listen"),
                seed(config),
                (int) integerAtLeast(config.objectOrEmpty("limits"), "sockets", DEFAULT_MAX_SOCKETS, 1),
                integerAtLeast(config.objectOrEmpty("limits"), "memory_mb", 0, 0),
                AddressParser.read(config, "feed"),
                initialList.integerOr("n", lastVersion),
                events,
                names,
                decisionSettings(settings, warnings),
                timeout(bounds, "conn_idle_us", DEFAULT_ENGINE_IDLE_US, MIN_ENGINE_IDLE_US, warnings),
                timeout(bounds, "connect_timeout_us", DEFAULT_CONNECT_US, MIN_CONNECT_US, warnings),
                bounds.flagOr("peers", false),
                warnings);
    }

    private static List<EndpointListEvent> initialListEvents(JsonObject initialList, PlatformNames names)
            throws InvalidFieldException {
        List<EndpointListEvent> events = new ArrayList<>();
        if (initialList.has("events")) {
            for (JsonObject event : initialList.objects("events")) {
                events.add(EndpointListEvent.parse(event, names));
            }
        }
        return events;
    }

    /**
     * Whether a running gateway can take over all of it: only discovery address and initial endpoint list may differ.
     */
    public boolean differsOnlyInDiscoveryFrom(GatewayConfig other) {
        return equals(new GatewayConfig(
                other.name,
                other.listenAddress,
                other.seed,
                other.maxSockets,
                other.memoryLimitMb,
                discoveryAddress,
                initialListVersion,
                initialListEvents,
                other.names,
                other.decisionSettings,
                other.engineIdleTimeout,
                other.connectTimeout,
                other.peersAllowed,
                other.warnings));
    }

    private static DecisionSettings decisionSettings(JsonObject settings, List<String> warnings)
            throws InvalidFieldException {
        try {
            return DecisionSettingsReader.read(settings, warnings);
        } catch (IllegalArgumentException e) {
            throw new InvalidFieldException(e.getMessage());
        }
    }

    private static long seed(JsonObject config) throws InvalidFieldException {
        if (!config.has("seed")) {
            return System.nanoTime(); // any value works: it only spreads random choices
        }
        try {
            return Long.parseUnsignedLong(config.string("seed"), SEED_RADIX);
        } catch (NumberFormatException e) {
            throw config.invalidField("seed", "is not 16 hex digits");
        }
    }

    private static long integerAtLeast(JsonObject object, String field, long defaultValue, long min)
            throws InvalidFieldException {
        long value = object.integerOr(field, defaultValue);
        if (value < min || value > Integer.MAX_VALUE) {
            throw object.invalidField(field, "is " + value + "; expected " + min + " to " + Integer.MAX_VALUE);
        }
        return value;
    }

    /** A timeout; the default if absent and the minimum if shorter, each with a warning, so that the gateway starts. */
    private static Duration timeout(JsonObject bounds, String field, long defaultUs, long minUs, List<String> warnings)
            throws InvalidFieldException {
        List<String> alreadyReported = new ArrayList<>(); // PlatformRulesReader reads the same fields
        long us = new LenientReader(bounds, alreadyReported).microsOr(field, defaultUs);
        if (!bounds.has(field) || us < minUs) {
            us = bounds.has(field) ? minUs : defaultUs;
            String found = bounds.has(field)
                    ? "is " + LenientReader.format(bounds.number(field)) + "; expected " + minUs + " or more"
                    : "is missing";
            warnings.add(bounds.invalidField(field, found + ": read as " + us).getMessage());
        }
        return Duration.of(us, ChronoUnit.MICROS);
    }
}
