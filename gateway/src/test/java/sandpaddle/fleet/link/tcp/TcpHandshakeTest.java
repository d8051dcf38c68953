package sandpaddle.fleet.link.tcp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static sandpaddle.fleet.link.tcp.RawPeer.greeting;
import static sandpaddle.fleet.link.tcp.TestNode.CLUSTER;
import static sandpaddle.fleet.link.tcp.TestNode.PATIENT;
import static sandpaddle.fleet.link.tcp.TestNode.TIMES;

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

/** Who becomes a peer and who is refused, on real sockets. */
public class HandshakeStories {
    private static LinkSettings.Bounds greeting2() {
        return new LinkSettings.Bounds(1 << 20, 8 << 20, 4096, 512, 2, 32 << 20);
    }

    private static Frame.Rejected refused(TestNode node, Greeting greeting) throws Exception {
        try (RawPeer raw = RawPeer.connect(node.links.port())) {
            Frame.Rejected no = raw.say(new Frame.Hello(greeting)).hear(Frame.Rejected.class);
            assertNull(raw.hear(), "nothing follows, the connection closes");
            return no;
        }
    }

    @Test
    public void everyRejectionStatesItsReason() throws Exception {
        try (TestNode a =
                new TestNode("a", CLUSTER, 1, 0, PATIENT, LinkSettings.Bounds.DEFAULT, Map.of(), "b"::equals)) {
            assertEquals(
                    refused(a, greeting(9, CLUSTER, "b", "a", 1)),
                    new Frame.Rejected(RejectionCode.VERSION, "a speaks versions 1 to 1, not 9 to 9"));
            assertEquals(
                    refused(a, greeting(1, "other", "b", "a", 1)),
                    new Frame.Rejected(RejectionCode.CLUSTER, "a is of cluster paddle, not other"));
            assertEquals(
                    refused(a, greeting(1, CLUSTER, "mallory", "a", 1)),
                    new Frame.Rejected(RejectionCode.NAME, "mallory is no member of cluster paddle"));
            assertEquals(
                    refused(a, greeting(1, CLUSTER, "b", "c", 1)),
                    new Frame.Rejected(RejectionCode.NOT_ME, "this is a, not c"));
            assertEquals(refused(a, greeting(1, CLUSTER, "a", "a", 1)).code(), RejectionCode.NAME);
            assertEquals(refused(a, greeting(1, CLUSTER, "b b", "a", 1)).code(), RejectionCode.NAME);
            Greeting nowhere = new Greeting(1, 1, CLUSTER, new Member("b", "hall-9", "a b", 1), "a", 1, 1);
            assertEquals(refused(a, nowhere).reason(), "b tells the address a b:1, which is none");
            assertEquals(a.links.counts().rejected(), 7);
            assertEquals(a.links.counts().linksUp(), 0);
        }
    }

    @Test
    public void aRejectedPeerIsNotifiedAndConnectsOnceItIsAMember() throws Exception {
        boolean[] member = {false};
        try (TestNode a =
                        new TestNode("a", CLUSTER, 1, 0, TIMES, LinkSettings.Bounds.DEFAULT, Map.of(), n -> member[0]);
                TestNode b = new TestNode("b", TIMES)) {
            b.want(a.member());
            assertEquals(
                    b.await("REJECTED").detail(), "a refuses this gateway: NAME: b is no member of cluster paddle");
            member[0] = true;
            assertEquals(b.await("up").peer(), "a");
            assertEquals(a.await("up").peer(), "b");
        }
    }

    @Test
    public void anUnexpectedAnswerIsRejected() throws Exception {
        try (TestNode a = new TestNode("a", TIMES);
                ServerSocket server = RawPeer.listen()) {
            a.want(TestNode.at("b", server.getLocalPort()));
            List<Greeting> answers = List.of(
                    greeting(9, CLUSTER, "b", "a", 1),
                    greeting(1, "other", "b", "a", 1),
                    greeting(1, CLUSTER, "c", "a", 1));
            List<RejectionCode> told = new ArrayList<>();
            for (Greeting greeting : answers) {
                try (RawPeer raw = RawPeer.accept(server)) {
                    told.add(raw.welcome(greeting).hear(Frame.Rejected.class).code());
                }
            }
            assertEquals(told, List.of(RejectionCode.VERSION, RejectionCode.CLUSTER, RejectionCode.NOT_ME));
            assertEquals(a.await("REJECTED").detail(), "b chose version 9, not one from 1 to 1");
            try (RawPeer raw = RawPeer.accept(server)) {
                raw.welcome(greeting(1, CLUSTER, "b", "a", 5));
                assertEquals(a.await("up").detail(), "5");
            }
        }
    }

    @Test
    public void ofTwoProcessesWithOneNameTheOlderIsNotified() throws Exception {
        try (TestNode a = new TestNode("a", PATIENT);
                RawPeer five = RawPeer.connect(a.links.port());
                RawPeer nine = RawPeer.connect(a.links.port())) {
            five.greet(greeting(1, CLUSTER, "b", "a", 5));
            assertEquals(a.await("up").detail(), "5");
            nine.greet(greeting(1, CLUSTER, "b", "a", 9));
            assertEquals(a.await("CLOSED").detail(), "a newer process named b has connected: incarnation 9 after 5");
            assertEquals(a.await("up").detail(), "9");
            assertEquals(five.hear(Frame.Rejected.class).code(), RejectionCode.DUPLICATE);
            assertEquals(
                    refused(a, greeting(1, CLUSTER, "b", "a", 7)),
                    new Frame.Rejected(
                            RejectionCode.DUPLICATE, "a newer process named b is linked to a: incarnation 9, not 7"));
            assertTrue(a.links.send("b", MessageKind.RAFT, new byte[1]), "the newer one stays");
        }
    }

    /** Guards against connections that are opened to keep others out: no room for more than two strangers here. */
    @Test
    public void silentConnectionsDoNotBlockOthers() throws Exception {
        List<RawPeer> silent = new ArrayList<>();
        try (TestNode a = new TestNode("a", CLUSTER, 1, 0, PATIENT, greeting2(), Map.of(), n -> true)) {
            for (int i = 0; i < 6; i++) {
                silent.add(RawPeer.connect(a.links.port()));
            }
            try (RawPeer b = RawPeer.connect(a.links.port())) {
                b.greet(greeting(1, CLUSTER, "b", "a", 5));
                assertEquals(a.await("up").peer(), "b");
            }
            assertNull(silent.get(0).hear(), "the oldest had to go");
            assertTrue(a.links.counts().evicted() >= 4, a.links.counts().toString());
        } finally {
            for (RawPeer s : silent) {
                s.close();
            }
        }
    }

    /** Guards against a greeting that drips in: it ends by its time, not by its silence. */
    @Test
    public void aGreetingThatArrivesTooSlowlyTimesOut() throws Exception {
        byte[] hello =
                new Frame.Hello(greeting(1, CLUSTER, "b", "a", 5)).encode().array();
        try (TestNode a = new TestNode("a", PATIENT);
                RawPeer b = RawPeer.connect(a.links.port())) {
            b.bytes(java.util.Arrays.copyOf(hello, hello.length - 1));
            assertNull(b.hear(), "closed after the time for a handshake");
            assertEquals(a.links.counts().linksUp(), 0);
        }
    }

    @Test
    public void aLongFrameBeforeTheHandshakeIsNotRead() throws Exception {
        try (TestNode a = new TestNode("a", PATIENT);
                RawPeer b = RawPeer.connect(a.links.port())) {
            b.bytes(new byte[] {0, 0, 8, 1});
            assertNull(b.hear());
            assertEquals(a.links.counts().rejected(), 1);
        }
    }

    @Test
    public void aRemovedMemberIsDisconnected() throws Exception {
        boolean[] member = {true};
        try (TestNode a = new TestNode(
                        "a", CLUSTER, 1, 0, PATIENT, LinkSettings.Bounds.DEFAULT, Map.of(), n -> member[0]);
                RawPeer b = RawPeer.connect(a.links.port())) {
            b.greet(greeting(1, CLUSTER, "b", "a", 5));
            a.await("up");
            member[0] = false;
            assertEquals(a.await("REJECTED").detail(), "b is no member any more");
            assertEquals(b.hear(Frame.Rejected.class).code(), RejectionCode.NAME);
        }
    }
}
