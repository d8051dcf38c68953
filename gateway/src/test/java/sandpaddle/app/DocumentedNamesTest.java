package sandpaddle.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Each class and member that the documentation names in code font exists in the sources. */
class DocumentedNamesTest {
    private static final List<Path> PAGES = List.of(
            Path.of("README.md"),
            Path.of("CONTRIBUTING.md"),
            Path.of("docs/ARCHITECTURE.md"),
            Path.of("docs/design"),
            Path.of("docs/operators"));
    private static final Path WIRE_NAMES = Path.of("docs/design/wire-names.md");
    private static final List<Path> SOURCES = List.of(Path.of("gateway/src"), Path.of("lab/src"), Path.of("bench/src"));
    private static final Pattern DECLARATION =
            Pattern.compile("\\b(?:class|record|enum|interface|grammar) ([A-Z]\\w*)");
    /** A type, optionally preceded by the last part of its package and followed by a member. */
    private static final Pattern REFERENCE =
            Pattern.compile("`(?:[a-z][a-z0-9]*\\.)*([A-Z]\\w*[a-z]\\w*)(?:[.#](\\w+))?(?:\\(\\))?`");
    /** Words in code font that are not classes of this project. */
    private static final Set<String> OTHER_WORDS = Set.of("MicroRaft", "OutOfMemoryError");

    private static List<Path> files(Path root, String ending) throws IOException {
        try (Stream<Path> all = Files.walk(root)) {
            return all.filter(path -> path.toString().endsWith(ending)).sorted().toList();
        }
    }

    /** The text of the files that declare a type, by its simple name. */
    private static Map<String, String> declaredTypes() throws IOException {
        Map<String, String> types = new HashMap<>();
        for (Path root : SOURCES) {
            for (Path file : files(root, ".java")) {
                String text = Files.readString(file);
                DECLARATION.matcher(text).results().forEach(match -> types.merge(match.group(1), text, String::concat));
            }
        }
        return types;
    }

    /** The string literals of the sources; the page on wire names lists values that the platform sends. */
    private static Set<String> literals() throws IOException {
        Set<String> literals = new HashSet<>();
        for (Path file : files(Path.of("gateway/src/main/java"), ".java")) {
            literals.addAll(SiteNamesTest.literals(Files.readString(file)));
        }
        return literals;
    }

    private static Set<String> unknown(String page, String text, Map<String, String> types) {
        Set<String> unknown = new TreeSet<>();
        Matcher reference = REFERENCE.matcher(text);
        while (reference.find()) {
            String source = types.get(reference.group(1));
            String member = reference.group(2);
            boolean exists = source != null
                    && (member == null
                            || Pattern.compile("\\b" + member + "\\b")
                                    .matcher(source)
                                    .find());
            if (!exists && !OTHER_WORDS.contains(reference.group(1))) {
                unknown.add(page + " " + reference.group());
            }
        }
        return unknown;
    }

    @Test
    void documentedNamesAreInTheSources() throws IOException {
        Map<String, String> types = declaredTypes();
        assertTrue(types.size() > 500, "types " + types.size());
        Set<String> literals = literals();
        Set<String> unknown = new TreeSet<>();
        for (Path root : PAGES) {
            for (Path page : files(root, ".md")) {
                Set<String> names = unknown(page.toString(), Files.readString(page), types);
                if (page.equals(WIRE_NAMES)) {
                    names.removeIf(name -> literals.contains(name.replaceAll(".*`(.*)`", "$1")));
                }
                unknown.addAll(names);
            }
        }
        assertEquals(Set.of(), unknown);
    }

    /** Tests the check itself: missing types and members are found, existing ones are accepted. */
    @Test
    void findsUnknownNames() {
        Map<String, String> types = Map.of("Loop", "class Loop { void again() {} }");
        assertEquals(Set.of(), unknown("p", "`Loop` and `eventloop.Loop.again` and `Loop#again()`", types));
        assertEquals(Set.of("p `Loop.once`", "p `Lopp`"), unknown("p", "`Lopp`, `Loop.once`, `lower`, `UPPER`", types));
    }
}
