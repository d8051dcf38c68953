package sandpaddle.app;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import sandpaddle.simulator.SimulatorAdapter;
import sandpaddle.simulator.SimulatorProtocolException;

/** {@code adapter}: runs instances of the decision module under the simulator's protocol. */
@Command(
        name = "adapter",
        mixinStandardHelpOptions = true,
        description = "Serves the simulator's protocol on standard input and output until the input ends.")
final class SimulatorCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        try (var out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16)) {
            new SimulatorAdapter(System.in, out).run();
            return 0;
        } catch (SimulatorProtocolException e) {
            System.err.println("sandpaddle: " + e.getMessage());
        } catch (IOException e) {
            System.err.println("sandpaddle: input or output failed: " + e.getMessage());
        }
        return Main.EXIT_FAILURE;
    }
}
