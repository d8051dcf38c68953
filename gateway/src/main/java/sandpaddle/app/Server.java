package sandpaddle.app;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.tinylog.Logger;
import sandpaddle.config.GatewayConfig;
import sandpaddle.config.InvalidFieldException;
import sandpaddle.config.OperatorFile;
import sandpaddle.decision.DefaultDecisionModule;
import sandpaddle.decision.Micros;
import sandpaddle.decision.settings.RequestClass;
import sandpaddle.discovery.EndpointWatcher;
import sandpaddle.dispatch.Dispatcher;
import sandpaddle.engineclient.HttpEngineClient;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.fleet.node.FleetNode;
import sandpaddle.mysql.MysqlFrontend;
import sandpaddle.query.FleetCoordination;
import sandpaddle.query.Frontend;

/** One gateway: creates and connects its parts, runs the event loop, reloads its files and shuts down. */
public final class Server {
    /** Interval of the checks for a replaced configuration, where SIGHUP is ignored. */
    private static final Duration CONFIG_CHECK_INTERVAL = Duration.ofSeconds(1);
    /** In a turn that has taken this long, the endpoint list is read again before requests are sent. */
    private static final Duration LONG_TURN = Duration.ofMillis(20);

    private static final int MB_SHIFT = 20;
    private static final int CLIENT_SHARE_DIVISOR = 3; // clients get one in this many of the descriptors
    private static final int EXTRA_SESSIONS = 24; // for clients beyond that share and for those that are leaving
    private static final int MIN_ENGINE_SOCKETS = 16; // half of them are reserved for calls that cancel others
    private static final int NON_HEAP_MB = 48; // code, classes, stacks and direct buffers take 30 to 35 MB under load
    private static final int OTHER_DESCRIPTORS = 28; // 13 of the JVM, listener, discovery, a file being reread

    private final EventLoop loop;
    private final HttpEngineClient engines;
    private final Dispatcher dispatcher;
    private final List<Frontend> frontends;
    private final GatewayConfig config;
    private final ConfigSource configSource;
    private final OperatorSource operatorSource;
    private OperatorFile operatorFile;
    private final EndpointWatcher endpointWatcher;
    private final FleetNode fleet; // null if the fleet is off
    private volatile boolean shutdownRequested, reloadRequested, aborted;
    private final GracefulShutdown shutdown;

    /** Source of the configuration, which is read at the start and at each reload. */
    public interface ConfigSource {
        /** Reads the configuration. */
        GatewayConfig load() throws InvalidFieldException;

        /** A string that changes when the configuration is replaced; empty if that cannot be detected. */
        default String version() {
            return "";
        }
    }

    /** Source of the operator's file, which is read at the start and at each reload. */
    public interface OperatorSource {
        /** Reads the operator's file. */
        OperatorFile load() throws OperatorFile.InvalidFileException;
    }

    /** Creates a gateway without an operator's file. */
    public Server(ConfigSource configSource) throws IOException, InvalidFieldException {
        this(configSource, () -> OperatorFile.NONE, OperatorFile.NONE);
    }

    /**
     * Creates a gateway that listens; {@link #run} serves.
     *
     * @param configSource the platform's configuration
     * @param operatorSource the operator's file for reloads
     * @param operatorFile the operator's file as read for the start
     * @throws IOException if the address cannot be bound or the fleet node cannot be started
     * @throws InvalidFieldException if the configuration is invalid
     */
    public Server(ConfigSource configSource, OperatorSource operatorSource, OperatorFile operatorFile)
            throws IOException, InvalidFieldException {
        this.configSource = configSource;
        this.operatorSource = operatorSource;
        this.operatorFile = operatorFile;
        config = configSource.load();
        loop = new EventLoop();
        new WallClockMonitor(Clock.systemUTC(), loop).start();
        int maxSessions = config.maxSockets() / CLIENT_SHARE_DIVISOR + EXTRA_SESSIONS;
        int engineSockets = config.maxSockets() - maxSessions - MysqlFrontend.MAX_LINGERING - OTHER_DESCRIPTORS;
        config.warnings().forEach(warning -> Logger.warn("configuration: {}", warning));
        warnAboutLowLimits(engineSockets);
        engines = new HttpEngineClient(
                loop, config.connectTimeout(), config.engineIdleTimeout(), Math.max(MIN_ENGINE_SOCKETS, engineSockets));
        fleet = FleetStart.start(operatorFile, config, loop);
        if (fleet != null) {
            engines.setConnectionBudget(fleet.connections());
        }
        dispatcher = new Dispatcher(
                loop,
                new DefaultDecisionModule(config.decisionSettings(), config.seed()),
                config.decisionSettings(),
                config.names(),
                engines,
                fleet == null ? FleetCoordination.NONE : fleet.coordinator(),
                config.seed());
        if (fleet != null) {
            fleet.setQueryService(dispatcher);
        }
        dispatcher.applySettings(operatorFile.overload());
        config.initialListEvents().forEach(dispatcher::endpointListReceived);
        endpointWatcher = new EndpointWatcher(
                loop,
                config.discoveryAddress(),
                config.names(),
                config.initialListVersion(),
                dispatcher::endpointListReceived);
        endpointWatcher.start();
        frontends = List.of(new MysqlFrontend(
                loop,
                config.listenAddress(),
                dispatcher,
                maxSessions,
                config.seed(),
                MysqlFrontend.firstConnectionId(Instant.now())));
        shutdown = new GracefulShutdown(
                loop,
                dispatcher,
                engines,
                frontends,
                Micros.span(config.decisionSettings().classes().stream()
                        .mapToLong(RequestClass::deadlineUs)
                        .max()
                        .orElse(0)),
                loop::stop);
        Logger.info("{} listens on {}", config.name(), address());
    }

    /** Warns about limits below the worst case. The gateway serves nevertheless, since it rarely needs that much. */
    private void warnAboutLowLimits(int engineSockets) {
        if (engineSockets < MIN_ENGINE_SOCKETS) {
            Logger.warn(
                    "field 'limits.sockets' is {}: fewer than {} sockets remain for engines",
                    config.maxSockets(),
                    MIN_ENGINE_SOCKETS);
        }
        long requiredMb = (Runtime.getRuntime().maxMemory() >> MB_SHIFT) + NON_HEAP_MB;
        if (config.memoryLimitMb() > 0 && config.memoryLimitMb() < requiredMb) {
            Logger.warn(
                    "field 'limits.memory_mb' is {}: with a full heap this process needs {} MB",
                    config.memoryLimitMb(),
                    requiredMb);
        }
    }

    /** Serves until {@link #shutDown} or {@link #abort} takes effect. */
    public void run() throws IOException {
        try {
            loop.run(this::endOfTurn);
        } finally {
            if (fleet != null) {
                fleet.close();
            }
        }
    }

    /** The address on which clients connect. */
    public InetSocketAddress address() throws IOException {
        return frontends.get(0).address();
    }

    private void endOfTurn() {
        if (aborted) {
            frontends.forEach(Frontend::stopListening);
            loop.stop();
        }
        if (reloadRequested) {
            reloadRequested = false;
            loop.releaseClosedChannels(); // frees descriptors for the files
            reloadOperator();
            reload();
        }
        if (Duration.between(loop.now(), loop.currentTime()).compareTo(LONG_TURN) >= 0) {
            endpointWatcher.readAvailable();
        }
        dispatcher.processEvents();
        if (shutdownRequested) {
            shutdown.begin();
        }
        shutdown.endOfTurn();
    }

    /**
     * Applies the parts of the configuration that may change while serving: the address of the discovery service and
     * the initial endpoint list. An invalid file is logged and changes nothing.
     */
    private void reload() {
        GatewayConfig next;
        try {
            next = configSource.load();
        } catch (InvalidFieldException e) {
            Logger.error("configuration not applied: {}", e.getMessage());
            return;
        }
        if (!next.differsOnlyInDiscoveryFrom(config)) {
            Logger.warn("configuration: only 'feed' and 'known' are applied now, other changes at the next start");
        }
        if (next.names().equals(config.names())) { // events refer to these names by index
            next.initialListEvents().forEach(endpointWatcher::apply);
        }
        endpointWatcher.setAddress(next.discoveryAddress());
    }

    /** Applies the operator's file as a whole; one with an error changes nothing. */
    private void reloadOperator() {
        try {
            OperatorFile next = operatorSource.load();
            if (!next.equals(operatorFile)) {
                if (!next.log().equals(operatorFile.log())) {
                    Logger.warn("operator's file: 'log' takes effect at the next start");
                }
                dispatcher.applySettings(next.overload());
                FleetStart.reload(fleet, operatorFile, next);
                operatorFile = next;
                Logger.info("operator's file applied");
            }
        } catch (OperatorFile.InvalidFileException e) {
            e.errors().messages().forEach(message -> Logger.error("operator's file not applied: {}", message));
        }
    }

    /** Starts checking every second whether the configuration was replaced. To be called before {@link #run}. */
    public void watchConfig() {
        checkConfigLater(configSource.version());
    }

    private void checkConfigLater(String knownVersion) {
        loop.scheduleAfter(CONFIG_CHECK_INTERVAL, () -> {
            String next = configSource.version();
            reloadRequested |= !next.isEmpty() && !next.equals(knownVersion);
            checkConfigLater(next.isEmpty() ? knownVersion : next);
        });
    }

    /** Requests a reload of the configuration and the operator's file. May be called from any thread. */
    public void reloadConfig() {
        reloadRequested = true;
        loop.wakeup();
    }

    /** Stops at once without answering open queries. May be called from any thread. */
    public void abort() {
        aborted = true;
        loop.wakeup();
    }

    /** Requests a graceful shutdown, see {@link GracefulShutdown}. May be called from any thread. */
    public void shutDown() {
        shutdownRequested = true;
        loop.wakeup();
    }
}
