package sandpaddle.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Names that leave the process are still in the sources: fields and values of messages, keys of settings and files,
 * file names, commands, options, environment variables, keys of log lines, and texts that clients receive.
 *
 * <p>{@code outer-names.txt} has one name a line, below a heading {@code == title: paths} with the files or directories
 * that must contain it. A name is removed only together with the protocol, file format or page that defines it.
 */
class OuterNamesTest {
    private static final Path LIST = Path.of("gateway/src/test/resources/outer-names.txt");
    private static final String HEADING = "== ";
    private static final Pattern WORD = Pattern.compile("[A-Za-z0-9_.$-]+");
    private static final Pattern COMMENT = Pattern.compile("//[^\\n]*|/\\*.*?\\*/", Pattern.DOTALL);

    /** The names below one heading, and the sources that must contain them. */
    private static final class Section {
        private final String title;
        private final List<Path> paths;
        private final List<String> names = new ArrayList<>();

        private Section(String heading) {
            int colon = heading.lastIndexOf(": ");
            title = heading.substring(HEADING.length(), colon);
            paths = Stream.of(heading.substring(colon + 2).split(" "))
                    .map(Path::of)
                    .toList();
        }

        private List<String> missing() throws IOException {
            Sources sources = new Sources();
            for (Path path : paths) {
                sources.add(path);
            }
            return names.stream()
                    .filter(name -> !sources.contain(name))
                    .map(name -> title + ": " + name)
                    .toList();
        }
    }

    /** The string literals and declarations of Java sources, and the quoted words and keys of other files. */
    private static final class Sources {
        private final Set<String> literals = new HashSet<>();
        private final StringBuilder code = new StringBuilder();

        private void add(Path path) throws IOException {
            try (Stream<Path> files = Files.walk(path)) {
                for (Path file : files.filter(Files::isRegularFile).toList()) {
                    addFile(file.toString().endsWith(".java"), Files.readString(file));
                }
            }
        }

        private void addFile(boolean java, String text) {
            if (java) {
                literals.addAll(SiteNamesTest.literals(text));
                code.append(COMMENT.matcher(text).replaceAll(" "));
                return;
            }
            Pattern.compile("[\"']([^\"'\\n]+)[\"']|^([a-z]+) = ", Pattern.MULTILINE)
                    .matcher(text)
                    .results()
                    .forEach(quoted -> literals.add(quoted.group(1) != null ? quoted.group(1) : quoted.group(2)));
        }

        private boolean contain(String name) {
            if (literals.contains(name)) {
                return true;
            }
            if (WORD.matcher(name).matches()) {
                return isDeclared(name);
            }
            return literals.stream().anyMatch(literal -> literal.contains(name));
        }

        /** Whether a type, or a constant of an enum, has this name: its own name is written out. */
        private boolean isDeclared(String name) {
            String quoted = Pattern.quote(name);
            return Pattern.compile("\\b(?:class|record) " + quoted + "\\b|(?m)^\\s+" + quoted + "(?:[,;(]| \\{|$)")
                    .matcher(code)
                    .find();
        }
    }

    private static List<Section> sections() throws IOException {
        List<Section> sections = new ArrayList<>();
        for (String line : Files.readAllLines(LIST)) {
            if (line.startsWith(HEADING)) {
                sections.add(new Section(line));
            } else {
                sections.get(sections.size() - 1).names.add(line);
            }
        }
        return sections;
    }

    @Test
    void namesThatLeaveTheProcessAreInTheSources() throws IOException {
        Map<String, Integer> counts = new LinkedHashMap<>();
        List<String> missing = new ArrayList<>();
        for (Section section : sections()) {
            counts.put(section.title, section.names.size());
            missing.addAll(section.missing());
        }
        assertEquals(List.of(), missing);
        assertFalse(counts.containsValue(0), "sections without names: " + counts);
        assertTrue(counts.values().stream().mapToInt(Integer::intValue).sum() > 900, "names " + counts);
    }

    /** Tests the check itself: what counts as containing a name and what does not. */
    @Test
    void findsMissingNames() {
        Sources sources = new Sources();
        sources.addFile(
                true,
                "// \"comment\"\nenum E {\n    ONE,\n    TWO\n}\nrecord Served() {}\n"
                        + "final String X = \"\\r\\nX-Trace: \" + key(\"route\");");
        sources.addFile(false, "build = \"x\"\nAND : 'and' ;\n{\"fleet\": 1}");
        for (String name : List.of("ONE", "TWO", "Served", "X-Trace: ", "route", "build", "and", "fleet")) {
            assertTrue(sources.contain(name), name);
        }
        for (String name : List.of("comment", "THREE", "Trace", "X-Trace", "rout", "key", "E")) {
            assertFalse(sources.contain(name), name);
        }
    }
}
