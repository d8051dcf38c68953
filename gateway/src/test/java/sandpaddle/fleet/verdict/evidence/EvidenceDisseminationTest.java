package sandpaddle.fleet.verdict.evidence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.verdict.VerdictSettings;

class EvidenceDisseminationTest {
    private static final long NOW_US = 100_000_000;
    private static final VerdictSettings SETTINGS = VerdictSettings.DEFAULT;
    private static final Map<String, String> ZONES =
            Map.of("v", "north", "w", "south", "a", "north", "b", "north", "c", "south");

    private record Node(String name, EvidenceStore store, EvidenceDissemination dissemination) {
        static Node of(String name) {
            EvidenceStore store = new EvidenceStore(SETTINGS);
            store.setMembers(ZONES.keySet());
            EvidenceDissemination dissemination = new EvidenceDissemination(name, SETTINGS, 0.005, store);
            dissemination.setRoles(Set.of("v", "w"), ZONES);
            ZONES.keySet().stream()
                    .filter(peer -> !peer.equals(name))
                    .forEach(peer -> dissemination.linkUp(peer, 1, NOW_US));
            return new Node(name, store, dissemination);
        }

        void observe(Topic topic, String subject, Finding finding, long sequence, long observedAtUs) {
            store.put(
                    new EvidenceRecord(
                            new Subject(topic, subject),
                            name,
                            1,
                            sequence,
                            finding,
                            0,
                            1,
                            0,
                            observedAtUs,
                            observedAtUs),
                    name,
                    NOW_US);
        }

        List<EvidenceMessage> messagesFor(String peer) {
            return dissemination
                    .nextBatch(NOW_US, peer)
                    .map(EvidenceBatch::messages)
                    .orElse(List.of());
        }
    }

    private static void deliver(Node from, Node to, long sentAtUs, long receivedAtUs) {
        EvidenceBatch batch = from.dissemination.nextBatch(sentAtUs, to.name).orElseThrow();
        from.dissemination.batchSent(to.name, batch);
        to.dissemination.batchReceived(receivedAtUs, from.name, batch);
    }

    @Test
    void votersRelayToAllAndOthersSendOwnEvidenceToVotersAndTheirZone() {
        Node a = Node.of("a");
        Node v = Node.of("v");
        a.observe(Topic.HEALTH, "e", Finding.FAILING, 1, NOW_US);
        assertEquals(1, a.messagesFor("b").size(), "gateway of the same zone");
        assertEquals(0, a.messagesFor("c").size(), "neither a voter nor of the same zone");
        deliver(a, v, NOW_US, NOW_US);
        assertEquals(1, v.messagesFor("c").size());
        assertEquals(0, v.messagesFor("a").size(), "not back to the gateway it came from");
        Node b = Node.of("b");
        deliver(v, b, NOW_US, NOW_US);
        assertEquals(0, b.messagesFor("w").size(), "not a voter: only its own evidence");
    }

    @Test
    void sendsOnlyChangesAndAllUnacknowledgedOnesAfterALinkLoss() {
        Node a = Node.of("a");
        Node v = Node.of("v");
        a.observe(Topic.HEALTH, "e1", Finding.FAILING, 1, NOW_US);
        deliver(a, v, NOW_US, NOW_US);
        deliver(v, a, NOW_US, NOW_US); // with an acknowledgement
        a.observe(Topic.HEALTH, "e2", Finding.FAILING, 2, NOW_US);
        a.dissemination.batchSent("v", a.dissemination.nextBatch(NOW_US, "v").orElseThrow()); // lost
        assertEquals(0, a.messagesFor("v").size());
        a.dissemination.linkUp("v", 1, NOW_US);
        assertEquals(
                List.of("e2"),
                a.messagesFor("v").stream()
                        .map(message -> message.subject().name())
                        .toList());
        a.dissemination.linkUp("v", 2, NOW_US);
        assertEquals(2, a.messagesFor("v").size(), "restarted with an empty store");
    }

    @Test
    void urgentEvidenceIsSentFirstInAFullBatch() {
        Node a = Node.of("a");
        for (int i = 0; i < EvidenceDissemination.MAX_RECORDS + 50; i++) {
            a.observe(Topic.HEALTH, "good" + i, Finding.HEALTHY, i, NOW_US);
        }
        a.observe(Topic.HEALTH, "bad", Finding.UNRESPONSIVE, 999, NOW_US);
        List<EvidenceMessage> first = a.messagesFor("v");
        assertEquals(EvidenceDissemination.MAX_RECORDS, first.size());
        assertEquals("bad", first.get(0).subject().name());
        a.dissemination.batchSent("v", a.dissemination.nextBatch(NOW_US, "v").orElseThrow());
        assertEquals(51, a.messagesFor("v").size(), "the rest follows");
    }

    /** The transit time is added to the age, so that evidence never seems more recent than it is. */
    @Test
    void ageNeverDecreasesInTransit() {
        Node a = Node.of("a");
        Node v = Node.of("v");
        deliver(v, a, NOW_US, NOW_US + 30_000); // a stamp to echo
        a.observe(Topic.HEALTH, "e", Finding.FAILING, 1, NOW_US + 100_000 - 100_000);
        deliver(a, v, NOW_US + 100_000, NOW_US + 900_000);
        EvidenceRecord received = v.store
                .findBySubject(new Subject(Topic.HEALTH, "e"), NOW_US + 900_000)
                .get(0);
        assertTrue(received.observedAtUs() <= NOW_US, "observed at " + (received.observedAtUs() - NOW_US));
        assertTrue(
                received.observedAtUs() >= NOW_US - 35_000, "earlier by at most the transit time of the echoed stamp");
    }

    /** A load that is dated too early would make a stored answer from before it pass as current. */
    @Test
    void dataLoadIsNeverDatedTooEarly() {
        Node a = Node.of("a");
        Node v = Node.of("v");
        a.observe(Topic.DATA_LOAD, "g", Finding.CHANGED, 1, NOW_US);
        deliver(a, v, NOW_US, NOW_US + 500_000);
        assertTrue(v.store.lastLoadUs("g", 0) >= NOW_US);
    }

    @Test
    void restartedGatewayReceivesItsOwnDataLoads() {
        Node a = Node.of("a");
        Node v = Node.of("v");
        a.observe(Topic.DATA_LOAD, "g", Finding.CHANGED, 1, NOW_US);
        deliver(a, v, NOW_US, NOW_US);
        Node restarted = Node.of("a");
        v.dissemination.linkUp("a", 2, NOW_US);
        deliver(v, restarted, NOW_US, NOW_US);
        assertTrue(restarted.store.lastLoadUs("g", 0) >= NOW_US);
        assertFalse(
                v.messagesFor("a").stream()
                        .anyMatch(message -> message.subject().topic() == Topic.DATA_LOAD),
                "sent once");
    }
}
