package sandpaddle.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import sandpaddle.recorded.RecordedFile;

/**
 * Keys of log lines, settings and metrics that the operators' pages name exist in the program, since dashboards and
 * alerts depend on them. A word is removed from the recorded list only together with its page.
 */
class OperatorWordsTest {
    private static final Path PAGES = Path.of("docs/operators");
    private static final Path SOURCES = Path.of("gateway/src/main/java");
    private static final Path SCHEMA = Path.of("deploy/sandpaddle.schema.json");
    private static final Path POLICY_GRAMMAR =
            Path.of("gateway/src/main/antlr4/sandpaddle/fleet/pool/lang/PoolPolicy.g4");
    private static final Pattern KEYWORD = Pattern.compile("'([a-z]+)'");
    private static final Pattern QUOTED = Pattern.compile("`([a-z][a-z0-9_.]*)`");
    private static final RecordedFile RECORDED = new RecordedFile("operator-words.txt");

    private static List<Path> files(Path root, String ending) throws IOException {
        try (Stream<Path> all = Files.walk(root)) {
            return all.filter(path -> path.toString().endsWith(ending)).sorted().toList();
        }
    }

    private static Set<String> wordsOfPages() throws IOException {
        Set<String> words = new TreeSet<>();
        for (Path page : files(PAGES, ".md")) {
            QUOTED.matcher(Files.readString(page)).results().forEach(match -> words.add(match.group(1)));
        }
        return words;
    }

    private static Set<String> wordsOfProgram() throws IOException {
        Set<String> words = new TreeSet<>();
        for (Path source : files(SOURCES, ".java")) {
            for (String literal : SiteNamesTest.literals(Files.readString(source))) {
                words.addAll(List.of(literal.split("[^A-Za-z0-9_.]+")));
            }
        }
        words.addAll(List.of(Files.readString(SCHEMA).split("[^A-Za-z0-9_.]+")));
        KEYWORD.matcher(Files.readString(POLICY_GRAMMAR)).results().forEach(match -> words.add(match.group(1)));
        return words;
    }

    @Test
    void recordedWordsAreInTheProgram() throws IOException {
        Set<String> program = wordsOfProgram();
        if (RECORDED.isRecording()) {
            RECORDED.check(wordsOfPages().stream().filter(program::contains).toList());
        }
        List<String> missing = new ArrayList<>(RECORDED.lines());
        assertTrue(missing.size() > 50, "words " + missing.size());
        missing.removeAll(program);
        assertEquals(List.of(), missing);
    }

    @Test
    void recordedWordsAreOnAPage() throws IOException {
        Set<String> named = wordsOfPages();
        assertEquals(
                List.of(),
                RECORDED.lines().stream().filter(word -> !named.contains(word)).collect(Collectors.toList()));
    }
}
