package sandpaddle.app;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import org.tinylog.Logger;
import org.tinylog.configuration.Configuration;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sandpaddle.config.GatewayConfig;
import sandpaddle.config.InvalidFieldException;
import sandpaddle.config.LogSettings;
import sandpaddle.config.OperatorFile;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** {@code serve}: runs one gateway until SIGTERM. SIGHUP makes it reread its files. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = "Runs one gateway. The environment variable BALANCER_CONFIG names the platform's "
                + "configuration. On SIGHUP it rereads both files; on SIGTERM it answers open queries and exits.",
        footerHeading = "%nExamples:%n",
        footer = {
            "  BALANCER_CONFIG=examples/config.json java -jar sandpaddle.jar serve",
            "  ... serve --operator deploy/sandpaddle.json --log json"
        })
final class ServeCommand implements Callable<Integer> {
    private static final long MAX_SHUTDOWN_MS = 10_000;
    private static final Map<String, LogSettings.Format> LOG_FORMATS =
            Map.of("human", LogSettings.Format.HUMAN, "json", LogSettings.Format.JSON);

    @Option(
            names = "--operator",
            paramLabel = "FILE",
            description = "The operator's file (JSON). Without it every feature that it configures is off.")
    private Path operator;

    @Option(
            names = "--log",
            paramLabel = "FORMAT",
            description = "Format of the log on standard error: human or json. Overrides the operator's file.")
    private LogSettings.Format log;

    /**
     * Parses a simple command line with the same result as picocli; null for any other one, such as a request for help,
     * an abbreviation or an invalid option, which is left to picocli and its messages.
     */
    static ServeCommand parseSimple(String... args) {
        if (args.length % 2 == 0 || !args[0].equals("serve")) {
            return null;
        }
        ServeCommand command = new ServeCommand();
        for (int i = 1; i < args.length; i += 2) {
            String value = args[i + 1];
            if (args[i].equals("--operator") && command.operator == null && !value.startsWith("-")) {
                command.operator = Path.of(value);
            } else if (args[i].equals("--log") && command.log == null && LOG_FORMATS.containsKey(value)) {
                command.log = LOG_FORMATS.get(value);
            } else {
                return null;
            }
        }
        return command;
    }

    Path operator() {
        return operator;
    }

    LogSettings.Format log() {
        return log;
    }

    @Override
    public Integer call() {
        ReloadOnHangUp hangUp = new ReloadOnHangUp();
        boolean isHandled = handleHangUp(hangUp); // first, since the signal ends the process until then
        try {
            Server.OperatorSource source = () -> operator == null ? OperatorFile.NONE : OperatorFile.load(operator);
            OperatorFile file = source.load();
            configureLog(file.log());
            Server server = new Server(new Environment(), source, file);
            hangUp.setReload(server::reloadConfig);
            if (!isHandled) {
                Logger.warn("SIGHUP is ignored by this process, as under nohup: "
                        + "the configuration is checked for changes every second");
                server.watchConfig();
            }
            Thread main = Thread.currentThread();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                server.shutDown();
                try {
                    main.join(MAX_SHUTDOWN_MS); // the JVM exits once this hook has returned
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }));
            server.run();
            return 0;
        } catch (OperatorFile.InvalidFileException e) {
            e.errors().messages().forEach(message -> System.err.println("sandpaddle: " + message));
            return Main.EXIT_INVALID;
        } catch (InvalidFieldException e) {
            System.err.println("sandpaddle: configuration: " + e.getMessage());
            return Main.EXIT_INVALID;
        } catch (IOException e) {
            System.err.println("sandpaddle: cannot serve: " + e);
            return Main.EXIT_FAILURE;
        }
    }

    /** Configures the log. Must be called before the first entry, at which tinylog reads its configuration. */
    private void configureLog(LogSettings settings) {
        LogSettings.Format format = log == null ? settings.format() : log;
        Configuration.set("writer.format", format.name().toLowerCase(Locale.ROOT));
        Configuration.set("level", settings.level().name().toLowerCase(Locale.ROOT));
    }

    /** The configuration that the environment names. */
    private static final class Environment implements Server.ConfigSource {
        @Override
        public GatewayConfig load() throws InvalidFieldException {
            return GatewayConfig.load(System.getenv());
        }

        @Override
        public String version() {
            return GatewayConfig.fileVersion(System.getenv());
        }
    }

    /** Handles SIGHUP; a signal that arrives before the server is created is handled afterwards. */
    private static final class ReloadOnHangUp implements Runnable {
        private Runnable reload;
        private boolean isSignaled;

        @Override
        public synchronized void run() {
            isSignaled = true;
            if (reload != null) {
                reload.run();
            }
        }

        synchronized void setReload(Runnable task) {
            reload = task;
            if (isSignaled) {
                reload.run();
            }
        }
    }

    /**
     * Replaces the JVM's handler of SIGHUP, which ends the process. The task runs in a thread of the JVM.
     *
     * @return whether the signal is handled; a JVM that was started with the signal ignored keeps ignoring it
     */
    static boolean handleHangUp(Runnable task) {
        return Signal.handle(new Signal("HUP"), signal -> task.run()) != SignalHandler.SIG_IGN;
    }
}
