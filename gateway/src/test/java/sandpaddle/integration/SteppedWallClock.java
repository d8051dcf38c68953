package sandpaddle.integration;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.Map;

/**
 * The wall clock of a gateway process, which a test sets forward or back while the process runs. The process is started
 * with {@code src/test/native/wall_clock.c} preloaded; needs a C compiler, {@code cc}.
 */
final class SteppedWallClock implements AutoCloseable {
    private static final Path SOURCE = Path.of("gateway", "src", "test", "native", "wall_clock.c");

    private final Path folder = Files.createTempDirectory("wall-clock");
    private final Path library = folder.resolve("wall_clock.so");
    private final Path offsetFile = folder.resolve("offset");
    private final MappedByteBuffer offsetNs;

    /** Compiles the library; the clock shows the machine's time until {@link #set}. */
    SteppedWallClock() throws IOException, InterruptedException {
        compile();
        Files.write(offsetFile, new byte[Long.BYTES]);
        try (FileChannel file = FileChannel.open(offsetFile, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            offsetNs = file.map(FileChannel.MapMode.READ_WRITE, 0, Long.BYTES);
        }
        offsetNs.order(ByteOrder.nativeOrder());
    }

    private void compile() throws IOException, InterruptedException {
        int code = new ProcessBuilder(
                        "cc",
                        "-shared",
                        "-fPIC",
                        "-O1",
                        "-Wall",
                        "-Werror",
                        "-o",
                        library.toString(),
                        SOURCE.toString())
                .inheritIO()
                .start()
                .waitFor();
        if (code != 0) {
            throw new IOException("cc failed with exit code " + code);
        }
    }

    /** Sets the wall clock to the machine's time plus a span, which is negative to set it back. */
    void set(Duration offset) {
        offsetNs.putLong(0, offset.toNanos());
    }

    /** The environment variables with which the gateway process has this wall clock. */
    Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "WALL_CLOCK_OFFSET_FILE", offsetFile.toString());
    }

    @Override
    public void close() throws IOException {
        Files.delete(offsetFile);
        Files.delete(library);
        Files.delete(folder);
    }
}
