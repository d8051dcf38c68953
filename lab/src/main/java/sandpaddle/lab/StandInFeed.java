package sandpaddle.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.IntFunction;
import sandpaddle.eventloop.Acceptor;
import sandpaddle.eventloop.Connection;
import sandpaddle.eventloop.EventLoop;

/** Stand-in for the control feed: publishes the endpoint list to all subscribers, each change as a numbered event. */
public final class StandInFeed {
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final Events events;
    private final ClientStatistics statistics;
    private final Acceptor acceptor;
    private final List<String> published = new ArrayList<>(); // event N is at index N - 1
    // JSON of the engines that are not gone, by engine
    private final Map<String, String> listedEngines = new LinkedHashMap<>();
    private final Set<Subscriber> subscribers = new LinkedHashSet<>();

    private final class Subscriber implements Connection.Listener {
        private final Connection connection;
        private final StringBuilder line = new StringBuilder();
        private boolean subscribed;

        Subscriber(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void onReceived(ByteBuffer bytes) {
            line.append(StandardCharsets.US_ASCII.decode(bytes));
            int end = line.indexOf("\n");
            if (end >= 0 && line.toString().startsWith("SUB ")) {
                int last = Integer.parseInt(line.substring(4, end).strip());
                subscribed = true;
                published
                        .subList(Math.min(last, published.size()), published.size())
                        .forEach(this::send);
                send(Integer.toString(published.size()));
            }
        }

        private void send(String text) {
            connection.write((text + "\n").getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void onClosed(Exception cause) {
            subscribers.remove(this);
        }
    }

    /** Listens on a port of its own. */
    public StandInFeed(EventLoop loop, Events events, ClientStatistics statistics) throws IOException {
        this.loop = loop;
        this.events = events;
        this.statistics = statistics;
        acceptor = new Acceptor(loop, Loopback.at(0), c -> {
            Subscriber subscriber = new Subscriber(c);
            c.setListener(subscriber);
            subscribers.add(subscriber);
        });
        sendHeartbeat();
    }

    private void sendHeartbeat() {
        subscribers.stream().filter(l -> l.subscribed).forEach(l -> l.send(Integer.toString(published.size())));
        loop.scheduleAfter(HEARTBEAT_INTERVAL, this::sendHeartbeat);
    }

    /** Returns the address at which the feed accepts connections. */
    public InetSocketAddress address() throws IOException {
        return acceptor.address();
    }

    /**
     * Publishes the state of an engine.
     *
     * @param health Ready, Terminating or Gone
     * @param bornUs start time; 0 for long ago
     */
    void publish(long nowUs, String engine, InetSocketAddress address, String zone, String health, long bornUs) {
        String engineJson = engineJson(engine, address, zone, health, bornUs);
        int sequence = published.size() + 1;
        published.add(eventJson(sequence, sequence == 1, engineJson));
        if (health.equals("Gone")) {
            listedEngines.remove(engine);
        } else {
            listedEngines.put(engine, engineJson);
        }
        if (!health.equals("Ready")) {
            statistics.drainAnnouncedUs.put(engine, nowUs);
        }
        events.add(nowUs, "feed", "told", "engine", engine, "outcome", health);
        subscribers.stream().filter(l -> l.subscribed).forEach(l -> l.send(published.get(sequence - 1)));
    }

    private static String engineJson(
            String engine, InetSocketAddress address, String zone, String health, long bornUs) {
        return String.format(
                Locale.ROOT,
                "{\"host\":\"%s\",\"dial\":\"%s:%d\",\"site\":\"%s\","
                        + "\"class\":\"std-8\",\"block\":0,\"health\":\"%s\",\"share\":1,\"born_ms\":%d}",
                engine,
                Loopback.HOST,
                address.getPort(),
                zone,
                health,
                bornUs / 1000);
    }

    /** Publishes ready engines in one event that replaces the whole list. */
    void publishAll(int engines, IntFunction<InetSocketAddress> addresses) {
        for (int i = 0; i < engines; i++) {
            String engine = "engine-" + i;
            listedEngines.put(
                    engine,
                    engineJson(
                            engine,
                            addresses.apply(i),
                            LabDeployment.ZONES.get(i % LabDeployment.ZONES.size()),
                            "Ready",
                            0));
        }
        int sequence = published.size() + 1;
        published.add(eventJson(sequence, true, String.join(",", listedEngines.values())));
        subscribers.stream().filter(l -> l.subscribed).forEach(l -> l.send(published.get(sequence - 1)));
    }

    private static String eventJson(int sequence, boolean whole, String hosts) {
        return "{\"n\":" + sequence + ",\"members\":{\"seq\":" + sequence + ",\"whole\":" + whole + ",\"hosts\":["
                + hosts + "]}}";
    }

    /** Returns the endpoint list as one event, in the form of a gateway's configuration. */
    public String snapshotJson() {
        int sequence = published.size();
        return "{\"n\":" + sequence + ",\"events\":["
                + eventJson(Math.max(1, sequence), true, String.join(",", listedEngines.values())) + "]}";
    }

    /** Stops the feed and closes its connections. */
    public void close() {
        acceptor.close();
        List.copyOf(subscribers).forEach(l -> l.connection.close());
    }
}
