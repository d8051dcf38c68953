package sandpaddle.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaField;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The number of characters that each regular expression of the gateway reads, on long texts that do not match. */
class PatternCostTest {
    private static final int RUN_LENGTH = 2_000;
    private static final int MAX_READS_PER_CHARACTER = 10;

    /** Beginnings of texts that the patterns match, so that a long run meets each of their parts. */
    private static final List<String> PREFIXES = List.of(
            "",
            "+",
            "1.",
            "1e",
            "KILL",
            "KILL QUERY",
            "KILL 1",
            "KILL 1;",
            "SHOW",
            "SHOW WARNINGS",
            "SET",
            "1.1.1.",
            "1.1.1.1:",
            "[1",
            "GET ",
            "GET /",
            "HTTP/1.1 200 ",
            "content-0000000000000000.seg",
            "chunk:1,",
            "chunk:1,len:1,");

    private static final String RUN_CHARACTERS = " \t10aFA;,.-+:x/=%";
    private static final List<String> SUFFIXES = List.of("!", "\n!", "x", " x");

    /** A text that counts how often its characters are read. */
    private static final class CountingText implements CharSequence {
        private final String text;
        private long reads;

        CountingText(String text) {
            this.text = text;
        }

        @Override
        public char charAt(int index) {
            reads++;
            return text.charAt(index);
        }

        @Override
        public int length() {
            return text.length();
        }

        @Override
        public CharSequence subSequence(int start, int end) {
            return text.subSequence(start, end);
        }
    }

    private static Map<String, Pattern> patterns() throws ReflectiveOperationException {
        List<JavaField> fields = new ArrayList<>();
        new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("sandpaddle")
                .forEach(type -> fields.addAll(type.getFields()));
        Map<String, Pattern> patterns = new TreeMap<>();
        for (JavaField candidate : fields) {
            if (candidate.getRawType().isEquivalentTo(Pattern.class)) {
                Field field = candidate.reflect();
                field.setAccessible(true);
                patterns.put(candidate.getFullName(), (Pattern) field.get(null));
            }
        }
        return patterns;
    }

    private static List<String> longTexts() {
        List<String> texts = new ArrayList<>();
        for (String prefix : PREFIXES) {
            for (char character : RUN_CHARACTERS.toCharArray()) {
                for (String suffix : SUFFIXES) {
                    texts.add(prefix + String.valueOf(character).repeat(RUN_LENGTH) + suffix);
                }
            }
        }
        return texts;
    }

    /** Guards against one statement of 64 KB that occupies the event loop for minutes by backtracking. */
    @Test
    void noPatternReadsALongTextMoreThanAFewTimes() throws ReflectiveOperationException {
        Map<String, Pattern> patterns = patterns();
        assertTrue(
                patterns.containsKey("sandpaddle.mysql.Statement.DECIMAL"),
                patterns.keySet().toString());
        TreeSet<String> slow = new TreeSet<>();
        for (String text : longTexts()) {
            patterns.forEach((name, pattern) -> {
                CountingText counting = new CountingText(text);
                pattern.matcher(counting).matches();
                if (counting.reads > (long) MAX_READS_PER_CHARACTER * text.length()) {
                    slow.add(name);
                }
            });
        }
        assertEquals(new TreeSet<>(), slow);
    }
}
