package sandpaddle.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** The command line: commands, options, output and exit codes. */
class CommandLineTest {
    @TempDir
    private Path folder;

    /** The parser of simple command lines gives the same result as picocli, and leaves all others to picocli. */
    @Test
    void simpleCommandLinesAreParsedAsByPicocli() {
        List<String[]> simpleLines = List.of(
                new String[] {"serve"},
                new String[] {"serve", "--operator", "f.json"},
                new String[] {"serve", "--log", "json"},
                new String[] {"serve", "--log", "human", "--operator", "a b"});
        for (String[] args : simpleLines) {
            ServeCommand simple = ServeCommand.parseSimple(args);
            assertNotNull(simple, String.join(" ", args));
            ServeCommand complete = new ServeCommand();
            new CommandLine(complete)
                    .setCaseInsensitiveEnumValuesAllowed(true)
                    .parseArgs(java.util.Arrays.copyOfRange(args, 1, args.length));
            assertEquals(complete.operator(), simple.operator());
            assertEquals(complete.log(), simple.log());
        }
        List<String[]> otherLines = List.of(
                new String[] {},
                new String[] {"serv"},
                new String[] {"serve", "--help"},
                new String[] {"serve", "--log", "xml"},
                new String[] {"serve", "--operator"},
                new String[] {"serve", "--operator", "--log"},
                new String[] {"serve", "--log", "json", "--log", "json"},
                new String[] {"serve", "--operator=f.json"});
        for (String[] args : otherLines) {
            assertNull(ServeCommand.parseSimple(args), String.join(" ", args));
        }
    }

    private static String outputOf(int exitCode, String... args) {
        PrintStream originalOut = System.out;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        System.setOut(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        try {
            assertEquals(exitCode, Main.run(args), String.join(" ", args));
        } finally {
            System.setOut(originalOut);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    @Test
    void checkReportsEveryErrorAndExitsWithTwo() throws Exception {
        Path invalid = Files.writeString(folder.resolve("bad.json"), "{\"log\": {\"level\": 1}, \"strom\": {}}");
        String output =
                outputOf(2, "check", "deploy/sandpaddle.json", invalid.toString(), "--config", "examples/config.json");
        assertTrue(output.contains("deploy/sandpaddle.json: valid\n"), output);
        assertTrue(output.contains(invalid + ":1:19: log.level: found 1; allowed: one of \"debug\""), output);
        assertTrue(
                output.contains(invalid + ":1:32: strom: found an unknown key; allowed: 'storm', if that was meant"),
                output);
        assertTrue(output.contains(invalid + ": errors: 2\n"), output);
        assertTrue(output.contains("examples/config.json: valid\n"), output);
    }

    @Test
    void checkWithoutReadableFileExitsWithTwo() {
        assertEquals(2, Main.run("check"));
        assertEquals(2, Main.run("check", folder.resolve("missing.json").toString()));
        assertEquals(2, Main.run("no-such-command"));
    }

    @Test
    void helpShowsExamplesAndExitCodes() {
        String output = outputOf(0, "--help");
        assertTrue(output.contains("Examples:") && output.contains("Exit codes:"), output);
        assertTrue(outputOf(0, "help", "serve").contains("--operator"), output);
        assertTrue(outputOf(0, "version").startsWith("sandpaddle "));
    }
}
