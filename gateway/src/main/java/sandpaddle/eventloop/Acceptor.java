package sandpaddle.eventloop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** A listening socket that passes accepted connections to a handler. Confined to the event loop's thread. */
public final class Acceptor implements EventLoop.ChannelHandler {
    private static final int BACKLOG = 512;

    /** Backoff after a failed accept: the process may be out of descriptors, and the loop must not spin. */
    private static final Duration ACCEPT_BACKOFF = Duration.ofMillis(20);

    /** Limit on connections accepted in one turn, so that a flood of them does not delay the other channels. */
    private static final int MAX_ACCEPTS_PER_TURN = 64;

    private final EventLoop loop;
    private final ServerSocketChannel channel;
    private final SelectionKey key;
    private final Consumer<Connection> connectionHandler;

    /**
     * Listens on an address.
     *
     * @param loop the event loop
     * @param address the address; port 0 stands for any free port
     * @param connectionHandler receives each accepted connection and must set its listener
     * @throws IOException if the address cannot be bound
     */
    public Acceptor(EventLoop loop, InetSocketAddress address, Consumer<Connection> connectionHandler)
            throws IOException {
        this.loop = loop;
        this.connectionHandler = connectionHandler;
        channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(address, BACKLOG);
        key = loop.register(channel, SelectionKey.OP_ACCEPT, this);
    }

    /** The address on which it listens, with the assigned port if port 0 was requested. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    @Override
    public EventLoop.HandlerPriority priority() {
        return EventLoop.HandlerPriority.LISTENER;
    }

    @Override
    public void onReady(SelectionKey ready) throws IOException {
        accept(MAX_ACCEPTS_PER_TURN);
    }

    private void accept(int max) throws IOException {
        SocketChannel accepted = channel.accept();
        for (int i = 1; accepted != null; i++) {
            register(accepted);
            accepted = i < max ? channel.accept() : null;
        }
    }

    /** A connection that was reset already is dropped; those behind it in the backlog are accepted. */
    private void register(SocketChannel accepted) {
        Connection connection;
        try {
            connection = Connection.accepted(loop, accepted);
        } catch (IOException e) {
            Logger.debug("connection closed before it was registered: {}", e.toString());
            return;
        }
        connectionHandler.accept(connection);
    }

    /** Accepts pending connections, without waiting for the next turn. */
    public void acceptWaiting() {
        if (channel.isOpen()) {
            try {
                accept(MAX_ACCEPTS_PER_TURN);
            } catch (IOException e) {
                onFailure(e);
            }
        }
    }

    /** Stops accepting for {@link #ACCEPT_BACKOFF}. */
    @Override
    public void onFailure(Exception cause) {
        Logger.warn("cannot accept a connection: {}", cause.toString());
        if (key.isValid()) {
            key.interestOps(0);
            loop.scheduleAfter(ACCEPT_BACKOFF, () -> {
                if (key.isValid()) {
                    key.interestOps(SelectionKey.OP_ACCEPT);
                }
            });
        }
    }

    /** Stops listening. Accepts the connections in the backlog first, since closing the socket would reset them. */
    public void close() {
        try {
            accept(BACKLOG);
        } catch (IOException e) {
            Logger.warn("cannot accept a connection: {}", e.toString());
        }
        try {
            channel.close();
        } catch (IOException e) {
            Logger.warn("cannot close the listening socket: {}", e.toString());
        }
    }
}
