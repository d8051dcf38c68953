package sandpaddle.fleet.link.tcp;

import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import sandpaddle.fleet.link.LinkSettings;
import sandpaddle.fleet.link.Links;
import sandpaddle.fleet.link.MessageKind;
import sandpaddle.fleet.member.Member;

/** The links of one gateway on the loopback interface, with the events that its listener received. */
final class TestNode implements Links.Listener, AutoCloseable {
    static final String CLUSTER = "paddle";
    /** Short liveness, send stall and handshake timeouts, which still suffice on a busy machine. */
    static final LinkSettings.Times SHORT_TIMEOUTS =
            new LinkSettings.Times(1_000_000, 600_000, 2_000_000, 600_000, 10_000, 50_000);

    /** Liveness and send stall timeouts that do not elapse during a test. */
    static final LinkSettings.Times LONG_TIMEOUTS =
            new LinkSettings.Times(60_000_000, 60_000_000, 2_000_000, 600_000, 10_000, 50_000);

    /** An event of the listener: a message, a link that came up with its incarnation, or a loss with its reason. */
    record Event(String type, String peer, String detail) {}

    final String name;
    final TcpLinks links;
    final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    final ExecutorService fleet = Executors.newSingleThreadExecutor();

    TestNode(String name, LinkSettings.Times times) throws IOException {
        this(name, CLUSTER, 1, 0, times, LinkSettings.Bounds.DEFAULT, Map.of(), member -> true);
    }

    TestNode(
            String name,
            String cluster,
            long incarnation,
            int port,
            LinkSettings.Times times,
            LinkSettings.Bounds bounds,
            Map<String, LinkSettings.Address> addressOverrides,
            Predicate<String> isMember)
            throws IOException {
        this.name = name;
        LinkSettings settings = new LinkSettings(
                cluster, new Member(name, "hall-1", "127.0.0.1", 1), incarnation, times, bounds, addressOverrides);
        links = new TcpLinks(
                settings,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                isMember,
                this,
                fleet,
                name.hashCode());
    }

    static Member at(String name, int port) {
        return new Member(name, "hall-1", "127.0.0.1", port);
    }

    Member member() {
        return at(name, links.port());
    }

    TestNode connectTo(Member... members) {
        links.setPeers(Set.of(members));
        return this;
    }

    @Override
    public void messageReceived(String from, MessageKind kind, byte[] payload) {
        events.add(new Event("received " + kind, from, payload.length + " bytes"));
    }

    @Override
    public void peerUp(Member peer, long incarnation) {
        events.add(new Event("up", peer.name(), String.valueOf(incarnation)));
    }

    @Override
    public void peerDown(String peer, Links.LossReason reason, String detail) {
        events.add(new Event(reason.logName(), peer, detail));
    }

    /** Waits for an event of a type and skips others; fails after the timeout. */
    Event await(String type) throws InterruptedException {
        List<Event> skipped = new ArrayList<>();
        for (Event event = next(); event != null; event = next()) {
            if (event.type.equals(type)) {
                return event;
            }
            skipped.add(event);
        }
        assertNotNull(null, "no " + type + " at " + name + " after " + skipped);
        return null;
    }

    private Event next() throws InterruptedException {
        return events.poll(RawPeer.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Waits for a condition; fails after the timeout. */
    static void until(String condition, BooleanSupplier holds) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RawPeer.TIMEOUT_MS);
        while (!holds.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "timed out waiting until " + condition);
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() {
        links.close();
        fleet.shutdownNow();
    }
}
