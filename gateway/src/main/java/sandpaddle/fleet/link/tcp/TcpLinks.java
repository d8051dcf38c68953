package sandpaddle.fleet.link.tcp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.function.Predicate;
import sandpaddle.fleet.link.LinkSettings;
import sandpaddle.fleet.link.Links;
import sandpaddle.fleet.link.MessageKind;
import sandpaddle.fleet.link.manager.LinkCounts;
import sandpaddle.fleet.link.manager.LinkManager;
import sandpaddle.fleet.member.Member;
import sandpaddle.log.LogEvent;

/**
 * Links over TCP with sockets and a thread of their own ({@code fleet-link}), so that the event loop that serves
 * queries never waits for a gateway. {@link LinkManager} decides; this class executes its decisions and provides the
 * time. Cost: one wake-up every fortieth of the liveness timeout, and those for traffic. Memory: bounded by the
 * settings (a queue and one frame for each peer), plus the events waiting for the fleet's thread. Thread-safe:
 * all state is guarded by one lock.
 */
public final class TcpLinks implements Links, AutoCloseable {
    private static final int ACCEPT_BACKLOG = 256;
    private static final int MAX_ACCEPTED_AT_ONCE = 64;
    /** After a failed accept, for example without free file descriptors; connections wait in the backlog. */
    private static final long ACCEPT_BACKOFF_US = 1_000_000;

    private final LinkSettings settings;
    private final long startNs = System.nanoTime();
    private final long tickIntervalUs;
    private final Object lock = new Object();
    private final Selector selector;
    private final ServerSocketChannel serverChannel;
    private final SelectionKey serverKey;
    private final SocketTransport sockets;
    private final LinkEventQueue eventQueue;
    private final LinkManager manager;
    private final Thread thread;
    private long nextTickUs;
    private long acceptResumesUs;
    private long messagesOut;
    private volatile boolean closed;

    /**
     * Binds the listening socket and starts the thread.
     *
     * @param settings settings of the links
     * @param listen address to listen on
     * @param isMember whether a name is a member's; called on the link thread for each handshake and tick
     * @param listener receives the events, on the fleet's thread
     * @param fleet runs the listener's calls in order on a thread of its own; it must not run them in the call
     * @param seed seed of the backoff
     * @throws IOException if it cannot listen on the address
     */
    public TcpLinks(
            LinkSettings settings,
            InetSocketAddress listen,
            Predicate<String> isMember,
            Listener listener,
            Executor fleet,
            long seed)
            throws IOException {
        this.settings = settings;
        tickIntervalUs = Math.max(1000, Math.min(50_000, settings.times().livenessTimeoutUs() / 40));
        selector = Selector.open();
        serverChannel = ServerSocketChannel.open(StandardProtocolFamily.INET);
        try {
            serverChannel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            serverChannel.bind(listen, ACCEPT_BACKLOG);
            serverChannel.configureBlocking(false);
            serverKey = serverChannel.register(selector, SelectionKey.OP_ACCEPT);
        } catch (IOException | RuntimeException e) {
            serverChannel.close();
            selector.close();
            throw new IOException("fleet links cannot listen on " + listen + ": " + e.getMessage(), e);
        }
        eventQueue = new LinkEventQueue(listener, fleet, this::now);
        sockets = new SocketTransport(selector);
        manager = new LinkManager(settings, isMember, new SplittableRandom(seed), sockets, eventQueue);
        sockets.setManager(manager);
        thread = new Thread(this::run, "fleet-link");
        thread.setDaemon(true);
        thread.start();
    }

    private long now() {
        return (System.nanoTime() - startNs) / 1000;
    }

    /** The port of the listening socket. */
    public int port() {
        return serverChannel.socket().getLocalPort();
    }

    /** The counters since the start; from any thread. */
    public LinkCounts counts() {
        synchronized (lock) {
            return manager.counts();
        }
    }

    /** The traffic of all links since the start; from any thread. */
    public LinkTraffic traffic() {
        synchronized (lock) {
            return new LinkTraffic(sockets.bytesIn(), sockets.bytesOut(), eventQueue.messages(), messagesOut);
        }
    }

    /** Bytes received that the fleet's thread has not processed yet. */
    public long waitingBytes() {
        return eventQueue.waitingBytes();
    }

    @Override
    public boolean send(String peer, MessageKind kind, byte[] payload) {
        boolean accepted;
        synchronized (lock) {
            accepted = !closed && manager.send(now(), peer, kind, payload);
            messagesOut += accepted ? 1 : 0;
        }
        if (accepted) {
            sockets.wake();
        }
        return accepted;
    }

    @Override
    public void setPeers(Set<Member> peers) {
        synchronized (lock) {
            if (!closed) {
                manager.setPeers(now(), peers);
            }
        }
        sockets.wake();
    }

    private void run() {
        try {
            while (!closed) {
                selector.select(Math.max(1, (nextTickUs - now() + 999) / 1000));
                synchronized (lock) {
                    runTurnSafely(now());
                }
            }
        } catch (IOException e) {
            LogEvent.of("link thread ended by an I/O error")
                    .with("fault", String.valueOf(e))
                    .warn();
        } finally {
            synchronized (lock) {
                closed = true;
                manager.closeAll();
                sockets.runTurn(now());
                sockets.closeAll();
            }
        }
    }

    /** Survives an exception, so that a bug in one turn does not disconnect the gateway until its restart. */
    private void runTurnSafely(long nowUs) {
        try {
            runTurn(nowUs);
        } catch (RuntimeException e) {
            eventQueue.internalError(nowUs, e);
            selector.selectedKeys().clear();
        }
    }

    private void runTurn(long nowUs) {
        boolean reading = eventQueue.waitingBytes() <= settings.bounds().maxInboundBytes();
        sockets.setReading(reading);
        for (SelectionKey key : selector.selectedKeys()) {
            if (key == serverKey) {
                accept(nowUs);
            } else if (key.isValid()) {
                sockets.keyReady(nowUs, key);
            }
        }
        selector.selectedKeys().clear();
        if (nowUs >= nextTickUs) {
            nextTickUs = nowUs + tickIntervalUs;
            if (nowUs >= acceptResumesUs) {
                serverKey.interestOps(SelectionKey.OP_ACCEPT);
            }
            manager.tick(nowUs, reading);
        }
        sockets.runTurn(nowUs);
    }

    private void accept(long nowUs) {
        try {
            for (int i = 0; i < MAX_ACCEPTED_AT_ONCE; i++) {
                SocketChannel channel = serverChannel.accept();
                if (channel == null) {
                    return;
                }
                sockets.accept(nowUs, channel);
            }
        } catch (IOException e) {
            LogEvent.of("cannot accept connections of peers")
                    .with("fault", String.valueOf(e.getMessage()))
                    .warn();
            acceptResumesUs = nowUs + ACCEPT_BACKOFF_US;
            serverKey.interestOps(0);
        }
    }

    /** Notifies the peers, closes all connections and waits up to 2 s for the thread to end. */
    @Override
    public void close() {
        closed = true;
        sockets.wake();
        try {
            thread.join(2000);
            serverChannel.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            LogEvent.of("cannot close the listening socket of the links")
                    .with("fault", String.valueOf(e.getMessage()))
                    .debug();
        }
    }
}
