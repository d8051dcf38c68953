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
    private static final long NOW = 100_000_000;
    private static final VerdictSettings SETTINGS = VerdictSettings.DEFAULT;
    private static final Map<String, String> ZONES =
            Map.of("v", "north", "w", "south", "a", "north", "b", "north", "c", "south");

    private record Node(String name, EvidenceStore book, EvidenceDissemination spread) {
        static Node of(String name) {
            EvidenceStore evidence = new EvidenceStore(SETTINGS);
            evidence.setMembers(ZONES.keySet());
            EvidenceDissemination spread = new EvidenceDissemination(name, SETTINGS, 0.005, evidence);
            spread.setRoles(Set.of("v", "w"), ZONES);
            ZONES.keySet().stream().filter(p -> !p.equals(name)).forEach(p -> spread.linkUp(p, 1, NOW));
            return new Node(name, evidence, spread);
        }

        void says(Topic topic, String subject, Finding finding, long sequence, long observedAtUs) {
            book.put(
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
                    NOW);
        }

        List<EvidenceMessage> toldTo(String peer) {
            return spread.nextBatch(NOW, peer).map(EvidenceBatch::messages).orElse(List.of());
        }
    }

    private static void pass(Node from, Node to, long sentAt, long arrivesAt) {
        EvidenceBatch batch = from.spread.nextBatch(sentAt, to.name).orElseThrow();
        from.spread.batchSent(to.name, batch);
        to.spread.batchReceived(arrivesAt, from.name, batch);
    }

    @Test
    void votersForwardToAllAndOthersSendOwnEvidenceToVotersAndNeighbours() {
        Node a = Node.of("a");
        Node v = Node.of("v");
        a.says(Topic.HEALTH, "e", Finding.FAILING, 1, NOW);
        assertEquals(1, a.toldTo("b").size(), "of its hall");
        assertEquals(0, a.toldTo("c").size(), "neither voter nor near");
        pass(a, v, NOW, NOW);
        assertEquals(1, v.toldTo("c").size());
        assertEquals(0, v.toldTo("a").size(), "not back to its teller");
        Node b = Node.of("b");
        pass(v, b, NOW, NOW);
        assertEquals(0, b.toldTo("w").size(), "no voter: only its own");
    }

    @Test
    void onlyChangesAreSentAndAfterALossAllUnacknowledgedOnes() {
        Node a = Node.of("a");
        Node v = Node.of("v");
        a.says(Topic.HEALTH, "e1", Finding.FAILING, 1, NOW);
        pass(a, v, NOW, NOW);
        pass(v, a, NOW, NOW); // acknowledges
        a.says(Topic.HEALTH, "e2", Finding.FAILING, 2, NOW);
        a.spread.batchSent("v", a.spread.nextBatch(NOW, "v").orElseThrow()); // lost on its way
        assertEquals(0, a.toldTo("v").size());
        a.spread.linkUp("v", 1, NOW);
        assertEquals(
                List.of("e2"),
                a.toldTo("v").stream().map(message -> message.subject().name()).toList());
        a.spread.linkUp("v", 2, NOW);
        assertEquals(2, a.toldTo("v").size(), "started again, with an empty book");
    }

    @Test
    void urgentEvidenceIsSentFirstInAFullBatch() {
        Node a = Node.of("a");
        for (int i = 0; i < EvidenceDissemination.MAX_RECORDS + 50; i++) {
            a.says(Topic.HEALTH, "good" + i, Finding.HEALTHY, i, NOW);
        }
        a.says(Topic.HEALTH, "bad", Finding.UNRESPONSIVE, 999, NOW);
        List<EvidenceMessage> first = a.toldTo("v");
        assertEquals(EvidenceDissemination.MAX_RECORDS, first.size());
        assertEquals("bad", first.get(0).subject().name());
        a.spread.batchSent("v", a.spread.nextBatch(NOW, "v").orElseThrow());
        assertEquals(51, a.toldTo("v").size(), "the rest follows");
    }

    /** The age is corrected by a bound on the time underway, so that no hop makes evidence younger than it is. */
    @Test
    void ageNeverDecreasesInTransit() {
        Node a = Node.of("a");
        Node v = Node.of("v");
        pass(v, a, NOW, NOW + 30_000); // a stamp to echo
        a.says(Topic.HEALTH, "e", Finding.FAILING, 1, NOW + 100_000 - 100_000);
        pass(a, v, NOW + 100_000, NOW + 900_000);
        EvidenceRecord at = v.book.findBySubject(new Subject(Topic.HEALTH, "e"), NOW + 900_000)
                .get(0);
        assertTrue(at.observedAtUs() <= NOW, "made at " + (at.observedAtUs() - NOW));
        assertTrue(at.observedAtUs() >= NOW - 35_000, "by no more than the stamp's own way");
    }

    /** A stored answer must never pass as newer than a load: that time errs to the late side. */
    @Test
    void aDataLoadIsNeverDatedEarlierThanItWas() {
        Node a = Node.of("a");
        Node v = Node.of("v");
        a.says(Topic.DATA_LOAD, "g", Finding.CHANGED, 1, NOW);
        pass(a, v, NOW, NOW + 500_000);
        assertTrue(v.book.lastLoadUs("g", 0) >= NOW);
    }

    @Test
    void aRestartedGatewayReceivesItsOwnDataLoads() {
        Node a = Node.of("a");
        Node v = Node.of("v");
        a.says(Topic.DATA_LOAD, "g", Finding.CHANGED, 1, NOW);
        pass(a, v, NOW, NOW);
        Node again = Node.of("a");
        v.spread.linkUp("a", 2, NOW);
        pass(v, again, NOW, NOW);
        assertTrue(again.book.lastLoadUs("g", 0) >= NOW);
        assertFalse(v.toldTo("a").stream().anyMatch(message -> message.subject().topic() == Topic.DATA_LOAD), "once");
    }
}
