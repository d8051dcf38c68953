package sandpaddle.interleaving;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Waits for states of this process's loopback sockets in the kernel's socket table, {@code /proc/net/tcp} of proc(5).
 * Serves as a barrier that makes the order of events deterministic: returns only once what a peer has written has
 * arrived at the gateway's socket.
 */
final class TcpSocketTable {
    private static final int LOCAL = 1;
    private static final int REMOTE = 2;
    private static final int STATE = 3;
    private static final int QUEUES = 4;
    private static final String CLOSE_WAIT = "08";
    private static final String ESTABLISHED = "01";
    private static final String LISTEN = "0A";
    /** SYN_SENT, SYN_RECV, FIN_WAIT1, LAST_ACK and CLOSING: a SYN or FIN is not acknowledged yet. */
    private static final Set<String> UNACKNOWLEDGED_STATES = Set.of("02", "03", "04", "09", "0B");

    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private TcpSocketTable() {}

    /** Waits until at least this number of bytes of a peer are unread in the socket at a port. */
    static void awaitUnread(int port, int peer, long bytes) throws IOException {
        await(port, peer, f -> Long.parseLong(f[QUEUES].split(":")[1], 16) >= bytes, bytes + " unread bytes");
    }

    /** Waits until the socket at a port has received the peer's FIN. */
    static void awaitEnd(int port, int peer) throws IOException {
        await(port, peer, f -> f[STATE].equals(CLOSE_WAIT), "FIN");
    }

    /** Waits until no data, SYN or FIN is unacknowledged on connections at the ports. */
    static void awaitQuiet(int... ports) throws IOException {
        awaitNone(f -> IntStream.of(ports).anyMatch(p -> at(f[LOCAL], p) || at(f[REMOTE], p))
                && (UNACKNOWLEDGED_STATES.contains(f[STATE]) || !LISTEN.equals(f[STATE]) && unacknowledged(f) > 0));
    }

    /** Waits until the socket at a port has received its peer's FIN or RST. */
    static void awaitDisconnected(int port, int peer) throws IOException {
        awaitNone(f -> at(f[LOCAL], port) && at(f[REMOTE], peer) && f[STATE].equals(ESTABLISHED));
    }

    private static long unacknowledged(String[] f) {
        return Long.parseLong(f[QUEUES].split(":")[0], 16);
    }

    private static boolean at(String address, int port) {
        return address.endsWith(":%04X".formatted(port));
    }

    private static void awaitNone(Condition condition) throws IOException {
        long deadlineNs = System.nanoTime() + TIMEOUT.toNanos();
        while (System.nanoTime() < deadlineNs) {
            boolean any = false;
            for (String table : List.of("/proc/net/tcp6", "/proc/net/tcp")) {
                any |= Files.readAllLines(Path.of(table)).stream()
                        .map(l -> l.strip().split("\\s+"))
                        .anyMatch(f -> f.length > QUEUES && f[LOCAL].contains(":") && condition.holds(f));
            }
            if (!any) {
                return;
            }
        }
        throw new AssertionError("connections did not become quiet within " + TIMEOUT);
    }

    private interface Condition {
        boolean holds(String[] fields);
    }

    private static void await(int port, int peer, Condition condition, String what) throws IOException {
        long deadlineNs = System.nanoTime() + TIMEOUT.toNanos();
        while (System.nanoTime() < deadlineNs) {
            for (String table : List.of("/proc/net/tcp6", "/proc/net/tcp")) {
                if (Files.readAllLines(Path.of(table)).stream().anyMatch(l -> holds(l, port, peer, condition))) {
                    return;
                }
            }
        }
        throw new AssertionError(what + " of port " + peer + " did not arrive at port " + port + " within " + TIMEOUT);
    }

    private static boolean holds(String line, int port, int peer, Condition condition) {
        String[] f = line.strip().split("\\s+");
        return f.length > QUEUES
                && f[LOCAL].endsWith(":%04X".formatted(port))
                && f[REMOTE].endsWith(":%04X".formatted(peer))
                && condition.holds(f);
    }
}
