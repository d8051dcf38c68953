package sandpaddle.recorded;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * File under {@code src/test/resources/recorded} with the output of an earlier version. Tests compare the present
 * output with it to detect accidental changes of behaviour, stored bytes or bytes on the wire.
 *
 * <p>With {@code -Dsandpaddle.record=NAME,NAME} or {@code =all} a test writes the file instead and fails, so that a
 * recording run never passes. Record anew only where the output is meant to change, and give the reason in the
 * commit.
 */
public final class RecordedFile {
    private static final Path DIRECTORY = Path.of("gateway/src/test/resources/recorded");
    private static final Set<String> RECORDING =
            Set.of(System.getProperty("sandpaddle.record", "").split(","));
    private static final int DIGEST_CHARACTERS = 16;

    private final String name;
    private final Path path;

    /** Refers to the file with the given name, which need not exist yet. */
    public RecordedFile(String name) {
        this.name = name;
        path = DIRECTORY.resolve(name);
    }

    /** Returns whether this run writes the file. */
    public boolean isRecording() {
        return RECORDING.contains(name) || RECORDING.contains("all");
    }

    /** Returns the recorded lines. */
    public List<String> lines() {
        try {
            return Files.readAllLines(path);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Compares lines with the record and fails at the first difference; writes the record and fails in a recording
     * run.
     */
    public void check(List<String> lines) {
        if (isRecording()) {
            write(lines);
            fail("recorded " + lines.size() + " lines in " + path + "; run again without recording");
        }
        List<String> expected = lines();
        for (int i = 0; i < Math.min(expected.size(), lines.size()); i++) {
            assertEquals(expected.get(i), lines.get(i), name + ", line " + (i + 1));
        }
        assertEquals(expected.size(), lines.size(), name + ": number of lines");
    }

    /** Compares named byte sequences with the record, which holds a name and hexadecimal digits in each line. */
    public void checkBytes(Map<String, byte[]> bytes) {
        List<String> lines = new ArrayList<>();
        bytes.forEach((key, value) -> lines.add(key + " " + HexFormat.of().formatHex(value)));
        check(lines);
    }

    /** Returns the recorded bytes by name, in the order of the file. */
    public Map<String, byte[]> bytes() {
        Map<String, byte[]> bytes = new LinkedHashMap<>();
        for (String line : lines()) {
            int blank = line.lastIndexOf(' ');
            bytes.put(line.substring(0, blank), HexFormat.of().parseHex(line.substring(blank + 1)));
        }
        return bytes;
    }

    private void write(List<String> lines) {
        try {
            Files.createDirectories(DIRECTORY);
            Files.write(path, lines);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the first 16 hexadecimal digits of the SHA-256 of the lines. */
    public static String digest(List<String> lines) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            lines.forEach(line -> sha.update((line + "\n").getBytes(StandardCharsets.UTF_8)));
            return HexFormat.of().formatHex(sha.digest()).substring(0, DIGEST_CHARACTERS);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
