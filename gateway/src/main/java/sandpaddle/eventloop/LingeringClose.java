package sandpaddle.eventloop;

import java.nio.ByteBuffer;
import java.time.Duration;

/**
 * Closes a connection so that the peer can still read the last bytes written to it: shuts the output down, then reads
 * and discards input until the peer closes, for a bounded time and amount. Closing with unread input would reset the
 * connection, and the peer could lose the bytes written before (RFC 9112, section 9.6).
 *
 * <p>Confined to the event loop's thread.
 */
public final class LingeringClose implements Connection.Listener {
    private static final Duration MAX_DURATION = Duration.ofSeconds(1);
    private static final long MAX_DISCARDED_BYTES = 8L * 1024 * 1024;

    private final Connection connection;
    private final Runnable callback;
    private final TimerQueue.Timer timeout;
    private long discardedBytes;
    private boolean done;

    private LingeringClose(EventLoop loop, Connection connection, Runnable callback) {
        this.connection = connection;
        this.callback = callback;
        timeout = loop.scheduleAfter(MAX_DURATION, this::close);
    }

    /**
     * Starts to close a connection, whose listener it replaces.
     *
     * @param loop the event loop
     * @param connection the connection
     * @param lastBytes written before the output is shut down; may be empty
     * @param callback runs once the connection is closed, during this call, in a later turn or in {@link #close()}
     */
    public static LingeringClose start(EventLoop loop, Connection connection, byte[] lastBytes, Runnable callback) {
        LingeringClose lingering = new LingeringClose(loop, connection, callback);
        connection.setListener(lingering);
        connection.setReading(true);
        connection.writeAndShutdownOutput(lastBytes);
        connection.readAvailable();
        return lingering;
    }

    /** Closes the connection now, after discarding the bytes that have arrived. */
    public void close() {
        connection.readAvailable();
        finish();
    }

    private void finish() {
        if (!done) {
            done = true;
            timeout.cancel();
            connection.close();
            callback.run();
        }
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
        discardedBytes += bytes.remaining();
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            finish();
        }
    }

    @Override
    public void onClosed(Exception cause) {
        finish();
    }
}
