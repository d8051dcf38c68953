package sandpaddle.fleet.link.tcp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;
import static sandpaddle.fleet.link.tcp.RawPeer.greeting;
import static sandpaddle.fleet.link.tcp.TestNode.CLUSTER;
import static sandpaddle.fleet.link.tcp.TestNode.LONG_TIMEOUTS;
import static sandpaddle.fleet.link.tcp.TestNode.SHORT_TIMEOUTS;

import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;
import sandpaddle.fleet.link.LinkSettings;
import sandpaddle.fleet.link.MessageKind;
import sandpaddle.fleet.link.frame.Frame;
import sandpaddle.fleet.wire.CborOut;

/** Links over real sockets: messages, and each reason for which a link ends. */
public class TcpLinksTest {
    private static final LinkSettings.Times SHORT_SEND_STALL_TIMEOUT =
            new LinkSettings.Times(60_000_000, 300_000, 2_000_000, 600_000, 10_000, 50_000);

    private static RawPeer connectLinkedPeer(TestNode a, long incarnation) throws Exception {
        RawPeer b = RawPeer.connect(a.links.port()).handshake(greeting(1, CLUSTER, "b", "a", incarnation));
        a.await("up");
        return b;
    }

    @Test
    public void simultaneousConnectsGiveOneLinkThatCarriesEveryKind() throws Exception {
        try (TestNode a = new TestNode("a", LONG_TIMEOUTS);
                TestNode b = new TestNode("b", LONG_TIMEOUTS)) {
            a.connectTo(b.member());
            b.connectTo(a.member());
            a.await("up");
            b.await("up");
            for (MessageKind kind : MessageKind.values()) {
                assertTrue(a.links.send("b", kind, new byte[100 * kind.ordinal()]));
                assertEquals(b.await("received " + kind).detail(), 100 * kind.ordinal() + " bytes");
                assertTrue(b.links.send("a", kind, new byte[300_000]));
                assertEquals(a.await("received " + kind).detail(), "300000 bytes");
            }
            assertEquals(a.links.counts().linksDown() + b.links.counts().linksDown(), 0, "no flapping");
            assertFalse(a.links.send("c", MessageKind.RAFT, new byte[0]), "there is no link to a peer of this name");
            assertFalse(
                    a.links.send("b", MessageKind.RAFT, new byte[1 << 20]), "the message exceeds the longest frame");
            assertEquals(a.links.counts().oversized(), 1);
        }
    }

    @Test
    public void bothSidesCountTheSameTraffic() throws Exception {
        try (TestNode a = new TestNode("a", LONG_TIMEOUTS);
                TestNode b = new TestNode("b", LONG_TIMEOUTS)) {
            a.connectTo(b.member());
            a.await("up");
            b.await("up");
            assertTrue(a.links.send("b", MessageKind.HEARTBEAT, new byte[1000]));
            assertTrue(a.links.send("b", MessageKind.HEARTBEAT, new byte[2000]));
            b.await("received HEARTBEAT");
            b.await("received HEARTBEAT");
            assertFalse(
                    a.links.send("c", MessageKind.HEARTBEAT, new byte[9000]),
                    "a message that is not queued is not counted");
            assertEquals(a.links.traffic().messagesOut(), 2);
            assertEquals(b.links.traffic().messagesIn(), 2);
            assertEquals(a.links.traffic().messagesIn() + b.links.traffic().messagesOut(), 0);
            TestNode.until(
                    "all bytes sent were received",
                    () -> a.links.traffic().bytesOut() == b.links.traffic().bytesIn());
            long bytes = b.links.traffic().bytesIn();
            assertTrue(bytes > 3000 && bytes < 3000 + 1000, "payloads plus a handshake: " + bytes);
        }
    }

    @Test
    public void aPeerThatAcceptsWithoutAHandshakeIsUnreachable() throws Exception {
        try (TestNode a = new TestNode("a", SHORT_TIMEOUTS);
                ServerSocket server = RawPeer.listen()) {
            a.connectTo(TestNode.at("b", server.getLocalPort()));
            try (RawPeer b = RawPeer.accept(server)) {
                assertTrue(a.await("UNREACHABLE").detail().startsWith("no handshake with 127.0.0.1:"));
                assertNotNull(b.receive(Frame.Hello.class));
            }
            try (RawPeer b = RawPeer.accept(server)) {
                b.answerHello(greeting(1, CLUSTER, "b", "a", 5));
                assertEquals(a.await("up").peer(), "b");
            }
        }
    }

    @Test
    public void anUnresponsiveLinkEndsAndThePeerIsNotifiedWhy() throws Exception {
        try (TestNode a = new TestNode("a", SHORT_TIMEOUTS);
                RawPeer b = connectLinkedPeer(a, 5)) {
            assertNotNull(b.receive(Frame.Ping.class));
            assertTrue(a.await("SILENT").detail().startsWith("nothing heard for "));
            assertTrue(b.receive(Frame.Bye.class).reason().startsWith("a: nothing heard for "));
        }
    }

    @Test
    public void aPeerThatReadsNothingIsSendStalled() throws Exception {
        try (TestNode a = new TestNode("a", SHORT_SEND_STALL_TIMEOUT);
                ServerSocket server = RawPeer.listen()) {
            a.connectTo(TestNode.at("b", server.getLocalPort()));
            try (RawPeer b = RawPeer.accept(server).answerHello(greeting(1, CLUSTER, "b", "a", 5))) {
                a.await("up");
                while (a.links.send("b", MessageKind.CONTENT, new byte[500_000])) {
                    Thread.onSpinWait();
                }
                assertTrue(a.await("CLOGGED").detail().contains("bytes queued, none accepted for "));
            }
        }
    }

    /** Guards against consensus messages that wait behind content: content fills only its part of the queue. */
    @Test
    public void aFullQueueRejectsContentAndAcceptsConsensus() throws Exception {
        try (TestNode a = new TestNode("a", LONG_TIMEOUTS);
                ServerSocket server = RawPeer.listen()) {
            a.connectTo(TestNode.at("b", server.getLocalPort()));
            try (RawPeer b = RawPeer.accept(server).answerHello(greeting(1, CLUSTER, "b", "a", 5))) {
                a.await("up");
                int content = 0;
                while (a.links.send("b", MessageKind.CONTENT, new byte[1000])) {
                    content++;
                }
                assertTrue(a.links.send("b", MessageKind.RAFT, new byte[2]));
                assertEquals(a.links.counts().queueFull(), 1);
                int contentReceived = 0;
                for (Frame frame = b.receive();
                        !(frame instanceof Frame.Data data && data.kind() == MessageKind.RAFT);
                        frame = b.receive()) {
                    contentReceived += frame instanceof Frame.Data ? 1 : 0;
                }
                assertTrue(
                        contentReceived < content,
                        "consensus is sent before the queued content: " + contentReceived + " of " + content);
                for (int i = contentReceived; i < content; i++) {
                    assertEquals(b.receive(Frame.Data.class).payload().length, 1000);
                }
            }
        }
    }

    @Test
    public void aFrameOverTheBoundEndsTheLinkNamingPeerAndLength() throws Exception {
        try (TestNode a = new TestNode("a", LONG_TIMEOUTS);
                RawPeer b = connectLinkedPeer(a, 5)) {
            b.sendBytes(ByteBuffer.allocate(4).putInt((1 << 20) + 1).array());
            String detail = a.await("MALFORMED").detail();
            assertTrue(
                    detail.startsWith("b (127.0.0.1:")
                            && detail.endsWith("): frame of 1048577 bytes is over the bound of 1048576"),
                    detail);
            assertTrue(b.receive(Frame.Bye.class).reason().contains("frame of 1048577 bytes"));
        }
    }

    @Test
    public void aMalformedMessageEndsTheLink() throws Exception {
        try (TestNode a = new TestNode("a", LONG_TIMEOUTS);
                RawPeer b = connectLinkedPeer(a, 5)) {
            b.sendBytes(new byte[] {0, 0, 0, 2, 16, 1});
            assertTrue(a.await("MALFORMED").detail().endsWith("value 2 is no byte string"));
        }
    }

    @Test
    public void aKindOfALaterVersionIsSkippedAndCounted() throws Exception {
        try (TestNode a = new TestNode("a", LONG_TIMEOUTS);
                RawPeer b = connectLinkedPeer(a, 5)) {
            byte[] later = new CborOut().number(4711).text("new").done();
            b.sendBytes(ByteBuffer.allocate(4 + later.length)
                    .putInt(later.length)
                    .put(later)
                    .array());
            b.send(new Frame.Data(MessageKind.HEARTBEAT, new byte[7]));
            assertEquals(a.await("received HEARTBEAT").detail(), "7 bytes");
            assertEquals(a.links.counts().unknownFrames(), 1);
        }
    }

    @Test
    public void aResetIsClosedAndAClosedPortIsRefusedUntilItListens() throws Exception {
        int port;
        try (TestNode a = new TestNode("a", SHORT_TIMEOUTS)) {
            try (ServerSocket server = RawPeer.listen()) {
                port = server.getLocalPort();
                a.connectTo(TestNode.at("b", port));
                RawPeer b = RawPeer.accept(server).answerHello(greeting(1, CLUSTER, "b", "a", 5));
                a.await("up");
                server.close();
                b.reset();
            }
            assertNotNull(a.await("CLOSED"));
            assertNotNull(a.await("REFUSED"));
            try (TestNode b = new TestNode(
                    "b", CLUSTER, 6, port, SHORT_TIMEOUTS, LinkSettings.Bounds.DEFAULT, Map.of(), name -> true)) {
                assertEquals(a.await("up").detail(), "6");
                assertEquals(b.await("up").peer(), "a");
            }
            assertTrue(a.await("CLOSED").detail().endsWith("b leaves"));
        }
    }

    @Test
    public void anAddressOverrideReplacesTheAdvertisedAddress() throws Exception {
        try (TestNode b = new TestNode("b", LONG_TIMEOUTS);
                TestNode a = new TestNode(
                        "a",
                        CLUSTER,
                        1,
                        0,
                        LONG_TIMEOUTS,
                        LinkSettings.Bounds.DEFAULT,
                        Map.of("b", new LinkSettings.Address("localhost", b.links.port())),
                        name -> true)) {
            a.connectTo(TestNode.at("b", 1));
            assertEquals(a.await("up").peer(), "b");
        }
    }

    /** Guards against unbounded memory: while the fleet's thread is behind, messages wait at the peer; none is lost. */
    @Test
    public void aSlowFleetThreadPausesReadingButKeepsTheLink() throws Exception {
        LinkSettings.Bounds smallBounds = new LinkSettings.Bounds(1 << 20, 8 << 20, 4096, 512, 64, 1 << 20);
        CountDownLatch unblocked = new CountDownLatch(1);
        try (TestNode b = new TestNode("b", CLUSTER, 1, 0, SHORT_TIMEOUTS, smallBounds, Map.of(), name -> true);
                TestNode a = new TestNode("a", LONG_TIMEOUTS)) {
            b.fleet.execute(() -> {
                try {
                    unblocked.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            a.connectTo(b.member());
            a.await("up");
            int sent = 0;
            while (sent < 40) {
                sent += a.links.send("b", MessageKind.RAFT, new byte[400_000]) ? 1 : 0;
                if (b.links.waitingBytes() > 1 << 20 && !a.links.send("b", MessageKind.CONTENT, new byte[400_000])) {
                    break; // the send queue fills because nothing is read
                }
            }
            assertTrue(b.links.waitingBytes() < 4 << 20, "waiting bytes " + b.links.waitingBytes());
            unblocked.countDown();
            for (int i = 0; i < sent; i++) {
                b.await("received RAFT");
            }
            assertEquals(b.links.counts().linksDown(), 0);
        }
    }
}
