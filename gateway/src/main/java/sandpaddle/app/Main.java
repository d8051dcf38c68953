package sandpaddle.app;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The command line. The simple forms of the commands that the platform starts are parsed without picocli, which takes
 * 70 to 100 ms of CPU time beside the 200 ms until the gateway listens; it may be started under load with half a core.
 */
@Command(
        name = "sandpaddle",
        mixinStandardHelpOptions = true,
        versionProvider = VersionCommand.class,
        description = "A gateway in front of analytic query engines.",
        synopsisSubcommandLabel = "COMMAND",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:success", "1:failure while running", "2:the command line or a file is invalid"},
        footerHeading = "%nExamples:%n",
        footer = {
            "  BALANCER_CONFIG=examples/config.json java -jar sandpaddle.jar serve",
            "  java -jar sandpaddle.jar check deploy/sandpaddle.json",
            "  java -jar sandpaddle.jar help serve"
        },
        subcommands = {
            ServeCommand.class,
            SimulatorCommand.class,
            CheckCommand.class,
            FleetCommand.class,
            VersionCommand.class,
            CommandLine.HelpCommand.class
        })
public final class Main {
    /** Exit code: the command line, or a file that it names, is invalid. */
    static final int EXIT_INVALID = 2;
    /** Exit code: failure while running. */
    static final int EXIT_FAILURE = 1;

    /** Runs the command, and exits the process if it fails. */
    public static void main(String[] args) {
        int exitCode = run(args);
        if (exitCode != 0) {
            System.exit(exitCode);
        }
    }

    static int run(String... args) {
        ServeCommand serve = ServeCommand.parseSimple(args);
        if (serve != null) {
            return serve.call();
        }
        boolean isAdapter = args.length == 1 && args[0].equals("adapter");
        return isAdapter
                ? new SimulatorCommand().call()
                : new CommandLine(new Main())
                        .setCaseInsensitiveEnumValuesAllowed(true)
                        .execute(args);
    }
}
