package sandpaddle.eventloop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * A non-blocking TCP connection, accepted or opened. Bytes that the socket does not accept at once are queued; the
 * owner bounds the queue by means of {@link #unsentBytes()}.
 *
 * <p>Confined to the event loop's thread.
 */
public final class Connection implements EventLoop.ChannelHandler {
    /** Receives the events of a connection. {@link #onClosed} is the last one. */
    public interface Listener {
        /** The connection that was opened is established. */
        default void onConnected() {}

        /** Bytes were received; the listener must consume them before it returns. */
        void onReceived(ByteBuffer bytes);

        /** All queued bytes have been passed to the socket. */
        default void onFlushed() {}

        /**
         * The connection was closed by the peer or failed. Not called after {@link Connection#close}.
         *
         * @param cause the failure, null if the peer closed the connection
         */
        void onClosed(Exception cause);
    }

    /**
     * Limit on reads in one turn, so that a peer that floods does not delay the others. Several are allowed, so that a
     * close behind a few bytes is noticed in the same turn.
     */
    private static final int MAX_READS_PER_TURN = 4;

    /** Limit on the bytes of a client that are read at once outside its share of a turn. */
    public static final int MAX_READ_AVAILABLE_BYTES = 256 * 1024;

    private final EventLoop loop;
    private final EventLoop.HandlerPriority priority;
    private final SocketChannel channel;
    private final SelectionKey key;
    private final InputScheduler.Account inputAccount; // null for connections that were opened
    private final ArrayDeque<ByteBuffer> outbound = new ArrayDeque<>();
    private Listener listener;
    private boolean reading = true;
    private Instant unreadSince; // since when bytes may wait that were not read for lack of a share; null if none do
    private boolean connected;
    private boolean sendingStarted;
    private boolean closed;
    private boolean shutdownWhenFlushed;
    private boolean outputShutdown;
    private long unsentBytes;

    private Connection(
            EventLoop loop,
            EventLoop.HandlerPriority priority,
            SocketChannel channel,
            Listener listener,
            boolean connected)
            throws IOException {
        this.loop = loop;
        this.priority = priority;
        this.channel = channel;
        this.listener = listener;
        this.connected = connected;
        inputAccount = connected ? loop.inputScheduler().open() : null;
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        key = loop.register(channel, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
    }

    /** Wraps an accepted channel; the listener must be set before the first read. */
    static Connection accepted(EventLoop loop, SocketChannel channel) throws IOException {
        try {
            return new Connection(loop, EventLoop.HandlerPriority.CLIENT, channel, null, true);
        } catch (IOException | RuntimeException e) {
            channel.close(); // the client has disconnected already; frees the descriptor
            throw e;
        }
    }

    /**
     * Opens a connection; the listener is notified of the outcome in a later turn.
     *
     * @param loop the event loop
     * @param priority when its events are handled in a turn
     * @param address the peer
     * @param listener receives its events
     *
     * @throws IOException if connecting fails at once
     */
    public static Connection open(
            EventLoop loop, EventLoop.HandlerPriority priority, InetSocketAddress address, Listener listener)
            throws IOException {
        SocketChannel channel = SocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.connect(address);
            return new Connection(loop, priority, channel, listener, false);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e instanceof IOException io ? io : new IOException(e);
        }
    }

    /** Replaces the listener. */
    public void setListener(Listener next) {
        listener = next;
    }

    /** Whether the connection is established and not closed. */
    public boolean isConnected() {
        return connected && !closed;
    }

    @Override
    public EventLoop.HandlerPriority priority() {
        return priority;
    }

    /** {@inheritDoc} Its owner charges the commands that it handles. */
    @Override
    public InputScheduler.Account inputAccount() {
        return inputAccount;
    }

    @Override
    public void onReady(SelectionKey ready) throws IOException {
        if (ready.isConnectable() && !connected) { // the selector may report it twice
            channel.finishConnect();
            connected = true;
            updateInterest();
            listener.onConnected();
            return;
        }
        if (ready.isReadable() && reading) {
            readInTurn();
        }
        if (!closed && ready.isWritable()) {
            send();
        }
    }

    private void updateInterest() {
        if (key.isValid()) {
            key.interestOps(
                    !connected
                            ? SelectionKey.OP_CONNECT
                            : (reading ? SelectionKey.OP_READ : 0) | (unsentBytes > 0 ? SelectionKey.OP_WRITE : 0));
        }
    }

    // ---- Reading.

    /** Turns reading on or off. While it is off, the peer's writes block once the buffers of both sockets are full. */
    public void setReading(boolean on) {
        reading = on;
        updateInterest();
    }

    /** The earliest time at which the bytes that are read now may have been readable. */
    public Instant readableSince() {
        return unreadSince == null ? loop.readableSince() : unreadSince;
    }

    private void readInTurn() throws IOException {
        int reads = priority == EventLoop.HandlerPriority.ENGINE ? 1 : MAX_READS_PER_TURN;
        boolean more = reading && read(limited(loop.readBuffer())) > 0;
        while (more && --reads > 0 && reading && mayRead()) {
            more = read(limited(loop.readBuffer())) > 0;
        }
        noteUnread(more && !mayRead());
    }

    private ByteBuffer limited(ByteBuffer buffer) {
        return inputAccount == null ? buffer : buffer.limit(inputAccount.maxReadBytes());
    }

    private boolean mayRead() {
        return inputAccount == null || inputAccount.mayRead();
    }

    private void noteUnread(boolean left) {
        unreadSince = !left ? null : unreadSince == null ? loop.readableSince() : unreadSince;
    }

    /** Reads once; returns the number of bytes, which is not positive if there are none. */
    private int read(ByteBuffer buffer) throws IOException {
        int bytes = closed ? 0 : channel.read(buffer);
        if (bytes > 0) {
            if (inputAccount != null) {
                inputAccount.chargeRead(bytes);
            }
            listener.onReceived(buffer.flip());
        } else if (bytes < 0) {
            onFailure(null);
        }
        return bytes;
    }

    /** Reads what has arrived, without waiting for the next turn, as far as the client's share of the turn allows. */
    public void readWithinShare() {
        if (connected && !closed) {
            try {
                readInTurn();
            } catch (IOException e) {
                onFailure(e);
            }
        }
    }

    /**
     * Reads all bytes that have arrived, and the peer's close, without waiting for the next turn. Called before work is
     * started for the peer and before the connection is closed. Ends when the listener turns reading off, and after
     * {@link #MAX_READ_AVAILABLE_BYTES} of a client: one that sends without pause may refill the socket for ever.
     *
     * @return whether all was read; false if the limit was reached
     */
    public boolean readAvailable() {
        int total = 0;
        try {
            while (connected && reading) {
                int bytes = read(loop.readAvailableBuffer());
                if (bytes <= 0) {
                    unreadSince = null;
                    return true;
                }
                total += bytes;
                if (inputAccount != null && total >= MAX_READ_AVAILABLE_BYTES) {
                    return false;
                }
            }
        } catch (IOException e) {
            onFailure(e);
        }
        return true;
    }

    /**
     * Reads once, outside the turns and without notifying the listener.
     *
     * @param receiver receives the bytes, if any have arrived; must consume them before it returns
     * @return the number of bytes; 0 if none have arrived, -1 if the peer has closed the connection or it has failed
     */
    public int readOnce(Consumer<ByteBuffer> receiver) {
        if (closed) {
            return -1;
        }
        try {
            ByteBuffer buffer = loop.readAvailableBuffer();
            int bytes = channel.read(buffer);
            if (bytes > 0) {
                receiver.accept(buffer.flip());
            }
            return bytes;
        } catch (IOException e) {
            return -1;
        }
    }

    // ---- Writing.

    /** The number of queued bytes, which the socket has not accepted yet; 0 once the connection is closed. */
    public long unsentBytes() {
        return unsentBytes;
    }

    /** Whether a write was attempted since {@link #clearStartedSending}, so that a byte may have been sent. */
    public boolean startedSending() {
        return sendingStarted;
    }

    /** Resets {@link #startedSending}. */
    public void clearStartedSending() {
        sendingStarted = false;
    }

    /** Writes or queues bytes; no effect on a closed connection. The array must not be modified afterwards. */
    public void write(byte[] bytes) {
        if (closed) {
            return;
        }
        outbound.add(ByteBuffer.wrap(bytes));
        unsentBytes += bytes.length;
        try {
            send();
        } catch (IOException e) {
            onFailure(e);
        }
    }

    private void send() throws IOException {
        if (!connected) {
            return;
        }
        boolean hadUnsent = unsentBytes > 0;
        while (!outbound.isEmpty()) {
            ByteBuffer first = outbound.peek();
            sendingStarted = true; // before the write, since a byte may be sent even if it throws
            unsentBytes -= channel.write(first);
            if (first.hasRemaining()) {
                break;
            }
            outbound.poll();
        }
        updateInterest();
        if (hadUnsent && unsentBytes == 0) {
            listener.onFlushed();
            if (shutdownWhenFlushed) {
                shutdownOutput();
            }
        }
    }

    /** Writes the last bytes, and shuts the output down once they are passed to the socket. Reading continues. */
    void writeAndShutdownOutput(byte[] lastBytes) {
        shutdownWhenFlushed = true;
        if (lastBytes.length > 0) {
            write(lastBytes);
        }
        if (unsentBytes == 0) {
            shutdownOutput();
        }
    }

    private void shutdownOutput() {
        if (!closed && !outputShutdown) {
            outputShutdown = true;
            try {
                channel.shutdownOutput();
            } catch (IOException e) {
                onFailure(e);
            }
        }
    }

    // ---- Closing.

    /** Closes the connection and notifies the listener; {@code cause} is null if the peer closed it. */
    @Override
    public void onFailure(Exception cause) {
        if (!closed) {
            close();
            listener.onClosed(cause);
        }
    }

    /**
     * Closes the connection by a reset, without notifying the listener: the system drops the bytes that the peer has
     * not received yet. After a plain close it goes on sending them, and sends them again once a partition is over.
     */
    public void reset() {
        if (!closed) {
            try {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException e) {
                Logger.debug("connection closed without a reset: {}", e.toString());
            }
            close();
        }
    }

    /** Closes the connection and drops queued bytes, without notifying the listener. */
    public void close() {
        if (!closed) {
            closed = true;
            outbound.clear();
            unsentBytes = 0;
            key.cancel();
            try {
                channel.close();
            } catch (IOException e) {
                // the descriptor is freed even so
            }
            loop.channelClosed();
        }
    }
}
