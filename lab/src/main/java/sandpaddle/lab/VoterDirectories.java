package sandpaddle.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Deletes a voter's directory, or replaces it by an earlier copy. */
final class VoterDirectories {
    private VoterDirectories() {}

    static void clear(Path directory) throws IOException {
        if (Files.isDirectory(directory)) {
            try (var files = Files.list(directory)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
        }
    }

    static void copy(Path from, Path to) throws IOException {
        Files.createDirectories(to);
        clear(to);
        try (var files = Files.list(from)) {
            for (Path file : files.toList()) {
                if (!file.getFileName().toString().endsWith(".lock")) {
                    Files.copy(file, to.resolve(file.getFileName()));
                }
            }
        }
    }
}
