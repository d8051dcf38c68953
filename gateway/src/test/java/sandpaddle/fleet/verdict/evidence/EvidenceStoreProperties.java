package sandpaddle.fleet.verdict.evidence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.verdict.VerdictSettings;

class EvidenceStoreProperties {
    private static final long NOW_US = 100_000_000;
    private static final VerdictSettings SETTINGS =
            new VerdictSettings(50_000, 3_000_000, 0.3, 3, 250_000, 30_000_000, 10_000_000, 30_000_000, 2, 512, 128, 4);

    private static EvidenceStore newStore() {
        EvidenceStore evidence = new EvidenceStore(SETTINGS);
        evidence.setMembers(Set.of("a", "b"));
        return evidence;
    }

    private static EvidenceRecord record(
            String reporter, Topic topic, String name, long incarnation, long sequence, long observedAtUs) {
        Finding finding =
                topic == Topic.DATA_LOAD ? Finding.CHANGED : sequence % 2 == 0 ? Finding.HEALTHY : Finding.FAILING;
        return new EvidenceRecord(
                new Subject(topic, name),
                reporter,
                incarnation,
                sequence,
                finding,
                0,
                1,
                0,
                observedAtUs,
                observedAtUs);
    }

    /**
     * Generates a record from a number. Records with the same reporter, incarnation and sequence differ only in their
     * times, as copies do.
     */
    private static EvidenceRecord generateRecord(int number) {
        long sequence = number % 31;
        long incarnation = 1 + number / 31 % 2;
        Topic topic = sequence % 5 == 0 ? Topic.DATA_LOAD : Topic.HEALTH;
        long observedAtUs = NOW_US
                - 2_000_000
                + incarnation * 500_000
                + sequence * 1000
                + (topic == Topic.DATA_LOAD ? 1 : -1) * (number / 62 % 7) * 10;
        return record(number % 3 == 0 ? "a" : "b", topic, "x" + sequence % 3, incarnation, sequence, observedAtUs);
    }

    private static TreeMap<String, EvidenceRecord> content(EvidenceStore evidence) {
        TreeMap<String, EvidenceRecord> records = new TreeMap<>();
        for (Topic topic : List.of(Topic.HEALTH, Topic.DATA_LOAD)) {
            evidence.forEach(topic, NOW_US, record -> records.put(record.subject() + record.reporter(), record));
        }
        return records;
    }

    private static EvidenceStore merge(List<EvidenceRecord> records) {
        EvidenceStore evidence = newStore();
        records.forEach(record -> evidence.put(record, "b", NOW_US));
        return evidence;
    }

    /** Merging is commutative, idempotent and associative: also with duplicates and over a second store. */
    @Property(seed = "31", tries = 400)
    void mergingIsIndependentOfOrderAndDuplicates(
            @ForAll @Size(max = 60) List<Integer> numbers, @ForAll int shuffleSeed) {
        List<EvidenceRecord> records = new ArrayList<>(numbers.stream()
                .map(number -> generateRecord(Math.floorMod(number, 434)))
                .toList());
        TreeMap<String, EvidenceRecord> expected = content(merge(records));
        List<EvidenceRecord> shuffled = new ArrayList<>(records);
        shuffled.addAll(records.subList(0, records.size() / 2));
        Collections.shuffle(shuffled, new Random(shuffleSeed));
        assertEquals(expected, content(merge(shuffled)));
        EvidenceStore left = merge(records.subList(0, records.size() / 2));
        EvidenceStore right = merge(records.subList(records.size() / 2, records.size()));
        content(right).values().forEach(record -> left.put(record, "b", NOW_US));
        assertEquals(expected, content(left));
    }

    @Property(seed = "32", tries = 200)
    void noReporterExceedsItsBound(@ForAll @Size(max = 200) List<Integer> numbers) {
        EvidenceStore evidence = newStore();
        for (int number : numbers) {
            long sequence = Math.floorMod(number, 1000);
            evidence.put(
                    record(
                            number % 2 == 0 ? "a" : "b",
                            sequence % 2 == 0 ? Topic.DATA_LOAD : Topic.HEALTH,
                            "s" + sequence,
                            1,
                            sequence,
                            NOW_US),
                    "b",
                    NOW_US);
            assertTrue(evidence.size() <= 2 * (2 * SETTINGS.maxSubjectsPerReporter() + 1), "size " + evidence.size());
        }
    }

    @Test
    void expiredEvidenceIsIgnoredWhetherRemovedOrNot() {
        EvidenceStore evidence = merge(List.of(record("a", Topic.HEALTH, "x", 1, 1, NOW_US)));
        Subject subject = new Subject(Topic.HEALTH, "x");
        assertEquals(
                1,
                evidence.findBySubject(subject, NOW_US + SETTINGS.evidenceLeaseUs() - 1)
                        .size());
        assertEquals(
                0,
                evidence.findBySubject(subject, NOW_US + SETTINGS.evidenceLeaseUs())
                        .size());
        assertEquals(
                EvidenceStore.PutResult.EXPIRED,
                newStore().put(record("a", Topic.HEALTH, "x", 1, 1, NOW_US), "a", NOW_US + SETTINGS.evidenceLeaseUs()));
        evidence.removeExpired(NOW_US + SETTINGS.evidenceLeaseUs());
        assertEquals(0, evidence.size());
    }

    @Test
    void newIncarnationDiscardsEarlierEvidenceButNotDataLoads() {
        EvidenceStore evidence = merge(List.of(
                record("a", Topic.HEALTH, "x", 1, 9, NOW_US),
                record("a", Topic.DATA_LOAD, "g", 1, 8, NOW_US),
                record("a", Topic.HEALTH, "y", 2, 1, NOW_US)));
        assertTrue(
                evidence.findBySubject(new Subject(Topic.HEALTH, "x"), NOW_US).isEmpty());
        assertEquals(NOW_US, evidence.lastLoadUs("g", 0));
        assertEquals(
                EvidenceStore.PutResult.OUTDATED_INCARNATION,
                evidence.put(record("a", Topic.HEALTH, "z", 1, 10, NOW_US), "a", NOW_US));
    }

    @Test
    void evidenceOfNonMembersIsRejected() {
        EvidenceStore evidence = newStore();
        assertEquals(
                EvidenceStore.PutResult.UNKNOWN_REPORTER,
                evidence.put(record("c", Topic.HEALTH, "x", 1, 1, NOW_US), "c", NOW_US));
        evidence.put(record("a", Topic.HEALTH, "x", 1, 1, NOW_US), "a", NOW_US);
        evidence.setMembers(Set.of("b"));
        assertEquals(0, evidence.size());
    }

    /** A load dropped over capacity may have been of any group, so it counts for all of them. */
    @Test
    void droppedDataLoadCountsForAllGroups() {
        EvidenceStore evidence = newStore();
        for (int i = 1; i <= 6; i++) {
            evidence.put(record("a", Topic.DATA_LOAD, "g" + i, 1, i, NOW_US + i - 10), "a", NOW_US);
        }
        assertEquals(2, evidence.droppedOverCapacity());
        assertEquals(NOW_US - 8, evidence.lastLoadUs("g1", 0), "time of the second load");
        assertEquals(NOW_US - 8, evidence.lastLoadUs("other", 0));
        assertEquals(NOW_US - 4, evidence.lastLoadUs("g6", 0));
    }

    /** Of two copies, the later lower bound of the time applies, or for data loads the earlier upper bound. */
    @Test
    void tighterBoundOfTwoCopiesApplies() {
        EvidenceStore evidence = merge(List.of(
                record("a", Topic.HEALTH, "x", 1, 1, NOW_US - 50),
                record("a", Topic.HEALTH, "x", 1, 1, NOW_US - 20),
                record("a", Topic.DATA_LOAD, "g", 1, 2, NOW_US - 5),
                record("a", Topic.DATA_LOAD, "g", 1, 2, NOW_US - 8)));
        assertEquals(
                NOW_US - 20,
                evidence.findBySubject(new Subject(Topic.HEALTH, "x"), NOW_US)
                        .get(0)
                        .observedAtUs());
        assertEquals(NOW_US - 8, evidence.lastLoadUs("g", 0));
    }
}
