package sandpaddle.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import sandpaddle.eventloop.EventLoop;

/** Sends each gateway a small query until it serves one, since gateways start late on a loaded machine. */
final class ReadinessProbe {
    private static final Duration MAX_WAIT = Duration.ofSeconds(40);
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(250);
    private static final long WORK_US = 5_000;

    private final EventLoop loop;
    private final SplittableRandom random;
    private final Map<String, String> pending = new TreeMap<>(); // by gateway: its last failure
    private final Instant deadline;
    private Runnable onReady;

    ReadinessProbe(EventLoop loop, SplittableRandom random, Runnable onReady) {
        this.loop = loop;
        this.random = random;
        this.onReady = onReady;
        deadline = loop.now().plus(MAX_WAIT);
    }

    void addGateway(String name, InetSocketAddress address) {
        pending.put(name, "no response yet");
        probe(name, address);
    }

    /** Throws an exception with each gateway's last failure if the wait has taken too long. */
    void check() throws IOException {
        if (!pending.isEmpty() && loop.now().isAfter(deadline)) {
            throw new IOException(
                    "after " + MAX_WAIT.toSeconds() + " s these gateways have not served a query: " + pending);
        }
    }

    private void probe(String name, InetSocketAddress address) {
        ClientSession session;
        try {
            session = new ClientSession(loop, address);
        } catch (IOException e) {
            retryLater(name, address, e.getMessage());
            return;
        }
        session.send(
                String.format(
                        Locale.ROOT,
                        "/* route=lookup,trace=%016x,patience=4000,weight=%.1f,est_mb=1 */ "
                                + "SELECT 'request=warm work=%d'",
                        random.nextLong(),
                        WORK_US / 1000.0,
                        WORK_US),
                new ClientSession.ResponseListener() {
                    @Override
                    public void onRows(int rows) {
                        session.close();
                        pending.remove(name);
                        if (pending.isEmpty() && onReady != null) {
                            Runnable next = onReady;
                            onReady = null;
                            next.run();
                        }
                    }

                    @Override
                    public void onError(int code, String text) {
                        session.close();
                        retryLater(name, address, code + " " + text);
                    }

                    @Override
                    public void onConnectionLost(boolean established) {
                        retryLater(
                                name, address, established ? "the session was closed" : "no session was established");
                    }
                });
    }

    private void retryLater(String name, InetSocketAddress address, String why) {
        pending.put(name, why);
        loop.scheduleAfter(RETRY_INTERVAL, () -> probe(name, address));
    }
}
