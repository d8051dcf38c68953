package sandpaddle.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests reading of valid measurement files and rejection of invalid ones. */
class MeasurementsTest {
    private static final String RUN = """
            {"version":"v1","mechanism":"star","gateways":100,"engines":8,"controlMachines":3,"limits":4,
            "changesPerSecond":0.36,"fault":"none","gatewayBytesPerSecond":1200.5,"configLastMs":null,
            "leaderLastMs":7,"roles":[
            {"role":"leader","count":1,"bytesInPerSecond":5,"snapshotBytes":null,
            "cpuByThread":{"fleet":0.25,"VM Thread":0.1}},
            {"role":"voter","count":0,"bytesInPerSecond":5},
            {"role":"hollow-host","count":2,"bytesInPerSecond":5}]}
            """;

    @TempDir
    private Path folder;

    private Measurements read(String... files) throws IOException, InvalidMeasurementsException {
        for (int i = 0; i < files.length; i++) {
            Files.writeString(folder.resolve("m" + i + ".json"), files[i]);
        }
        return Measurements.read(folder);
    }

    @Test
    void readsEachNonNullFigureOfAScaleRun() throws IOException, InvalidMeasurementsException {
        Measurements measurements = read(RUN);
        assertEquals(
                Set.of("worst gateway, gatewayBytesPerSecond", "leader, bytesInPerSecond", "leader, cpuByThread.fleet"),
                measurements.samples().stream()
                        .map(s -> s.series().role() + ", " + s.series().measure())
                        .collect(Collectors.toSet()));
        assertEquals(100.0, measurements.samples().get(0).sizes().get(Axis.GATEWAYS));
        assertEquals(List.of(), measurements.faults());
    }

    @Test
    void readsOnlyFaultEffectsOfARunWithAFault() throws IOException, InvalidMeasurementsException {
        Measurements measurements = read(RUN.replace("\"none\"", "\"control-machine\""));
        assertEquals(Map.of("leaderLastMs", 7.0), measurements.faults().get(0).figures());
        assertEquals(
                List.of("leaderLastMs"),
                measurements.samples().stream().map(s -> s.series().measure()).toList());
    }

    @Test
    void readsEachRepeatOfAPathMeasurement() throws IOException, InvalidMeasurementsException {
        Measurements measurements =
                read("{\"version\":\"v1\",\"kind\":\"choice-cpu\",\"sizes\":{\"engines\":100},\"value\":2,"
                        + "\"unit\":\"us\",\"repeats\":[1,2,3]}");
        assertEquals(
                List.of(1.0, 2.0, 3.0),
                measurements.samples().stream().map(Sample::value).toList());
        assertEquals("us", measurements.samples().get(0).unit());
    }

    @Test
    void readsNothingFromAMissingFolder() throws IOException, InvalidMeasurementsException {
        assertEquals(List.of(), Measurements.read(folder.resolve("none")).samples());
    }

    @Test
    void reportsAllInvalidFilesAtOnce() {
        InvalidMeasurementsException e = assertThrows(
                InvalidMeasurementsException.class,
                () -> read(
                        "no JSON",
                        "[]",
                        "{}",
                        RUN.replace("\"version\":\"v1\",", ""),
                        RUN.replace(":100,", ":-1,"),
                        RUN.replace("1200.5", "\"much\""),
                        "{\"version\":\"v1\",\"kind\":\"k\",\"sizes\":{\"planets\":9},\"unit\":\"us\",\"repeats\":[1]}",
                        "{\"version\":\"v1\",\"kind\":\"k\",\"sizes\":{\"engines\":9},\"unit\":\"us\",\"repeats\":[]}",
                        "{\"version\":\"v1\",\"kind\":\"k\",\"sizes\":{\"engines\":9},\"unit\":\"us\","
                                + "\"repeats\":[\"x\"]}"));
        List<String> faults = e.getMessage().lines().toList();
        assertEquals(9, faults.size(), e.getMessage());
        for (int i = 0; i < faults.size(); i++) {
            assertTrue(faults.get(i).contains("m" + i + ".json: "), faults.get(i));
        }
        assertTrue(faults.get(3).contains("version"), faults.get(3));
        assertTrue(faults.get(4).contains("gateways"), faults.get(4));
        assertTrue(faults.get(5).contains("gatewayBytesPerSecond"), faults.get(5));
    }
}
