package sandpaddle.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sandpaddle.config.InvalidFieldException;
import sandpaddle.config.JsonObject;
import sandpaddle.lab.DecisionCost;
import sandpaddle.lab.ProcessUsage;
import sandpaddle.lab.ProcessUsage.CpuTimes;

/** Tests points of request path measurements and the probes that they use. */
class PathMeasurementTest {
    @Test
    void writesSizesMedianAndEachRepeat(@TempDir Path folder) throws IOException, InvalidFieldException {
        PathMeasurement point =
                PathMeasurement.of("v1", "choice-cpu", Map.of("engines", 100.0), "us", List.of(9.0, 3.0, 5.0));
        Path file = point.write(folder);
        assertEquals("path-choice-cpu-engines-100.json", file.getFileName().toString());
        JsonObject read = JsonObject.parse(Files.readAllBytes(file), "");
        assertEquals("v1", read.string("version"));
        assertEquals(100.0, read.object("sizes").number("engines"));
        assertEquals(5.0, read.number("value"), "the median");
        assertEquals(List.of(9.0, 3.0, 5.0), read.list("repeats"));
    }

    @Test
    void decisionCostGrowsWithEngines() throws IOException, InvalidFieldException {
        double few = new DecisionCost(10, 0).microsPerRequest(200);
        double many = new DecisionCost(3000, 0).microsPerRequest(200);
        assertTrue(few > 0 && many > few, few + " us and " + many + " us");
    }

    @Test
    void readsUsageOfThisProcess() throws IOException {
        ProcessUsage usage = new ProcessUsage(ProcessHandle.current().pid());
        CpuTimes before = usage.cpuTimes();
        long until = System.nanoTime() + 50_000_000;
        while (System.nanoTime() < until) {
            Thread.onSpinWait();
        }
        assertTrue(usage.cpuTimes().secondsSince(before) > 0);
        assertTrue(before.secondsSince(CpuTimes.NONE) > 0);
        assertTrue(usage.residentMb() > 10);
        assertTrue(usage.descriptors() > 2);
    }
}
