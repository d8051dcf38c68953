package sandpaddle.lab.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The subcommand {@code capacity}: projects the committed measurements to the planned fleet. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description =
                "Fits models to the committed measurements, projects each value to the planned size, compares it with "
                        + "its budget, and generates the tables of the capacity page.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:success; the page, if checked, is up to date",
            "1:unexpected failure",
            "2:invalid measurements or missing page",
            "3:the tables of the page differ from the measurements"
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  capacity --json capacity.json",
            "  capacity --check docs/CAPACITY.md",
            "  capacity --write docs/CAPACITY.md"
        })
public final class CapacityCommand implements Callable<Integer> {
    private static final int EXIT_INVALID_INPUT = 2;
    private static final int EXIT_PAGE_DIFFERS = 3;

    @Option(
            names = "--measurements",
            defaultValue = "docs/measurements/capacity",
            paramLabel = "DIR",
            description = "Directory of the measurements (${DEFAULT-VALUE}).")
    private Path measurements;

    @Option(names = "--json", paramLabel = "FILE", description = "File to write rows and predictions to.")
    private Path json;

    @Option(names = "--check", paramLabel = "PAGE", description = "Fails if the tables of the page differ.")
    private Path check;

    @Option(names = "--write", paramLabel = "PAGE", description = "Regenerates the tables of the page.")
    private Path write;

    @Override
    public Integer call() throws IOException {
        CapacityReport report;
        try {
            report = CapacityReport.of(Measurements.read(measurements));
        } catch (InvalidMeasurementsException | CodeLimits.MissingLimitException e) {
            System.err.println(e.getMessage());
            return EXIT_INVALID_INPUT;
        }
        Map<String, List<String>> tables = PageTables.of(report);
        if (json != null) {
            CapacityJson.write(report, json);
        }
        if (write != null) {
            Files.write(write, CapacityPage.withTables(Files.readAllLines(write), tables));
        }
        if (check != null) {
            return check(tables);
        }
        if (json == null && write == null) {
            tables.forEach((name, lines) -> System.out.println(name + "\n\n" + String.join("\n", lines) + "\n"));
        }
        return 0;
    }

    private int check(Map<String, List<String>> tables) throws IOException {
        if (!Files.isReadable(check)) {
            System.err.println(check + ": file not found or not readable");
            return EXIT_INVALID_INPUT;
        }
        List<String> differences = CapacityPage.differences(Files.readAllLines(check), tables);
        differences.forEach(difference -> System.err.println(check + ": " + difference));
        return differences.isEmpty() ? 0 : EXIT_PAGE_DIFFERS;
    }
}
