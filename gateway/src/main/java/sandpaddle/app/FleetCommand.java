package sandpaddle.app;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sandpaddle.config.OperatorFile;
import sandpaddle.fleet.FleetSettings;
import sandpaddle.fleet.node.agree.VoterDirectory;
import sandpaddle.fleet.store.StoreException;

/** {@code fleet}: maintenance of a fleet's directories. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = "Maintains the directories of a fleet.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = FleetCommand.Format.class)
final class FleetCommand {

    /** {@code fleet format}: initializes the directory of a founder. */
    @Command(
            name = "format",
            mixinStandardHelpOptions = true,
            description = "Initializes a fleet: writes this gateway's first identity into its empty directory. Run it "
                    + "once for each founder before its first start. Never format a directory again after it was "
                    + "lost: start the gateway without one, and the other gateways make it a voter again.",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:formatted",
                "1:the directory cannot be written",
                "2:the file or the directory cannot be used"
            },
            footerHeading = "%nExamples:%n",
            footer = "  fleet format --operator deploy/sandpaddle.json --name n0")
    static final class Format implements Callable<Integer> {
        @Option(names = "--operator", required = true, paramLabel = "FILE", description = "The operator's file.")
        private Path operator;

        @Option(
                names = "--name",
                required = true,
                paramLabel = "NAME",
                description = "This gateway's name, one of its 'founders'.")
        private String name;

        @Override
        public Integer call() {
            try {
                FleetSettings fleet = OperatorFile.load(operator).fleet().orElse(FleetSettings.OFF);
                if (fleet.directory() == null || fleet.cluster().isEmpty()) {
                    System.err.println("sandpaddle: " + operator + ": 'fleet' has no 'directory' or no 'cluster'");
                    return Main.EXIT_INVALID;
                }
                Optional<String> problem = VoterDirectory.format(fleet, name);
                problem.ifPresent(message -> System.err.println("sandpaddle: " + fleet.directory() + ": " + message));
                if (problem.isEmpty()) {
                    System.out.println(fleet.directory() + ": formatted for " + name + " of " + fleet.cluster()
                            + ", founders " + fleet.founders());
                }
                return problem.isPresent() ? Main.EXIT_INVALID : 0;
            } catch (OperatorFile.InvalidFileException e) {
                e.errors().messages().forEach(message -> System.err.println("sandpaddle: " + message));
                return Main.EXIT_INVALID;
            } catch (StoreException e) {
                System.err.println("sandpaddle: " + e.kind() + ": " + e.getMessage());
                return Main.EXIT_FAILURE;
            }
        }
    }
}
