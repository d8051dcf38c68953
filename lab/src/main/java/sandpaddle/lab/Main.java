package sandpaddle.lab;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import sandpaddle.lab.capacity.CapacityCommand;
import sandpaddle.lab.capacity.PathCommand;
import sandpaddle.lab.scale.ScaleCommand;

/** Command line of the lab. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        description = "Stand-in engines, feed and clients around real gateways; experiments, and their audit. All "
                + "traffic stays on loopback.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done; no rule was broken",
            "1:failed while running",
            "2:the command line cannot be used",
            "3:a rule was broken"
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  java -jar lab/target/lab.jar storm --short --json storm.json --events storm.jsonl",
            "  java -jar lab/target/lab.jar audit storm.jsonl --against storm.json",
            "  java -jar lab/target/lab.jar try"
        },
        subcommands = {
            RetryStormCommand.class,
            AuditCommand.class,
            ReportCommand.class,
            TryCommand.class,
            AskCommand.class,
            CostCommand.class,
            FleetCommand.class,
            ScaleCommand.class,
            PathCommand.class,
            CapacityCommand.class,
            CommandLine.HelpCommand.class
        })
public final class Main implements Callable<Integer> {
    /** Exit code of a run that violated a rule. */
    public static final int RULE_VIOLATED = 3;

    /** Runs a command and exits with its code. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new Main())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .execute(args));
    }

    @Override
    public Integer call() {
        CommandLine.usage(this, System.out);
        return 2;
    }
}
