package sandpaddle.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import sandpaddle.config.InvalidFieldException;
import sandpaddle.eventloop.Connection;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.eventloop.TimerQueue;

/**
 * A connection to the control feed: subscribes, splits the stream into lines, and detects by timeouts that it failed.
 *
 * <p>Confined to the event loop's thread.
 */
final class WatchConnection implements Connection.Listener {
    /** The feed sends a heartbeat every second; without bytes for this long the connection has failed. */
    static final Duration SILENCE_TIMEOUT = Duration.ofMillis(1600);

    /** Limit from the first byte of a line to its end: a list of thousands of engines may arrive slowly. */
    private static final Duration LINE_TIMEOUT = Duration.ofSeconds(5);

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(800);

    /** Receives the lines. */
    interface Listener {
        /** The version of the last applied event, from which the connection subscribes. */
        long lastVersion();

        /** Called for each complete line; the connection fails if this throws. */
        void onLine(WatchConnection connection, byte[] line) throws IOException, InvalidFieldException;

        /** Called once if the connection has failed, but not after {@link #close}. */
        void onFailed(WatchConnection connection, String reason);
    }

    private final EventLoop loop;
    private final Listener listener;
    private final LineDecoder lines = new LineDecoder();
    private Connection connection;
    private TimerQueue.Timer timeout;
    private Instant lineStartedAt; // null between lines
    private boolean lineReceived;
    private boolean closed;

    WatchConnection(EventLoop loop, Listener listener) {
        this.loop = loop;
        this.listener = listener;
    }

    /** Starts to connect; a failure is reported during this call or in a later turn. */
    void open(InetSocketAddress address) {
        timeout = loop.scheduleAfter(
                CONNECT_TIMEOUT, () -> fail("not connected within " + CONNECT_TIMEOUT.toMillis() + " ms"));
        try {
            connection = Connection.open(loop, EventLoop.HandlerPriority.ENDPOINT_LIST, address, this);
        } catch (IOException e) {
            fail(e.toString());
        }
    }

    boolean isClosed() {
        return closed;
    }

    /** Whether a complete line has been received and handled. */
    boolean hasReceivedLine() {
        return lineReceived;
    }

    /**
     * Reads the bytes that have arrived, without waiting for the next turn. Must not be called while a connection is
     * being read.
     */
    void readAvailable() {
        if (!closed && connection != null) {
            connection.readAvailable();
        }
    }

    /** Closes the connection without notifying the listener. */
    void close() {
        closed = true;
        timeout.cancel();
        if (connection != null) {
            connection.close();
        }
    }

    /** Closes the connection and notifies the listener, unless it is closed already. */
    void fail(String reason) {
        if (!closed) {
            close();
            listener.onFailed(this, reason);
        }
    }

    @Override
    public void onConnected() {
        connection.write(("SUB " + listener.lastVersion() + "\n").getBytes(StandardCharsets.US_ASCII));
        restartSilenceTimeout();
    }

    private void restartSilenceTimeout() {
        timeout.cancel();
        timeout = loop.scheduleAfter(SILENCE_TIMEOUT, () -> fail("no bytes for " + SILENCE_TIMEOUT.toMillis() + " ms"));
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
        try {
            for (byte[] line = lines.decode(bytes); line != null && !closed; line = lines.decode(bytes)) {
                lineStartedAt = null;
                listener.onLine(this, line);
                lineReceived = true;
            }
        } catch (IOException | InvalidFieldException e) {
            fail("malformed line: " + e.getMessage());
        }
        if (lines.isTooLong()) {
            fail("line longer than " + LineDecoder.MAX_LINE_BYTES + " bytes");
        } else if (!closed) {
            checkLineTimeout();
        }
    }

    /** Any byte restarts the silence timeout; a line that is incomplete for too long fails the connection. */
    private void checkLineTimeout() {
        if (!lines.isWithinLine()) {
            lineStartedAt = null;
        } else if (lineStartedAt == null) {
            lineStartedAt = loop.now();
        }
        if (lineStartedAt != null && !loop.now().isBefore(lineStartedAt.plus(LINE_TIMEOUT))) {
            fail("line incomplete after " + LINE_TIMEOUT.toSeconds() + " s");
        } else {
            restartSilenceTimeout();
        }
    }

    @Override
    public void onClosed(Exception cause) {
        fail(cause == null ? "closed by the feed" : cause.toString());
    }
}
