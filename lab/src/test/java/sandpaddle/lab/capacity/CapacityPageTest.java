package sandpaddle.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import sandpaddle.config.InvalidFieldException;
import sandpaddle.config.JsonObject;

/** Compares the committed page with the measurements and the limits in the code, and tests the comparison itself. */
class CapacityPageTest {
    private static final Path PAGE = Path.of("docs", "CAPACITY.md");
    private static final Path MEASUREMENTS = Path.of("docs", "measurements", "capacity");
    private static final int EXIT_PAGE_DIFFERS = 3;
    private static final int EXIT_INVALID_INPUT = 2;

    @TempDir
    private Path folder;

    private static Map<String, List<String>> tables() throws Exception {
        return PageTables.of(CapacityReport.of(Measurements.read(MEASUREMENTS)));
    }

    private static int run(Object... arguments) {
        return new CommandLine(new CapacityCommand())
                .execute(
                        java.util.Arrays.stream(arguments).map(Object::toString).toArray(String[]::new));
    }

    @Test
    void committedPageMatchesMeasurements() throws Exception {
        assertEquals(
                List.of(),
                CapacityPage.differences(Files.readAllLines(PAGE), tables()),
                "after new measurements or limits: java -jar lab/target/lab.jar capacity --write docs/CAPACITY.md");
    }

    @Test
    void checkFailsOnChangedFigure() throws IOException {
        List<String> lines = new ArrayList<>(Files.readAllLines(PAGE));
        int row = 0;
        while (!lines.get(row).contains("fleet.member.Roster.MAX_MEMBERS` |")) {
            row++;
        }
        lines.set(row, lines.get(row).replaceFirst("1,024", "1,025"));
        Path changed = Files.write(folder.resolve("page.md"), lines);
        assertEquals(EXIT_PAGE_DIFFERS, run("--check", changed));
        assertEquals(0, run("--check", PAGE));
        assertEquals(0, run("--write", changed));
        assertEquals(Files.readAllLines(PAGE), Files.readAllLines(changed));
    }

    @Test
    void reportsEachDifferenceWithItsLine() {
        Map<String, List<String>> tables = Map.of("a", List.of("| 1 |", "| 2 |"));
        String begin = "<!-- table: a -->";
        String end = "<!-- end: a -->";
        assertEquals(
                List.of(),
                CapacityPage.differences(List.of("# Page", begin, "| 1 |", "| 2 |", end, "`7` [x](8.md)"), tables));
        assertEquals(
                List.of("line 4: is '| 3 |', measured: '| 2 |'"),
                CapacityPage.differences(List.of("# Page", begin, "| 1 |", "| 3 |", end), tables));
        assertEquals(
                List.of("line 3: is '', measured: '| 2 |'"),
                CapacityPage.differences(List.of(begin, "| 1 |", end), tables));
        assertEquals(
                List.of("line 4: is '| 9 |', measured: ''"),
                CapacityPage.differences(List.of(begin, "| 1 |", "| 2 |", "| 9 |", end), tables));
        assertEquals(List.of("table 'a' is missing"), CapacityPage.differences(List.of("# Page"), tables));
        assertEquals(
                List.of("line 1: table 'a' has no end"), CapacityPage.differences(List.of(begin, "| 1 |"), tables));
        assertTrue(CapacityPage.differences(List.of("it is 12 MB"), tables)
                .get(0)
                .startsWith("line 1: a figure outside a table"));
        assertTrue(CapacityPage.differences(List.of("<!-- table: b -->", "<!-- end: b -->"), tables)
                .contains("line 1: table 'b' is not known"));
        assertTrue(CapacityPage.differences(List.of(begin, "| 1 |", "| 2 |", end, begin, "| 1 |", "| 2 |", end), tables)
                .contains("line 5: table 'a' comes twice"));
    }

    @Test
    void reportsNoProjectionWithoutMeasurements() throws IOException, InvalidFieldException {
        Path json = folder.resolve("capacity.json");
        assertEquals(0, run("--measurements", folder.resolve("none"), "--json", json));
        JsonObject read = JsonObject.parse(Files.readAllBytes(json), "");
        assertTrue(read.objects("predictions").isEmpty());
        for (JsonObject row : read.objects("rows")) {
            assertEquals("argued", row.string("ground"));
        }
        List<String> unmeasured = new ArrayList<>();
        for (JsonObject missing : read.objects("noGround")) {
            assertEquals("no measurement", missing.string("reason"));
            unmeasured.add(missing.string("measure"));
        }
        assertTrue(unmeasured.containsAll(List.of("choice-cpu", "gatewayCpuCores", "snapshotBytes", "configLastMs")));
    }

    @Test
    void rejectsInvalidMeasurementsAndMissingPage() throws IOException {
        Files.writeString(folder.resolve("bad.json"), "{\"version\":1}");
        assertEquals(EXIT_INVALID_INPUT, run("--measurements", folder));
        assertEquals(EXIT_INVALID_INPUT, run("--check", folder.resolve("no-page.md")));
    }

    @Test
    void readsLimitsFromTheCode() throws CodeLimits.MissingLimitException {
        Map<String, Double> values = new java.util.HashMap<>();
        for (ProjectionRow row : CodeLimits.rows()) {
            values.put(row.mechanism() + " " + row.measure(), row.budget().orElseThrow());
        }
        assertEquals(
                sandpaddle.fleet.member.Roster.MAX_MEMBERS,
                values.get("sandpaddle.fleet.member.Roster Roster.MAX_MEMBERS"));
        assertEquals(64 << 10, values.get("sandpaddle.fleet.node.agree.FleetConfig FleetConfig.MAX_TEXT_BYTES"));
        assertEquals(
                16 << 20,
                values.get("sandpaddle.fleet.state.machine.FleetStateMachine FleetStateMachine.MAX_SNAPSHOT_BYTES"));
        assertEquals(5, values.get("sandpaddle.config.FleetSettingsReader FleetSettingsReader.MAX_FOUNDERS"));
        assertEquals(
                sandpaddle.fleet.limit.table.QuotaTable.MAX_SLOTS,
                values.get("sandpaddle.fleet.limit.table.QuotaTable QuotaTable.MAX_SLOTS"));
    }
}
