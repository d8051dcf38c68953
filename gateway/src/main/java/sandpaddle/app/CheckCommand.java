package sandpaddle.app;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import sandpaddle.config.GatewayConfig;
import sandpaddle.config.InvalidFieldException;
import sandpaddle.config.SchemaValidator;

/** {@code check}: prints every error of an operator's file, but only the first error of a platform's configuration. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Validates files without serving. Prints every error of an operator's file, as "
                + "FILE:LINE:COLUMN: KEY: found VALUE; allowed: VALUES, and the first error of a platform's "
                + "configuration, as FILE: MESSAGE. The last line for each file is FILE: valid or FILE: errors: COUNT.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:every file is valid", "2:a file is invalid or cannot be read"},
        footerHeading = "%nExamples:%n",
        footer = {"  check deploy/sandpaddle.json", "  check --config /run/balancer/config.json"})
final class CheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", arity = "0..*", description = "An operator's file to check.")
    private List<Path> files = new ArrayList<>();

    @Option(
            names = "--config",
            paramLabel = "FILE",
            description = "A platform's configuration to check; prints its first error only.")
    private List<Path> configs = new ArrayList<>();

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        if (files.isEmpty() && configs.isEmpty()) {
            throw new ParameterException(spec.commandLine(), "Name a file to check.");
        }
        boolean allValid = true;
        SchemaValidator schema = files.isEmpty() ? null : new SchemaValidator();
        for (Path file : files) {
            allValid &= report(file, operatorFileErrors(schema, file));
        }
        for (Path config : configs) {
            allValid &= report(config, configErrors(config));
        }
        return allValid ? 0 : Main.EXIT_INVALID;
    }

    private static boolean report(Path file, List<String> errors) {
        errors.forEach(System.out::println);
        System.out.println(file + (errors.isEmpty() ? ": valid" : ": errors: " + errors.size()));
        return errors.isEmpty();
    }

    private static List<String> operatorFileErrors(SchemaValidator schema, Path file) {
        try {
            return schema.validate(file.toString(), Files.readAllBytes(file)).messages();
        } catch (IOException e) {
            return List.of(file + ": cannot be read: " + e);
        }
    }

    private static List<String> configErrors(Path config) {
        try {
            GatewayConfig.load(Map.of("BALANCER_CONFIG", config.toString(), "BALANCER_LISTEN", "127.0.0.1:1"));
            return List.of();
        } catch (InvalidFieldException e) {
            return List.of(config + ": " + e.getMessage());
        }
    }
}
