package sandpaddle.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** All files with decisions are listed under {@code policy} in the deploy file, and each has at most 200 lines. */
class PolicyListTest {
    private static final Path DECISION_SOURCES = Path.of("gateway/src/main/java/sandpaddle/decision");
    private static final int MAX_LINES = 200;
    /** Packages of records without decisions. */
    private static final Pattern MESSAGE_PACKAGES = Pattern.compile("(settings|event|action)/");
    /** Files without decisions: the interface, the conversion of times, and the state of a request. */
    private static final Set<String> EXCLUDED =
            Set.of("DecisionModule.java", "Micros.java", "model/PendingRequest.java");

    private static List<Path> listedFiles() throws IOException {
        String policy = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("policy = "))
                .findFirst()
                .orElseThrow();
        return Pattern.compile("\"([^\"]+)\"")
                .matcher(policy)
                .results()
                .map(r -> Path.of(r.group(1)))
                .toList();
    }

    @Test
    void allFilesWithDecisionsAreListed() throws IOException {
        Set<String> listed = listedFiles().stream()
                .map(p -> DECISION_SOURCES.relativize(p).toString())
                .collect(Collectors.toCollection(TreeSet::new));
        try (Stream<Path> files = Files.walk(DECISION_SOURCES)) {
            Set<String> expected = files.filter(p -> p.toString().endsWith(".java"))
                    .map(p -> DECISION_SOURCES.relativize(p).toString())
                    .filter(p -> !EXCLUDED.contains(p)
                            && !MESSAGE_PACKAGES.matcher(p).lookingAt())
                    .collect(Collectors.toCollection(TreeSet::new));
            assertEquals(expected, listed);
        }
    }

    @Test
    void listedFilesHaveAtMost200Lines() throws IOException {
        for (Path file : listedFiles()) {
            List<String> lines = Files.readAllLines(file);
            assertTrue(lines.size() <= MAX_LINES, file + " has " + lines.size() + " lines");
        }
    }
}
