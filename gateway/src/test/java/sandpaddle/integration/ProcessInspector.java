package sandpaddle.integration;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the listening TCP ports and the thread names of a running process from {@code /proc}. */
final class ProcessInspector {
    private static final Pattern SOCKET_LINK = Pattern.compile("socket:\\[(\\d+)]");
    private static final String STATE_LISTEN = "0A"; // TCP_LISTEN in the field st of /proc/net/tcp
    private static final int LOCAL_ADDRESS_FIELD = 1;
    private static final int STATE_FIELD = 3;
    private static final int INODE_FIELD = 9;

    private final Path proc;

    ProcessInspector(long pid) {
        proc = Path.of("/proc", Long.toString(pid));
    }

    private Set<String> socketInodes() throws IOException {
        Set<String> inodes = new HashSet<>();
        try (DirectoryStream<Path> open = Files.newDirectoryStream(proc.resolve("fd"))) {
            for (Path fd : open) {
                Matcher m = Files.isSymbolicLink(fd)
                        ? SOCKET_LINK.matcher(Files.readSymbolicLink(fd).toString())
                        : SOCKET_LINK.matcher("");
                if (m.matches()) {
                    inodes.add(m.group(1));
                }
            }
        }
        return inodes;
    }

    /** Returns the TCP ports on which the process listens. */
    Set<Integer> listeningPorts() throws IOException {
        Set<String> own = socketInodes();
        Set<Integer> ports = new TreeSet<>();
        for (String table : List.of("net/tcp", "net/tcp6")) {
            for (String line : Files.readAllLines(proc.resolve(table))) {
                String[] f = line.strip().split("\\s+");
                if (f.length > INODE_FIELD && f[STATE_FIELD].equals(STATE_LISTEN) && own.contains(f[INODE_FIELD])) {
                    ports.add(Integer.parseInt(
                            f[LOCAL_ADDRESS_FIELD].substring(f[LOCAL_ADDRESS_FIELD].indexOf(':') + 1), 16));
                }
            }
        }
        return ports;
    }

    /** Returns the names of its threads, which the kernel truncates to 15 characters. */
    Set<String> threadNames() throws IOException {
        Set<String> names = new TreeSet<>();
        try (DirectoryStream<Path> tasks = Files.newDirectoryStream(proc.resolve("task"))) {
            for (Path t : tasks) {
                names.add(Files.readString(t.resolve("comm")).strip());
            }
        }
        return names;
    }
}
