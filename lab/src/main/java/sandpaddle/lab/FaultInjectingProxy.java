package sandpaddle.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import sandpaddle.eventloop.Acceptor;
import sandpaddle.eventloop.Connection;
import sandpaddle.eventloop.EventLoop;

/**
 * A fault-injecting TCP proxy for one link: connections to it are forwarded to a target. Each direction can be cut
 * independently (bytes are dropped while both ends stay open), delayed or throttled; frames between gateways can be
 * dropped or duplicated; connections can be made half-open. Since bytes are missing after a cut, its connections are
 * reset when it heals. Runs on the event loop's thread.
 */
public final class FaultInjectingProxy {
    /** Faults of one direction of a link. */
    static final class Direction {
        boolean cut;
        Duration delay = Duration.ZERO;
        double dropProbability; // of each frame
        double duplicateProbability; // of each frame
        long bytesPerSecond; // 0 for unlimited
    }

    private static final int LENGTH_PREFIX_BYTES = 4;
    private static final int MAX_FRAME_BYTES = 1 << 21;

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final Acceptor acceptor;
    private final SplittableRandom random;
    private final boolean framed;
    private final Set<ProxiedConnection> openConnections = new LinkedHashSet<>();
    private final Set<Connection> halfOpen = new LinkedHashSet<>(); // ends not told that the other end is closed
    final Direction toTarget = new Direction();
    final Direction fromTarget = new Direction();
    private boolean refusing;
    private long received; // bytes in both directions

    /**
     * Starts a proxy on a port of its own.
     *
     * @param framed whether the traffic consists of frames with a length prefix of four bytes
     */
    public FaultInjectingProxy(EventLoop loop, InetSocketAddress target, SplittableRandom random, boolean framed)
            throws IOException {
        this.loop = loop;
        this.target = target;
        this.random = random;
        this.framed = framed;
        acceptor = new Acceptor(loop, Loopback.at(0), this::accept);
    }

    /** Returns the address at which the proxy accepts connections. */
    public InetSocketAddress address() throws IOException {
        return acceptor.address();
    }

    private void accept(Connection client) {
        if (refusing) {
            client.close();
            return;
        }
        ProxiedConnection proxied = new ProxiedConnection(client);
        openConnections.add(proxied);
        proxied.open();
    }

    /** Bytes received in both directions; 0 for traffic that is not framed. */
    long frameBytes() {
        return framed ? received : 0;
    }

    /** Sets whether new connections are closed at once; enabling it also resets the open ones. */
    void setRefusing(boolean enabled) {
        refusing = enabled;
        if (enabled) {
            reset();
        }
    }

    /** Closes all connections. */
    void reset() {
        List.copyOf(openConnections).forEach(ProxiedConnection::closeBoth);
        halfOpen.forEach(Connection::close);
        halfOpen.clear();
    }

    /**
     * Closes one end of each connection; the other end is not told and gets no more bytes.
     *
     * @param closeServer whether to close the target's end
     */
    void makeHalfOpen(boolean closeServer) {
        List.copyOf(openConnections).forEach(p -> p.makeHalfOpen(closeServer));
    }

    /** Drops all bytes in both directions, while both ends stay open. */
    public void cut() {
        toTarget.cut = true;
        fromTarget.cut = true;
    }

    /** Removes all faults in both directions. */
    public void heal() {
        boolean wasCut = toTarget.cut || fromTarget.cut || !halfOpen.isEmpty();
        for (Direction direction : List.of(toTarget, fromTarget)) {
            direction.cut = false;
            direction.delay = Duration.ZERO;
            direction.dropProbability = 0;
            direction.duplicateProbability = 0;
            direction.bytesPerSecond = 0;
        }
        refusing = false;
        if (wasCut) {
            reset();
        }
    }

    /** Stops the proxy and closes its connections. */
    public void close() {
        acceptor.close();
        reset();
    }

    /** A client connection and its connection to the target. */
    private final class ProxiedConnection {
        private final Connection client;
        private Connection server;
        private boolean ended;

        ProxiedConnection(Connection client) {
            this.client = client;
        }

        void open() {
            client.setListener(new DirectionListener(toTarget, this, true));
            try {
                server = Connection.open(
                        loop, EventLoop.HandlerPriority.ENGINE, target, new DirectionListener(fromTarget, this, false));
            } catch (IOException e) {
                closeBoth();
            }
        }

        void closeBoth() {
            if (!ended) {
                ended = true;
                openConnections.remove(this);
                client.close();
                if (server != null) {
                    server.close();
                }
            }
        }

        void makeHalfOpen(boolean closeServer) {
            if (!ended && server != null) {
                ended = true;
                openConnections.remove(this);
                halfOpen.add(closeServer ? client : server);
                (closeServer ? server : client).close();
            }
        }

        void write(boolean toServer, byte[] bytes) {
            Connection to = toServer ? server : client;
            if (!ended && to != null) {
                to.write(bytes);
            }
        }
    }

    /** Forwards one direction of a connection. */
    private final class DirectionListener implements Connection.Listener {
        private final Direction direction;
        private final ProxiedConnection proxied;
        private final boolean toServer;
        private byte[] partial = new byte[0];
        private int frameCount;
        private Instant earliestDelivery = Instant.EPOCH; // no byte is delivered before the preceding ones

        DirectionListener(Direction direction, ProxiedConnection proxied, boolean toServer) {
            this.direction = direction;
            this.proxied = proxied;
            this.toServer = toServer;
        }

        @Override
        public void onReceived(ByteBuffer bytes) {
            byte[] chunk = new byte[bytes.remaining()];
            received += chunk.length;
            bytes.get(chunk);
            if (!framed) {
                forward(chunk);
                return;
            }
            byte[] all = java.util.Arrays.copyOf(partial, partial.length + chunk.length);
            System.arraycopy(chunk, 0, all, partial.length, chunk.length);
            int from = 0;
            while (all.length - from >= LENGTH_PREFIX_BYTES) {
                int length = ByteBuffer.wrap(all, from, LENGTH_PREFIX_BYTES).getInt();
                if (length < 0 || length > MAX_FRAME_BYTES || all.length - from < LENGTH_PREFIX_BYTES + length) {
                    break;
                }
                forwardFrame(java.util.Arrays.copyOfRange(all, from, from + LENGTH_PREFIX_BYTES + length));
                from += LENGTH_PREFIX_BYTES + length;
            }
            partial = java.util.Arrays.copyOfRange(all, from, all.length);
        }

        /**
         * Forwards a frame. The first frame of a connection, the handshake, is never dropped or duplicated: without it
         * the link would not be established.
         */
        private void forwardFrame(byte[] frame) {
            boolean first = frameCount++ == 0;
            if (!first && random.nextDouble() < direction.dropProbability) {
                return;
            }
            forward(frame);
            if (!first && random.nextDouble() < direction.duplicateProbability) {
                forward(frame);
            }
        }

        private void forward(byte[] chunk) {
            if (direction.cut) {
                return;
            }
            Instant at = loop.now().plus(direction.delay);
            if (direction.bytesPerSecond > 0) {
                at = at.plusNanos(chunk.length * 1_000_000_000L / direction.bytesPerSecond);
            }
            if (at.isBefore(earliestDelivery)) {
                at = earliestDelivery; // preserves the order
            }
            earliestDelivery = at;
            if (at.isAfter(loop.now())) {
                loop.schedule(at, () -> deliver(chunk));
            } else {
                deliver(chunk);
            }
        }

        private void deliver(byte[] chunk) {
            if (!direction.cut) {
                proxied.write(toServer, chunk);
            }
        }

        /** Closes the other end, except during a cut, which also hides a close. */
        @Override
        public void onClosed(Exception cause) {
            halfOpen.remove(toServer ? proxied.client : proxied.server);
            if (!direction.cut) {
                proxied.closeBoth();
            }
        }
    }
}
