package sandpaddle.lab.scale;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.OptionalDouble;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the heap use of another JVM after a garbage collection, with {@code jcmd}. */
final class HeapReader {
    private static final Pattern USED = Pattern.compile("(?:generation|space|heap)\\s+total \\d+K, used (\\d+)K");
    private static final double KB_PER_MB = 1024;

    private HeapReader() {}

    /** Heap in use after a collection, in megabytes; empty if {@code jcmd} gives no heap information. */
    static OptionalDouble afterCollection(long pid) {
        try {
            run(pid, "GC.run");
            Matcher matcher = USED.matcher(run(pid, "GC.heap_info"));
            double sum = 0;
            boolean found = false;
            while (matcher.find()) {
                sum += Long.parseLong(matcher.group(1)) / KB_PER_MB;
                found = true;
            }
            return found ? OptionalDouble.of(sum) : OptionalDouble.empty();
        } catch (IOException e) {
            return OptionalDouble.empty();
        }
    }

    private static String run(long pid, String command) throws IOException {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(), Long.toString(pid), command)
                .redirectErrorStream(true)
                .start();
        return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
}
