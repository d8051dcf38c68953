package sandpaddle.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.tinylog.Logger;
import sandpaddle.config.EndpointListEvent;
import sandpaddle.config.InvalidFieldException;
import sandpaddle.config.JsonObject;
import sandpaddle.config.PlatformNames;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.eventloop.TimerQueue;

/**
 * Watches the control feed for changes of the endpoint list, and delivers each event once, in the order of versions. A
 * connection that times out, sends a malformed line or misses an event is replaced by one that subscribes from the last
 * version, with an exponential backoff of 10 to 400 ms.
 *
 * <p>Confined to the event loop's thread.
 */
public final class EndpointWatcher {
    private static final Duration MIN_BACKOFF = Duration.ofMillis(10);
    private static final Duration MAX_BACKOFF = Duration.ofMillis(400);

    /** A heartbeat is a line that contains only the version of the feed. */
    private static final Pattern HEARTBEAT = Pattern.compile("\\d{1,18}");

    private final EventLoop loop;
    private final PlatformNames names;
    private final Consumer<EndpointListEvent> listener;
    private final WatchConnection.Listener lineListener = new LineListener();
    private InetSocketAddress address;
    private long lastVersion;
    private long refetchedVersion; // latest event that was requested again because of errors in it
    private WatchConnection current;
    private WatchConnection previous; // to the previous address, null if closed
    private TimerQueue.Timer retryTimer;
    private Duration backoff = MIN_BACKOFF;

    /**
     * Creates a watcher that is not started.
     *
     * @param loop the event loop
     * @param address where the control feed listens
     * @param names names of zones and machine kinds, for parsing events
     * @param lastVersion version of the last event that {@code listener} has received from another source
     * @param listener receives the events
     */
    public EndpointWatcher(
            EventLoop loop,
            InetSocketAddress address,
            PlatformNames names,
            long lastVersion,
            Consumer<EndpointListEvent> listener) {
        this.loop = loop;
        this.address = address;
        this.names = names;
        this.lastVersion = lastVersion;
        this.listener = listener;
    }

    /** Opens a connection and subscribes. */
    public void start() {
        current = new WatchConnection(loop, lineListener);
        current.open(address);
    }

    /**
     * Switches to another address at once. The previous connection stays open until 1.6 s after the first line on the
     * new one, so that an event which only the previous feed delivers is not missed; an event that arrives on both is
     * applied once. If the address changes again before the new connection has received a line, the previous one is
     * kept.
     */
    public void setAddress(InetSocketAddress next) {
        if (next.equals(address)) {
            return;
        }
        Logger.info("control feed: address changed to {}, last version {}", next, lastVersion);
        address = next;
        backoff = MIN_BACKOFF;
        if (retryTimer != null) {
            retryTimer.cancel();
            retryTimer = null;
        }
        if (current.hasReceivedLine() || previous == null || previous.isClosed()) {
            closePrevious();
            previous = current;
        } else {
            current.close();
        }
        start();
    }

    /** Closes the previous connection, after reading the bytes that have arrived on it. */
    private void closePrevious() {
        WatchConnection closing = previous;
        if (closing != null) {
            closing.readAvailable();
            previous = null;
            closing.close();
        }
    }

    /**
     * Reads the bytes that have arrived since the turn began. Called during a long turn, so that no request is sent to
     * an engine whose drain was announced in the meantime.
     */
    public void readAvailable() {
        if (previous != null) {
            previous.readAvailable();
        }
        current.readAvailable();
    }

    /**
     * Applies an event that is the next one or a complete list; ignores an outdated one.
     *
     * @return false if an event in between is missing, so that this one was not applied
     */
    public boolean apply(EndpointListEvent event) {
        if (event.version() > lastVersion + 1 && !event.fullList()) {
            return false;
        }
        if (event.version() > lastVersion) {
            lastVersion = event.version();
            listener.accept(event);
        }
        return true;
    }

    private void reconnectLater(String reason) {
        Logger.info("control feed: {}; reconnecting from version {}", reason, lastVersion);
        retryTimer = loop.scheduleAfter(backoff, this::start);
        Duration doubled = backoff.multipliedBy(2);
        backoff = doubled.compareTo(MAX_BACKOFF) < 0 ? doubled : MAX_BACKOFF;
    }

    /** Handles the lines of both connections. */
    private final class LineListener implements WatchConnection.Listener {
        @Override
        public long lastVersion() {
            return lastVersion;
        }

        @Override
        public void onLine(WatchConnection connection, byte[] line) throws IOException, InvalidFieldException {
            if (connection == current && !connection.hasReceivedLine() && previous != null) {
                closePreviousLater(previous);
            }
            String text = new String(line, StandardCharsets.UTF_8).strip();
            if (HEARTBEAT.matcher(text).matches()) {
                onHeartbeat(connection, Long.parseLong(text));
            } else if (!text.isEmpty()) {
                onEvent(connection, EndpointListEvent.parse(JsonObject.parse(line, ""), names));
            }
        }

        private void closePreviousLater(WatchConnection closing) {
            loop.scheduleAfter(WatchConnection.SILENCE_TIMEOUT, () -> {
                if (closing == previous) {
                    closePrevious();
                }
            });
        }

        private void onHeartbeat(WatchConnection connection, long version) {
            if (version > lastVersion) {
                connection.fail("heartbeat has version " + version + "; expected at most " + lastVersion);
            } else {
                backoff = MIN_BACKOFF;
            }
        }

        /** An event with errors is requested again once, in case it was corrupted; then it is applied as it is. */
        private void onEvent(WatchConnection connection, EndpointListEvent event) {
            if (!event.errors().isEmpty() && event.version() > refetchedVersion) {
                refetchedVersion = event.version();
                connection.fail(
                        "event " + event.version() + ": " + event.errors().get(0));
            } else if (apply(event)) {
                backoff = MIN_BACKOFF;
            } else {
                connection.fail(
                        "event " + event.version() + " follows " + lastVersion + "; expected " + (lastVersion + 1));
            }
        }

        @Override
        public void onFailed(WatchConnection connection, String reason) {
            if (connection == current) {
                reconnectLater(reason);
            }
        }
    }
}
