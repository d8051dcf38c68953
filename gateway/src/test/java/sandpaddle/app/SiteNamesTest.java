package sandpaddle.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The program and the files that it is started with contain no name of a particular deployment, since decisions that
 * depend on such a name would differ between deployments. The names are those of the deployments under {@code
 * deploy/sites} and a fixed list.
 */
class SiteNamesTest {
    private static final Set<String> KNOWN_NAMES = Set.of(
            "catania",
            "catania-campus",
            "wifaq",
            "query-fleet",
            "lookup",
            "report",
            "load",
            "hall-a",
            "hall-b",
            "hall-c",
            "std-8",
            "toy",
            "toy-a",
            "toy-b");
    /** Protocol words that are also names of deployments, as file name and literal. */
    private static final Set<String> PROTOCOL_WORDS = Set.of(
            "DecisionSettingsReader.java report", // a key of the settings
            "PlatformNames.java report",
            "JsonObject.java load", // the key of a load report
            "RequestLog.java report", // a field of a log line
            "SimulatorEventReader.java left", // an event
            "DecisionSettingsReader.java tenants"); // a key of the settings

    private static final Pattern COMMENT_OR_LITERAL = Pattern.compile(
            "//[^\\n]*|/\\*.*?\\*/|'(?:\\\\.|[^'\\\\])*'"
                    + "|\"\"\"(?<block>.*?)\"\"\"|\"(?<text>(?:\\\\.|[^\"\\\\\\n])*)\"",
            Pattern.DOTALL);
    private static final Pattern TABLE_HEADING = Pattern.compile("^\\[+([a-z._]+)]+\\s*$");
    private static final Pattern NAME_ENTRY = Pattern.compile("^name\\s*=\\s*\"([^\"]+)\"");
    private static final Pattern ZONES_ENTRY = Pattern.compile("^zones\\s*=\\s*\\[(.*)]");
    private static final Set<String> TABLES_WITH_NAMES = Set.of("", "tier", "tier.kind", "class", "tenant");

    /** The names in a deployment's file: itself, tiers, engine kinds, request classes, tenants and zones. */
    static Set<String> names(List<String> site) {
        Set<String> names = new TreeSet<>();
        String table = "";
        for (String line : site) {
            Matcher heading = TABLE_HEADING.matcher(line);
            table = heading.matches() ? heading.group(1) : table;
            Matcher name = NAME_ENTRY.matcher(line);
            if (name.find() && TABLES_WITH_NAMES.contains(table)) {
                names.add(name.group(1));
            }
            Matcher zones = ZONES_ENTRY.matcher(line);
            if (zones.find()) {
                Pattern.compile("\"([^\"]+)\"")
                        .matcher(zones.group(1))
                        .results()
                        .forEach(zone -> names.add(zone.group(1)));
            }
        }
        return names;
    }

    private static Set<String> names() throws IOException {
        Set<String> names = new TreeSet<>(KNOWN_NAMES);
        for (Path site : files(Path.of("deploy"), ".toml")) {
            if (site.startsWith("deploy/sites")) {
                names.addAll(names(Files.readAllLines(site)));
            }
        }
        return names;
    }

    private static List<Path> files(Path root, String ending) throws IOException {
        try (Stream<Path> all = Files.walk(root)) {
            return all.filter(path -> path.toString().endsWith(ending)).sorted().toList();
        }
    }

    /** The string literals of a Java source, without its comments. */
    static List<String> literals(String source) {
        List<String> found = new ArrayList<>();
        Matcher matcher = COMMENT_OR_LITERAL.matcher(source);
        while (matcher.find()) {
            if (matcher.group("text") != null) {
                found.add(matcher.group("text"));
            } else if (matcher.group("block") != null) {
                found.addAll(matcher.group("block")
                        .strip()
                        .lines()
                        .map(String::strip)
                        .toList());
            }
        }
        return found;
    }

    @Test
    void programContainsNoDeploymentName() throws IOException {
        Set<String> names = names();
        Set<String> found = new TreeSet<>();
        int literalCount = 0;
        for (Path file : files(Path.of("gateway/src/main/java"), ".java")) {
            for (String literal : literals(Files.readString(file))) {
                literalCount++;
                if (names.contains(literal)) {
                    found.add(file.getFileName() + " " + literal);
                }
            }
        }
        found.removeAll(PROTOCOL_WORDS);
        assertEquals(Set.of(), found);
        assertTrue(literalCount > 1000, "literals " + literalCount);
    }

    @Test
    void deployedFilesContainNoDeploymentName() throws IOException {
        Set<String> words = new HashSet<>();
        for (String file : List.of("deploy/balancer.toml", "deploy/sandpaddle.json")) {
            words.addAll(List.of(Files.readString(Path.of(file)).split("[^A-Za-z0-9_-]+")));
        }
        assertTrue(words.contains("storm") && words.contains("policy"));
        words.retainAll(names());
        assertEquals(Set.of(), words);
    }

    /** Tests the check itself: comments and characters are not literals, escapes are handled, and names are found. */
    @Test
    void findsLiteralsAndNames() {
        String source = "// 'load\"\n/* \"lookup\" */ if (s.equals(\"hall-a\") || c == '\"') { t = \"a\\\"b\"; }\n"
                + "u = \"\"\"\n    x\n    y\n    \"\"\";\nv = \"z\";\n";
        assertEquals(List.of("hall-a", "a\\\"b", "x", "y", "z"), literals(source));
        assertEquals(
                Set.of("s", "west", "c1", "t1", "k1"),
                names(List.of(
                        "name = \"s\"",
                        "zones = [\"west\"]",
                        "[[class]]",
                        "name = \"c1\"",
                        "[[tenant]]",
                        "name = \"t1\"",
                        "[[tier.kind]]",
                        "name = \"k1\"",
                        "[[trouble]]",
                        "name = \"hang\"")));
    }
}
