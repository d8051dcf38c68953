package sandpaddle.lab;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sandpaddle.config.InvalidFieldException;

/**
 * The {@code cost} command: measures the CPU time of a request in the decision module, by engines listed and requests
 * held. Drives the module with a simulated clock; the figure is the median of several rounds in one process, and only
 * ratios between figures are meaningful.
 */
@Command(
        name = "cost",
        mixinStandardHelpOptions = true,
        description =
                "Measures the CPU time of a request in the decision module, by engines listed and requests held: the "
                        + "event that submits it, its answer, and its share of the periodic sweeps.",
        footerHeading = "%nExamples:%n",
        footer = {"  cost", "  cost --engines 30,60,1000 --held 0,1000"})
final class CostCommand implements Callable<Integer> {
    private static final int ROUNDS = 7; // including the warm-up rounds
    private static final int WARM_UP_ROUNDS = 2;

    @Option(
            names = "--engines",
            split = ",",
            defaultValue = "8,30,60,200,1000",
            paramLabel = "N",
            description = "Engines listed (${DEFAULT-VALUE}).")
    private List<Integer> engines;

    @Option(
            names = "--held",
            split = ",",
            defaultValue = "0,100,1000",
            paramLabel = "N",
            description = "Requests queued meanwhile (${DEFAULT-VALUE}).")
    private List<Integer> held;

    @Option(
            names = "--requests",
            defaultValue = "2000",
            paramLabel = "N",
            description = "Requests per round (${DEFAULT-VALUE}).")
    private int requests;

    @Override
    public Integer call() throws IOException, InvalidFieldException {
        System.out.printf("%8s %8s %12s %8s%n", "engines", "held", "us a request", "ratio");
        double first = Double.NaN;
        for (int h : held) {
            for (int e : engines) {
                double[] rounds = new double[ROUNDS];
                for (int i = 0; i < ROUNDS; i++) {
                    rounds[i] = new DecisionCost(e, h).microsPerRequest(requests);
                }
                double[] warm = Arrays.copyOfRange(rounds, WARM_UP_ROUNDS, ROUNDS);
                Arrays.sort(warm);
                double median = warm[warm.length / 2];
                first = Double.isNaN(first) ? median : first;
                System.out.printf("%8d %8d %12.1f %8.1f%n", e, h, median, median / first);
            }
        }
        return 0;
    }
}
