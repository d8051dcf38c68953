package sandpaddle.fleet.link.tcp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static sandpaddle.fleet.link.tcp.RawPeer.greeting;
import static sandpaddle.fleet.link.tcp.TestNode.CLUSTER;
import static sandpaddle.fleet.link.tcp.TestNode.LONG_TIMEOUTS;
import static sandpaddle.fleet.link.tcp.TestNode.SHORT_TIMEOUTS;

import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import sandpaddle.fleet.link.LinkSettings;
import sandpaddle.fleet.link.MessageKind;
import sandpaddle.fleet.link.frame.Frame;
import sandpaddle.fleet.link.frame.Greeting;
import sandpaddle.fleet.link.frame.RejectionCode;
import sandpaddle.fleet.member.Member;

/** Handshakes over real sockets: which connections become links, and how the others are rejected. */
public class TcpHandshakeTest {
    private static LinkSettings.Bounds twoHandshakesAtATime() {
        return new LinkSettings.Bounds(1 << 20, 8 << 20, 4096, 512, 2, 32 << 20);
    }

    private static Frame.Rejected greetAndGetRejected(TestNode node, Greeting greeting) throws Exception {
        try (RawPeer peer = RawPeer.connect(node.links.port())) {
            Frame.Rejected rejected = peer.send(new Frame.Hello(greeting)).receive(Frame.Rejected.class);
            assertNull(peer.receive(), "the connection is closed after the rejection");
            return rejected;
        }
    }

    @Test
    public void everyRejectionStatesItsReason() throws Exception {
        try (TestNode a =
                new TestNode("a", CLUSTER, 1, 0, LONG_TIMEOUTS, LinkSettings.Bounds.DEFAULT, Map.of(), "b"::equals)) {
            assertEquals(
                    greetAndGetRejected(a, greeting(9, CLUSTER, "b", "a", 1)),
                    new Frame.Rejected(RejectionCode.VERSION, "a speaks versions 1 to 1, not 9 to 9"));
            assertEquals(
                    greetAndGetRejected(a, greeting(1, "other", "b", "a", 1)),
                    new Frame.Rejected(RejectionCode.CLUSTER, "a is of cluster paddle, not other"));
            assertEquals(
                    greetAndGetRejected(a, greeting(1, CLUSTER, "mallory", "a", 1)),
                    new Frame.Rejected(RejectionCode.NAME, "mallory is no member of cluster paddle"));
            assertEquals(
                    greetAndGetRejected(a, greeting(1, CLUSTER, "b", "c", 1)),
                    new Frame.Rejected(RejectionCode.NOT_ME, "this is a, not c"));
            assertEquals(
                    greetAndGetRejected(a, greeting(1, CLUSTER, "a", "a", 1)).code(), RejectionCode.NAME);
            assertEquals(
                    greetAndGetRejected(a, greeting(1, CLUSTER, "b b", "a", 1)).code(), RejectionCode.NAME);
            Greeting invalidAddress = new Greeting(1, 1, CLUSTER, new Member("b", "hall-9", "a b", 1), "a", 1, 1);
            assertEquals(greetAndGetRejected(a, invalidAddress).reason(), "b tells the address a b:1, which is none");
            assertEquals(a.links.counts().rejected(), 7);
            assertEquals(a.links.counts().linksUp(), 0);
        }
    }

    @Test
    public void aRejectedPeerIsNotifiedAndConnectsOnceItIsAMember() throws Exception {
        boolean[] member = {false};
        try (TestNode a = new TestNode(
                        "a", CLUSTER, 1, 0, SHORT_TIMEOUTS, LinkSettings.Bounds.DEFAULT, Map.of(), name -> member[0]);
                TestNode b = new TestNode("b", SHORT_TIMEOUTS)) {
            b.connectTo(a.member());
            assertEquals(
                    b.await("REJECTED").detail(), "a rejected this gateway: NAME: b is no member of cluster paddle");
            member[0] = true;
            assertEquals(b.await("up").peer(), "a");
            assertEquals(a.await("up").peer(), "b");
        }
    }

    @Test
    public void anUnexpectedAnswerIsRejected() throws Exception {
        try (TestNode a = new TestNode("a", SHORT_TIMEOUTS);
                ServerSocket server = RawPeer.listen()) {
            a.connectTo(TestNode.at("b", server.getLocalPort()));
            List<Greeting> answers = List.of(
                    greeting(9, CLUSTER, "b", "a", 1),
                    greeting(1, "other", "b", "a", 1),
                    greeting(1, CLUSTER, "c", "a", 1));
            List<RejectionCode> rejectionCodes = new ArrayList<>();
            for (Greeting greeting : answers) {
                try (RawPeer peer = RawPeer.accept(server)) {
                    rejectionCodes.add(peer.answerHello(greeting)
                            .receive(Frame.Rejected.class)
                            .code());
                }
            }
            assertEquals(rejectionCodes, List.of(RejectionCode.VERSION, RejectionCode.CLUSTER, RejectionCode.NOT_ME));
            assertEquals(a.await("REJECTED").detail(), "b chose version 9, not one from 1 to 1");
            try (RawPeer peer = RawPeer.accept(server)) {
                peer.answerHello(greeting(1, CLUSTER, "b", "a", 5));
                assertEquals(a.await("up").detail(), "5");
            }
        }
    }

    @Test
    public void ofTwoProcessesWithOneNameTheOlderIsNotified() throws Exception {
        try (TestNode a = new TestNode("a", LONG_TIMEOUTS);
                RawPeer older = RawPeer.connect(a.links.port());
                RawPeer newer = RawPeer.connect(a.links.port())) {
            older.handshake(greeting(1, CLUSTER, "b", "a", 5));
            assertEquals(a.await("up").detail(), "5");
            newer.handshake(greeting(1, CLUSTER, "b", "a", 9));
            assertEquals(a.await("CLOSED").detail(), "a newer process named b has connected: incarnation 9 after 5");
            assertEquals(a.await("up").detail(), "9");
            assertEquals(older.receive(Frame.Rejected.class).code(), RejectionCode.DUPLICATE);
            assertEquals(
                    greetAndGetRejected(a, greeting(1, CLUSTER, "b", "a", 7)),
                    new Frame.Rejected(
                            RejectionCode.DUPLICATE, "a newer process named b is linked to a: incarnation 9, not 7"));
            assertTrue(a.links.send("b", MessageKind.RAFT, new byte[1]), "the newer process keeps its link");
        }
    }

    /** Guards against clients that hold connections without a greeting; at most two handshakes are allowed here. */
    @Test
    public void silentConnectionsDoNotBlockOthers() throws Exception {
        List<RawPeer> silent = new ArrayList<>();
        try (TestNode a =
                new TestNode("a", CLUSTER, 1, 0, LONG_TIMEOUTS, twoHandshakesAtATime(), Map.of(), name -> true)) {
            for (int i = 0; i < 6; i++) {
                silent.add(RawPeer.connect(a.links.port()));
            }
            try (RawPeer b = RawPeer.connect(a.links.port())) {
                b.handshake(greeting(1, CLUSTER, "b", "a", 5));
                assertEquals(a.await("up").peer(), "b");
            }
            assertNull(silent.get(0).receive(), "the oldest connection is evicted");
            assertTrue(a.links.counts().evicted() >= 4, a.links.counts().toString());
        } finally {
            for (RawPeer connection : silent) {
                connection.close();
            }
        }
    }

    /** Guards against a slow sender: the timeout applies to the whole handshake, not to the last byte. */
    @Test
    public void aGreetingThatArrivesTooSlowlyTimesOut() throws Exception {
        byte[] hello =
                new Frame.Hello(greeting(1, CLUSTER, "b", "a", 5)).encode().array();
        try (TestNode a = new TestNode("a", LONG_TIMEOUTS);
                RawPeer b = RawPeer.connect(a.links.port())) {
            b.sendBytes(java.util.Arrays.copyOf(hello, hello.length - 1));
            assertNull(b.receive(), "closed after the handshake timeout");
            assertEquals(a.links.counts().linksUp(), 0);
        }
    }

    @Test
    public void aLongFrameBeforeTheHandshakeIsNotRead() throws Exception {
        try (TestNode a = new TestNode("a", LONG_TIMEOUTS);
                RawPeer b = RawPeer.connect(a.links.port())) {
            b.sendBytes(new byte[] {0, 0, 8, 1});
            assertNull(b.receive());
            assertEquals(a.links.counts().rejected(), 1);
        }
    }

    @Test
    public void aRemovedMemberIsDisconnected() throws Exception {
        boolean[] member = {true};
        try (TestNode a = new TestNode(
                        "a", CLUSTER, 1, 0, LONG_TIMEOUTS, LinkSettings.Bounds.DEFAULT, Map.of(), name -> member[0]);
                RawPeer b = RawPeer.connect(a.links.port())) {
            b.handshake(greeting(1, CLUSTER, "b", "a", 5));
            a.await("up");
            member[0] = false;
            assertEquals(a.await("REJECTED").detail(), "b is no member any more");
            assertEquals(b.receive(Frame.Rejected.class).code(), RejectionCode.NAME);
        }
    }
}
