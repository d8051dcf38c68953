package sandpaddle.fleet.link.tcp;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import sandpaddle.fleet.link.LinkSettings.Address;
import sandpaddle.fleet.link.Links.LossReason;
import sandpaddle.fleet.link.manager.LinkManager;
import sandpaddle.fleet.link.manager.LinkTransport;

/**
 * The sockets of all links on one selector. All methods except {@link #wake} are called under the lock of {@link
 * TcpLinks}.
 */
final class SocketTransport implements LinkTransport {
    /** Small, because urgent frames cannot overtake bytes in the kernel's buffer. */
    private static final int SEND_BUFFER_BYTES = 256 << 10;

    private static final int BUFFER_BYTES = 64 << 10;
    private static final int MAX_READS_PER_TURN = 4;

    private final Selector selector;
    private final HostResolver resolver = new HostResolver();
    private final Map<Long, FramedSocket> sockets = new HashMap<>();
    private final ClosingConnections closing = new ClosingConnections();
    private final Queue<FramedSocket> writeQueue = new ArrayDeque<>();
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private final ByteBuffer writeBuffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private LinkManager manager;
    private boolean isReading = true;
    private long nowUs;
    private long bytesIn;
    private long bytesOut;

    SocketTransport(Selector selector) {
        this.selector = selector;
    }

    void setManager(LinkManager linkManager) {
        manager = linkManager;
    }

    /** Bytes received over all sockets since the start. */
    long bytesIn() {
        return bytesIn;
    }

    /** Bytes sent over all sockets since the start. */
    long bytesOut() {
        return bytesOut;
    }

    void wake() {
        selector.wakeup();
    }

    @Override
    public void connect(long connectionId, Address target) {
        try {
            SocketChannel channel = SocketChannel.open(StandardProtocolFamily.INET);
            FramedSocket socket = new FramedSocket(connectionId, channel);
            sockets.put(connectionId, socket);
            resolver.resolve(target, channel::isOpen, (address, fault) -> {
                tasks.add(() -> connect(socket, address, fault));
                selector.wakeup();
            });
        } catch (IOException e) {
            tasks.add(() -> manager.connectionEnded(
                    nowUs, connectionId, LossReason.UNREACHABLE, "cannot open a socket: " + e.getMessage()));
        }
    }

    private void connect(FramedSocket socket, InetSocketAddress address, String fault) {
        if (sockets.get(socket.id) != socket) {
            return;
        }
        if (address == null) {
            end(socket, LossReason.UNREACHABLE, fault);
            return;
        }
        try {
            configure(socket.channel);
            boolean done = socket.channel.connect(address);
            socket.key = socket.channel.register(selector, SelectionKey.OP_CONNECT, socket);
            if (done) {
                connected(socket);
            }
        } catch (IOException | RuntimeException e) {
            end(socket, connectFailure(e), address + ": " + e.getMessage());
        }
    }

    private static void configure(SocketChannel channel) throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.setOption(StandardSocketOptions.SO_SNDBUF, SEND_BUFFER_BYTES);
    }

    /** REFUSED if the peer's host refused the connection; any other failure, such as a TCP timeout, is UNREACHABLE. */
    private static LossReason connectFailure(Exception error) {
        return error instanceof ConnectException
                        && String.valueOf(error.getMessage()).contains("refused")
                ? LossReason.REFUSED
                : LossReason.UNREACHABLE;
    }

    private void connected(FramedSocket socket) {
        socket.key.interestOps(isReading ? SelectionKey.OP_READ : 0);
        manager.connectionEstablished(nowUs, socket.id);
    }

    /** Registers a connection accepted from a peer. */
    void accept(long currentUs, SocketChannel channel) {
        nowUs = currentUs;
        FramedSocket socket = new FramedSocket(manager.connectionAccepted(nowUs, remoteAddress(channel)), channel);
        if (socket.id == 0) {
            socket.close();
            return;
        }
        sockets.put(socket.id, socket);
        try {
            configure(channel);
            socket.key = channel.register(selector, isReading ? SelectionKey.OP_READ : 0, socket);
        } catch (IOException e) {
            end(socket, LossReason.CLOSED, "connection lost: " + e.getMessage());
        }
    }

    private static String remoteAddress(SocketChannel channel) {
        return channel.socket().getInetAddress().getHostAddress() + ":"
                + channel.socket().getPort();
    }

    @Override
    public void framesQueued(long connectionId) {
        FramedSocket socket = sockets.get(connectionId);
        if (socket != null && !socket.isWriteQueued) {
            socket.isWriteQueued = true;
            writeQueue.add(socket);
        }
    }

    @Override
    public void close(long connectionId, ByteBuffer finalFrame) {
        FramedSocket socket = sockets.remove(connectionId);
        if (socket == null) {
            return;
        }
        if (finalFrame == null || !socket.channel.isConnected() || !closing.add(socket, nowUs)) {
            socket.close();
            return;
        }
        socket.sendFinalFrame(finalFrame);
        writeQueue.add(socket);
        socket.setInterest(SelectionKey.OP_READ, true);
    }

    private void end(FramedSocket socket, LossReason reason, String detail) {
        if (sockets.remove(socket.id) != null) {
            socket.close();
            manager.connectionEnded(nowUs, socket.id, reason, detail);
        }
        closing.closeIfPresent(socket);
    }

    /** Handles the operations that a key is ready for. */
    void keyReady(long currentUs, SelectionKey key) {
        nowUs = currentUs;
        FramedSocket socket = (FramedSocket) key.attachment();
        try {
            if (key.isConnectable() && socket.channel.finishConnect()) {
                connected(socket);
            }
            if (key.isValid() && key.isReadable()) {
                read(socket);
            }
            if (key.isValid() && key.isWritable()) {
                write(socket);
            }
        } catch (IOException e) {
            boolean open = socket.channel.isConnected();
            end(
                    socket,
                    open ? LossReason.CLOSED : connectFailure(e),
                    open ? "connection lost: " + e.getMessage() : String.valueOf(e.getMessage()));
        } catch (RuntimeException e) {
            end(socket, LossReason.CLOSED, "internal error: " + e);
        }
    }

    private void read(FramedSocket socket) throws IOException {
        for (int round = 0; round < MAX_READS_PER_TURN && socket.channel.isOpen(); round++) {
            readBuffer.clear();
            int count = socket.channel.read(readBuffer);
            if (count < 0) {
                end(socket, LossReason.CLOSED, "closed by the peer");
                return;
            }
            bytesIn += count;
            if (!socket.isClosing && count > 0) {
                manager.bytesReceived(nowUs, socket.id, readBuffer.flip());
            }
            if (count < BUFFER_BYTES) {
                return;
            }
        }
    }

    private void write(FramedSocket socket) throws IOException {
        long before = socket.sentBytes;
        FramedSocket.WriteResult written =
                socket.write(writeBuffer, () -> socket.isClosing ? null : manager.nextFrame(socket.id));
        bytesOut += socket.sentBytes - before;
        if (written != FramedSocket.WriteResult.NOTHING && !socket.isClosing) {
            manager.bytesWritten(nowUs, socket.id, socket.isWritten());
        }
        socket.setInterest(SelectionKey.OP_WRITE, written != FramedSocket.WriteResult.ALL);
        if (socket.isClosing && written == FramedSocket.WriteResult.ALL) {
            // keeps reading: closing with unread bytes would reset the connection and lose the last frame
            socket.channel.shutdownOutput();
        }
    }

    /** Runs the queued tasks and writes the frames queued since the last call. */
    void runTurn(long currentUs) {
        nowUs = currentUs;
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
        for (FramedSocket socket = writeQueue.poll(); socket != null; socket = writeQueue.poll()) {
            socket.isWriteQueued = false;
            if (socket.channel.isOpen() && socket.channel.isConnected()) {
                try {
                    write(socket);
                } catch (IOException e) {
                    end(socket, LossReason.CLOSED, "connection lost: " + e.getMessage());
                }
            }
        }
        closing.expire(nowUs);
    }

    /** Enables or disables reading; it is disabled while the fleet's thread has too many bytes to process. */
    void setReading(boolean enabled) {
        if (enabled != isReading) {
            isReading = enabled;
            sockets.values().stream()
                    .filter(socket -> socket.channel.isConnected())
                    .forEach(socket -> socket.setInterest(SelectionKey.OP_READ, enabled));
        }
    }

    void closeAll() {
        closing.closeAll();
        sockets.values().forEach(FramedSocket::close);
        resolver.close();
        try {
            selector.close();
        } catch (IOException | ClosedSelectorException e) {
            isReading = false; // closed in any case
        }
    }
}
