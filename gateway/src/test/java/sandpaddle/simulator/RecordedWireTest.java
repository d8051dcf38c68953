package sandpaddle.simulator;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import sandpaddle.recorded.RecordedFile;

/**
 * Compares the adapter's output for a recorded input with the recorded output. The input has two gateways and covers
 * each event and each outcome of the simulator's protocol; it was generated from random workloads of the decision
 * module.
 */
class RecordedWireTest {
    @Test
    void outputEqualsTheRecordedOne() throws Exception {
        String input = String.join("\n", new RecordedFile("wire-input.txt").lines()) + "\n";
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        new SimulatorAdapter(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), output).run();
        new RecordedFile("wire-output.txt")
                .check(output.toString(StandardCharsets.UTF_8).lines().toList());
    }
}
