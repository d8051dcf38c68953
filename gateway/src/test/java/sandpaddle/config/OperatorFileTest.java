package sandpaddle.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sandpaddle.overload.OverloadSettings;

/** {@link OperatorFile}: valid files, errors with their positions, and the pool policy. */
class OperatorFileTest {
    private static List<String> errorsOf(String text) {
        ValidationErrors errors = new ValidationErrors("f.json");
        assertThrows(
                OperatorFile.InvalidFileException.class,
                () -> OperatorFile.parse(text.getBytes(StandardCharsets.UTF_8), errors));
        return errors.messages();
    }

    private static OperatorFile read(String text) throws OperatorFile.InvalidFileException {
        return OperatorFile.parse(text.getBytes(StandardCharsets.UTF_8), new ValidationErrors("f.json"));
    }

    @Test
    void acceptsTheShippedFile() throws Exception {
        Path file = Path.of("deploy/sandpaddle.json");
        OperatorFile.load(file);
        assertEquals(
                List.of(),
                new SchemaValidator().validate("f", Files.readAllBytes(file)).messages());
    }

    @Test
    void emptyFileLeavesEveryFeatureOff() throws Exception {
        assertEquals(OperatorFile.NONE, read("{}"));
        assertFalse(OperatorFile.NONE.overload().enabled());
        assertEquals(
                OverloadSettings.OFF.withEnabled(true),
                read("{\"storm\":{\"enabled\":true}}").overload());
    }

    @Test
    void readsValues() throws Exception {
        OverloadSettings settings = read("""
                {"storm": {"detection": {"enter_ms": 750, "return_share": 0.5}, "loads": {"entries": 17}}}
                """).overload();
        assertEquals(750_000, settings.detection().enterUs());
        assertEquals(0.5, settings.detection().returnShare());
        assertEquals(17, settings.loadDeduplication().maxEntries());
    }

    /** Each error states its position, its key, the value found and the allowed values. */
    @Test
    void reportsAllErrorsAtOnceInOrder() {
        assertEquals(
                List.of(
                        "f.json:1:20: log.format: found \"xml\"; allowed: one of \"human\", \"json\"",
                        "f.json:2:34: storm.detection.enter_ms: found 5; allowed: a whole number from 100 to 60000",
                        "f.json:2:52: storm.detection.retrun_share: found an unknown key; "
                                + "allowed: 'return_share', if that was meant",
                        "f.json:3:12: storm.calendar: found 7; allowed: an object",
                        "f.json:3:29: storm.enabled: found \"yes\"; allowed: true or false"),
                errorsOf("""
                {"log": {"format": "xml"},
                "storm":{"detection":{"enter_ms":5,"retrun_share": 0.3},
                "calendar":7, "enabled":    "yes"}}"""));
    }

    /** Each value is valid on its own, but not together with the others. */
    @Test
    void rejectsValuesThatContradictEachOther() {
        assertEquals(
                List.of("f.json:1:40: storm.detection.calm_share: found 0.4; allowed: less than 'return_share' "
                        + "and 'bad_share', or a storm would end as it begins"),
                errorsOf("{\"storm\": {\"detection\": {\"calm_share\": 0.4}}}"));
        assertEquals(
                List.of("f.json:1:38: storm.calendar.most_ms: found 120; allowed: 0 for the platform's most, or "
                        + "at least 'least_ms' and 'slot_ms' together"),
                errorsOf("{\"storm\": {\"calendar\": {\"most_ms\":   120}}}"));
    }

    @Test
    void reportsPositionOfInvalidJson() {
        assertTrue(errorsOf("{\"log\": {\"format\": ").get(0).startsWith("f.json:1:"));
        assertEquals(List.of("f.json:1:1: found no object; allowed: one JSON object"), errorsOf("[1]"));
        assertEquals(List.of("f.json:1:4: found more after the object; allowed: one JSON object"), errorsOf("{} {}"));
        assertEquals(
                List.of("f.json:1:20: log: found a second time; allowed: each key once"),
                errorsOf("{\"log\": {        }, \"log\": {}}".replace("        ", "       ")));
        assertEquals(
                List.of("f.json:1:9: log: found null; allowed: a value, or no such key"), errorsOf("{\"log\": null}"));
    }

    /** Bounds memory and stack for arbitrary input. */
    @Test
    void rejectsFilesThatAreTooDeepOrTooLong() {
        assertFalse(errorsOf("{\"a\":".repeat(100)).isEmpty());
        assertFalse(errorsOf("{\"a\": \"" + "x".repeat(LocatedJson.MAX_BYTES) + "\"}")
                .isEmpty());
    }

    private static String withPool(String path) {
        return """
                {"fleet": {"agreed": {"version": 2, "pool": "%s", "members":
                  [{"name": "g0", "hall": "h", "address": "10.0.0.1:7400"}]}}}""".formatted(path);
    }

    @Test
    void readsPoolPolicyRelativeToTheFile(@TempDir Path dir) throws Exception {
        String text = "policy \"p\" version 1\nbudget engine kind \"std\" 8 connections each\n";
        Files.writeString(dir.resolve("eight.pool"), text);
        Files.writeString(dir.resolve("f.json"), withPool("eight.pool"));
        assertEquals(
                text,
                OperatorFile.load(dir.resolve("f.json"))
                        .fleet()
                        .orElseThrow()
                        .agreed()
                        .poolPolicy());
    }

    @Test
    void acceptsTheExamplePoolPolicy() throws Exception {
        assertFalse(read(withPool("examples/eight.pool"))
                .fleet()
                .orElseThrow()
                .agreed()
                .poolPolicy()
                .isEmpty());
    }

    /** An error in the policy is an error of the operator's file, with the position in the policy file. */
    @Test
    void reportsErrorsOfThePoolPolicy(@TempDir Path dir) throws Exception {
        Path policy = dir.resolve("bad.pool");
        Files.writeString(policy, "policy \"p\" version 1\nbudget flet 8 connections\ngateway \"g7\" floor 1\n");
        Path file = dir.resolve("f.json");
        Files.writeString(file, withPool("bad.pool"));
        List<String> lines = assertThrows(OperatorFile.InvalidFileException.class, () -> OperatorFile.load(file))
                .errors()
                .messages();
        assertTrue(
                lines.get(0).startsWith(policy + ":2:8: fleet.agreed.pool: found 'flet'; allowed: "), lines::toString);
        assertEquals(
                lines,
                new SchemaValidator()
                        .validate(file.toString(), Files.readAllBytes(file))
                        .messages());
        Files.writeString(policy, " ".repeat((64 << 10) + 1));
        assertThrows(OperatorFile.InvalidFileException.class, () -> OperatorFile.load(file));
        Files.delete(policy);
        assertThrows(OperatorFile.InvalidFileException.class, () -> OperatorFile.load(file));
    }
}
