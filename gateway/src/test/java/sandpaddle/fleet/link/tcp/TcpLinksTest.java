package sandpaddle.fleet.link.tcp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;
import static sandpaddle.fleet.link.tcp.RawPeer.greeting;
import static sandpaddle.fleet.link.tcp.TestNode.CLUSTER;
import static sandpaddle.fleet.link.tcp.TestNode.PATIENT;
import static sandpaddle.fleet.link.tcp.TestNode.TIMES;

import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;
import sandpaddle.fleet.link.LinkSettings;
import sandpaddle.fleet.link.MessageKind;
import sandpaddle.fleet.link.frame.Frame;
import sandpaddle.fleet.wire.CborOut;

/** Links over real sockets, and each way in which they end. */
public class LinkStories {
    private static final LinkSettings.Times CLOGGING =
            new LinkSettings.Times(60_000_000, 300_000, 2_000_000, 600_000, 10_000, 50_000);

    private static RawPeer linked(TestNode a, long incarnation) throws Exception {
        RawPeer b = RawPeer.connect(a.links.port()).greet(greeting(1, CLUSTER, "b", "a", incarnation));
        a.await("up");
        return b;
    }

    @Test
    public void simultaneousConnectsGiveOneLinkThatCarriesEveryKind() throws Exception {
        try (TestNode a = new TestNode("a", PATIENT);
                TestNode b = new TestNode("b", PATIENT)) {
            a.want(b.member());
            b.want(a.member());
            a.await("up");
            b.await("up");
            for (MessageKind kind : MessageKind.values()) {
                assertTrue(a.links.send("b", kind, new byte[100 * kind.ordinal()]));
                assertEquals(b.await("received " + kind).detail(), 100 * kind.ordinal() + " bytes");
                assertTrue(b.links.send("a", kind, new byte[300_000]));
                assertEquals(a.await("received " + kind).detail(), "300000 bytes");
            }
            assertEquals(a.links.counts().linksDown() + b.links.counts().linksDown(), 0, "no flapping");
            assertFalse(a.links.send("c", MessageKind.RAFT, new byte[0]), "nobody of that name is linked");
            assertFalse(
                    a.links.send("b", MessageKind.RAFT, new byte[1 << 20]), "no frame may be longer than the bound");
            assertEquals(a.links.counts().oversized(), 1);
        }
    }

    @Test
    public void bothSidesCountTheSameTraffic() throws Exception {
        try (TestNode a = new TestNode("a", PATIENT);
                TestNode b = new TestNode("b", PATIENT)) {
            a.want(b.member());
            a.await("up");
            b.await("up");
            assertTrue(a.links.send("b", MessageKind.HEARTBEAT, new byte[1000]));
            assertTrue(a.links.send("b", MessageKind.HEARTBEAT, new byte[2000]));
            b.await("received HEARTBEAT");
            b.await("received HEARTBEAT");
            assertFalse(a.links.send("c", MessageKind.HEARTBEAT, new byte[9000]), "what is not taken is not counted");
            assertEquals(a.links.traffic().messagesOut(), 2);
            assertEquals(b.links.traffic().messagesIn(), 2);
            assertEquals(a.links.traffic().messagesIn() + b.links.traffic().messagesOut(), 0);
            TestNode.until(
                    "all bytes that went out came in",
                    () -> a.links.traffic().bytesOut() == b.links.traffic().bytesIn());
            long bytes = b.links.traffic().bytesIn();
            assertTrue(bytes > 3000 && bytes < 3000 + 1000, "payloads and a handshake: " + bytes);
        }
    }

    @Test
    public void aPeerThatAcceptsWithoutAHandshakeIsUnreachable() throws Exception {
        try (TestNode a = new TestNode("a", TIMES);
                ServerSocket server = RawPeer.listen()) {
            a.want(TestNode.at("b", server.getLocalPort()));
            try (RawPeer b = RawPeer.accept(server)) {
                assertTrue(a.await("UNREACHABLE").detail().startsWith("no handshake with 127.0.0.1:"));
                assertNotNull(b.hear(Frame.Hello.class));
            }
            try (RawPeer b = RawPeer.accept(server)) {
                b.welcome(greeting(1, CLUSTER, "b", "a", 5));
                assertEquals(a.await("up").peer(), "b");
            }
        }
    }

    @Test
    public void anUnresponsiveLinkEndsAndThePeerIsNotifiedWhy() throws Exception {
        try (TestNode a = new TestNode("a", TIMES);
                RawPeer b = linked(a, 5)) {
            assertNotNull(b.hear(Frame.Ping.class));
            assertTrue(a.await("SILENT").detail().startsWith("nothing heard for "));
            assertTrue(b.hear(Frame.Bye.class).reason().startsWith("a: nothing heard for "));
        }
    }

    @Test
    public void aPeerThatReadsNothingIsSendStalled() throws Exception {
        try (TestNode a = new TestNode("a", CLOGGING);
                ServerSocket server = RawPeer.listen()) {
            a.want(TestNode.at("b", server.getLocalPort()));
            try (RawPeer b = RawPeer.accept(server).welcome(greeting(1, CLUSTER, "b", "a", 5))) {
                a.await("up");
                while (a.links.send("b", MessageKind.CONTENT, new byte[500_000])) {
                    Thread.onSpinWait();
                }
                assertTrue(a.await("CLOGGED").detail().contains("bytes wait, none taken for "));
            }
        }
    }

    /** Guards against agreement that waits behind content: the queue is full for one and has room for the other. */
    @Test
    public void aFullQueueRejectsContentAndAcceptsConsensus() throws Exception {
        try (TestNode a = new TestNode("a", PATIENT);
                ServerSocket server = RawPeer.listen()) {
            a.want(TestNode.at("b", server.getLocalPort()));
            try (RawPeer b = RawPeer.accept(server).welcome(greeting(1, CLUSTER, "b", "a", 5))) {
                a.await("up");
                int content = 0;
                while (a.links.send("b", MessageKind.CONTENT, new byte[1000])) {
                    content++;
                }
                assertTrue(a.links.send("b", MessageKind.RAFT, new byte[2]));
                assertEquals(a.links.counts().queueFull(), 1);
                int before = 0;
                for (Frame f = b.hear();
                        !(f instanceof Frame.Data data && data.kind() == MessageKind.RAFT);
                        f = b.hear()) {
                    before += f instanceof Frame.Data ? 1 : 0;
                }
                assertTrue(before < content, "agreement went first: " + before + " of " + content);
                for (int i = before; i < content; i++) {
                    assertEquals(b.hear(Frame.Data.class).payload().length, 1000);
                }
            }
        }
    }

    @Test
    public void aFrameOverTheBoundEndsTheLinkNamingPeerAndLength() throws Exception {
        try (TestNode a = new TestNode("a", PATIENT);
                RawPeer b = linked(a, 5)) {
            b.bytes(ByteBuffer.allocate(4).putInt((1 << 20) + 1).array());
            String detail = a.await("MALFORMED").detail();
            assertTrue(
                    detail.startsWith("b (127.0.0.1:")
                            && detail.endsWith("): frame of 1048577 bytes is over the bound of 1048576"),
                    detail);
            assertTrue(b.hear(Frame.Bye.class).reason().contains("frame of 1048577 bytes"));
        }
    }

    @Test
    public void aMalformedMessageEndsTheLink() throws Exception {
        try (TestNode a = new TestNode("a", PATIENT);
                RawPeer b = linked(a, 5)) {
            b.bytes(new byte[] {0, 0, 0, 2, 16, 1});
            assertTrue(a.await("MALFORMED").detail().endsWith("value 2 is no byte string"));
        }
    }

    @Test
    public void aKindOfALaterVersionIsSkippedAndCounted() throws Exception {
        try (TestNode a = new TestNode("a", PATIENT);
                RawPeer b = linked(a, 5)) {
            byte[] later = new CborOut().number(4711).text("new").done();
            b.bytes(ByteBuffer.allocate(4 + later.length)
                    .putInt(later.length)
                    .put(later)
                    .array());
            b.say(new Frame.Data(MessageKind.HEARTBEAT, new byte[7]));
            assertEquals(a.await("received HEARTBEAT").detail(), "7 bytes");
            assertEquals(a.links.counts().unknownFrames(), 1);
        }
    }

    @Test
    public void aResetIsClosedAndAClosedPortIsRefusedUntilItListens() throws Exception {
        int port;
        try (TestNode a = new TestNode("a", TIMES)) {
            try (ServerSocket server = RawPeer.listen()) {
                port = server.getLocalPort();
                a.want(TestNode.at("b", port));
                RawPeer b = RawPeer.accept(server).welcome(greeting(1, CLUSTER, "b", "a", 5));
                a.await("up");
                server.close();
                b.reset();
            }
            assertNotNull(a.await("CLOSED"));
            assertNotNull(a.await("REFUSED"));
            try (TestNode b =
                    new TestNode("b", CLUSTER, 6, port, TIMES, LinkSettings.Bounds.DEFAULT, Map.of(), n -> true)) {
                assertEquals(a.await("up").detail(), "6");
                assertEquals(b.await("up").peer(), "a");
            }
            assertTrue(a.await("CLOSED").detail().endsWith("b leaves"));
        }
    }

    @Test
    public void anAddressOverrideReplacesTheAdvertisedAddress() throws Exception {
        try (TestNode b = new TestNode("b", PATIENT);
                TestNode a = new TestNode(
                        "a",
                        CLUSTER,
                        1,
                        0,
                        PATIENT,
                        LinkSettings.Bounds.DEFAULT,
                        Map.of("b", new LinkSettings.Address("localhost", b.links.port())),
                        n -> true)) {
            a.want(TestNode.at("b", 1));
            assertEquals(a.await("up").peer(), "b");
        }
    }

    /** Guards the memory: what the fleet's thread does not take stays with the peer, and comes when it does. */
    @Test
    public void aSlowFleetThreadPausesReadingButKeepsTheLink() throws Exception {
        LinkSettings.Bounds little = new LinkSettings.Bounds(1 << 20, 8 << 20, 4096, 512, 64, 1 << 20);
        CountDownLatch go = new CountDownLatch(1);
        try (TestNode b = new TestNode("b", CLUSTER, 1, 0, TIMES, little, Map.of(), n -> true);
                TestNode a = new TestNode("a", PATIENT)) {
            b.fleet.execute(() -> {
                try {
                    go.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            a.want(b.member());
            a.await("up");
            int sent = 0;
            while (sent < 40) {
                sent += a.links.send("b", MessageKind.RAFT, new byte[400_000]) ? 1 : 0;
                if (b.links.waitingBytes() > 1 << 20 && !a.links.send("b", MessageKind.CONTENT, new byte[400_000])) {
                    break; // the peer's queue fills as nothing is read
                }
            }
            assertTrue(b.links.waitingBytes() < 4 << 20, "holds " + b.links.waitingBytes());
            go.countDown();
            for (int i = 0; i < sent; i++) {
                b.await("received RAFT");
            }
            assertEquals(b.links.counts().linksDown(), 0);
        }
    }
}
