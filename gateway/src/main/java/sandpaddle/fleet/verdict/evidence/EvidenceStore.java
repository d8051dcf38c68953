package sandpaddle.fleet.verdict.evidence;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import sandpaddle.fleet.verdict.VerdictSettings;

/**
 * All evidence that a gateway knows: for each reporter and subject the newest record until its lease expires. It is a
 * state-based replicated data type (Shapiro et al., 2011: a map of last-writer-wins registers with one writer each).
 * Merging records in any order and any number of times gives the same content, so links may lose, repeat and reorder
 * them.
 *
 * <p>Messages carry ages, not times. Of two copies of one record, the one that proves the smaller age wins, since
 * each age is an upper bound. For data loads the copy with the earlier time wins, since their times are upper bounds.
 *
 * <p>Bound: {@code maxMembers} reporters with {@code maxSubjectsPerReporter} leased subjects each, and as many data
 * groups. Above it the reporter's oldest records are dropped; a dropped data load counts as a load of every data
 * group.
 *
 * <p>Not thread-safe: owned by the fleet's thread.
 */
public final class EvidenceStore {
    /** Name that stands for all data groups: a load that was dropped over capacity may have been of any of them. */
    public static final String ANY_GROUP = "*";

    /** Result of {@link #put}. */
    public enum PutResult {
        /** The record is new or replaced an older one. */
        ADDED,
        /** The store has this record or a newer one. */
        ALREADY_KNOWN,
        /** The lease of the record has expired. */
        EXPIRED,
        /** The reporter is not a member. */
        UNKNOWN_REPORTER,
        /** The reporter was restarted since it made the record. */
        OUTDATED_INCARNATION,
        /** The record was dropped because the reporter has too many subjects. */
        OVER_CAPACITY
    }

    /** A record with its version in this store and the peer that sent it first. */
    record Entry(EvidenceRecord evidence, long version, String receivedFrom) {}

    private final VerdictSettings settings;
    private final NavigableMap<Subject, NavigableMap<String, Entry>> bySubject = new TreeMap<>();
    private final Map<String, ReporterEvidence> recordsByReporter = new HashMap<>();
    private final NavigableMap<Long, Entry> urgent = new TreeMap<>();
    private final NavigableMap<Long, Entry> normal = new TreeMap<>();
    private Set<String> members = Set.of();
    private long version;
    private long lastExpiryCheckUs;
    private long droppedOverCapacity;

    /** Creates an empty store that accepts evidence of no gateway until {@link #setMembers} is called. */
    public EvidenceStore(VerdictSettings settings) {
        this.settings = settings;
    }

    /**
     * Sets the members whose evidence is accepted, at most {@code maxMembers} by name; removes the evidence of
     * others.
     */
    public void setMembers(Collection<String> names) {
        members = new TreeSet<>(names).stream().limit(settings.maxMembers()).collect(Collectors.toUnmodifiableSet());
        for (String reporter : List.copyOf(recordsByReporter.keySet())) {
            if (!members.contains(reporter)) {
                recordsByReporter.get(reporter).all().forEach(this::remove);
                recordsByReporter.remove(reporter);
            }
        }
    }

    /**
     * Merges a record.
     *
     * @param received the record
     * @param sender the gateway that sent it: the reporter itself or a voter that relays it
     * @param nowUs current time; a later observation time of the record is lowered to it
     */
    public PutResult put(EvidenceRecord received, String sender, long nowUs) {
        if (!members.contains(received.reporter())) {
            return PutResult.UNKNOWN_REPORTER;
        }
        EvidenceRecord record = received.observedAtUs() > nowUs ? received.withObservedAt(nowUs) : received;
        if (record.isExpired(nowUs, settings.evidenceLeaseUs())) {
            return PutResult.EXPIRED;
        }
        Entry known = find(record.subject(), record.reporter());
        if (known != null && !record.isNewerThan(known.evidence)) {
            if (record.isSameVersionAs(known.evidence)) {
                mergeCopy(known, record);
            }
            return PutResult.ALREADY_KNOWN;
        }
        ReporterEvidence reporterEvidence = recordsByReporter.computeIfAbsent(
                record.reporter(), reporter -> new ReporterEvidence(settings.maxSubjectsPerReporter()));
        if (reporterEvidence.isOutdated(record)) {
            return PutResult.OUTDATED_INCARNATION;
        }
        if (known != null) {
            remove(known);
        }
        reporterEvidence.ofEarlierIncarnations(record).forEach(this::remove);
        Entry entry = new Entry(record, ++version, sender);
        add(entry);
        return enforceCapacity(entry) ? PutResult.ADDED : PutResult.OVER_CAPACITY;
    }

    /**
     * Adopts more accurate times of a copy. The version stays the same, since no peer needs to receive the record
     * again.
     */
    private void mergeCopy(Entry known, EvidenceRecord copy) {
        EvidenceRecord merged = known.evidence.mergeTimes(copy);
        if (!merged.equals(known.evidence)) {
            remove(known);
            add(new Entry(merged, known.version, known.receivedFrom));
        }
    }

    /** Drops the reporter's oldest records above its bound; returns whether the added one is still stored. */
    private boolean enforceCapacity(Entry added) {
        EvidenceRecord record = added.evidence;
        boolean isStored = true;
        Entry oldest = recordsByReporter
                .get(record.reporter())
                .oldestOverCapacity(record.subject().topic().isPermanent());
        while (oldest != null) {
            remove(oldest);
            droppedOverCapacity++;
            isStored &= oldest != added;
            if (oldest.evidence.subject().topic().isPermanent()) {
                recordLoadOfAnyGroup(oldest.evidence);
            }
            ReporterEvidence reporterEvidence = recordsByReporter.get(record.reporter());
            oldest = reporterEvidence == null
                    ? null
                    : reporterEvidence.oldestOverCapacity(
                            record.subject().topic().isPermanent());
        }
        return isStored;
    }

    /**
     * Records a dropped data load as a load of any group. The records of a reporter are in the order in which its loads
     * completed, so the newest dropped one is an upper bound for all dropped ones.
     */
    private void recordLoadOfAnyGroup(EvidenceRecord dropped) {
        Entry before = find(new Subject(Topic.DATA_LOAD, ANY_GROUP), dropped.reporter());
        EvidenceRecord loadOfAnyGroup = dropped.withSubject(new Subject(Topic.DATA_LOAD, ANY_GROUP));
        if (before == null || loadOfAnyGroup.isNewerThan(before.evidence)) {
            if (before != null) {
                remove(before);
            }
            add(new Entry(loadOfAnyGroup, ++version, dropped.reporter()));
        }
    }

    private void add(Entry entry) {
        EvidenceRecord record = entry.evidence;
        bySubject.computeIfAbsent(record.subject(), subject -> new TreeMap<>()).put(record.reporter(), entry);
        recordsByReporter
                .computeIfAbsent(record.reporter(), reporter -> new ReporterEvidence(settings.maxSubjectsPerReporter()))
                .add(entry);
        (record.finding().isUrgent() ? urgent : normal).put(entry.version, entry);
    }

    private void remove(Entry entry) {
        EvidenceRecord record = entry.evidence;
        Map<String, Entry> reporters = bySubject.get(record.subject());
        reporters.remove(record.reporter());
        if (reporters.isEmpty()) {
            bySubject.remove(record.subject());
        }
        recordsByReporter.get(record.reporter()).remove(entry);
        (record.finding().isUrgent() ? urgent : normal).remove(entry.version);
    }

    private Entry find(Subject subject, String reporter) {
        Map<String, Entry> reporters = bySubject.get(subject);
        return reporters == null ? null : reporters.get(reporter);
    }

    /** Removes expired records. Readers never see them, so the call only frees memory. */
    public void removeExpired(long nowUs) {
        if (nowUs - lastExpiryCheckUs < settings.renewIntervalUs() / 3) {
            return; // a check reads all records, so it runs at most a few times a second
        }
        lastExpiryCheckUs = nowUs;
        List<Entry> expired = new ArrayList<>();
        recordsByReporter
                .values()
                .forEach(reporterEvidence -> reporterEvidence.all().stream()
                        .filter(entry -> entry.evidence.isExpired(nowUs, settings.evidenceLeaseUs()))
                        .forEach(expired::add));
        expired.forEach(this::remove);
    }

    /** Passes each unexpired record of a topic to a consumer, ordered by subject and reporter. */
    public void forEach(Topic topic, long nowUs, Consumer<EvidenceRecord> consumer) {
        Subject first = new Subject(topic, "");
        for (var reporters : bySubject.tailMap(first, true).entrySet()) {
            if (reporters.getKey().topic() != topic) {
                return;
            }
            reporters.getValue().values().forEach(entry -> {
                if (!entry.evidence.isExpired(nowUs, settings.evidenceLeaseUs())) {
                    consumer.accept(entry.evidence);
                }
            });
        }
    }

    /** Returns the unexpired records of all reporters on a subject. */
    public List<EvidenceRecord> findBySubject(Subject subject, long nowUs) {
        NavigableMap<String, Entry> reporters = bySubject.get(subject);
        if (reporters == null) {
            return List.of(); // usual case: most engines have no evidence
        }
        return reporters.values().stream()
                .map(Entry::evidence)
                .filter(record -> !record.isExpired(nowUs, settings.evidenceLeaseUs()))
                .toList();
    }

    /**
     * Returns an upper bound for the time of the last load of a data group, or {@code defaultUs} if no later one is
     * known.
     */
    public long lastLoadUs(String group, long defaultUs) {
        long latest = defaultUs;
        for (String name : List.of(group, ANY_GROUP)) {
            for (EvidenceRecord record : findBySubject(new Subject(Topic.DATA_LOAD, name), 0)) {
                latest = Math.max(latest, record.observedAtUs());
            }
        }
        return latest;
    }

    /** Replaces the records of one incarnation of a reporter by equal ones of a later incarnation, for all peers. */
    public void renewIncarnation(String reporter, long former, long next, long nowUs) {
        ReporterEvidence ofReporter = recordsByReporter.get(reporter);
        if (ofReporter == null) {
            return;
        }
        List<EvidenceRecord> renewed = ofReporter.all().stream()
                .map(entry -> entry.evidence)
                .filter(record -> record.reporterIncarnation() == former)
                .map(record -> record.withIncarnation(next))
                .toList();
        renewed.forEach(record -> put(record, reporter, nowUs));
    }

    /** Marks the records that a peer sent as to be sent back to it, since it was restarted with an empty store. */
    void forgetSource(String peer) {
        List<Entry> receivedFromPeer = recordsByReporter.values().stream()
                .flatMap(reporterEvidence -> reporterEvidence.all().stream())
                .filter(entry -> entry.receivedFrom.equals(peer))
                .toList();
        for (Entry entry : receivedFromPeer) {
            remove(entry);
            add(new Entry(entry.evidence, entry.version, ""));
        }
    }

    /** Returns the urgent records, or the others, by version. */
    NavigableMap<Long, Entry> changes(boolean isUrgent) {
        return Collections.unmodifiableNavigableMap(isUrgent ? urgent : normal);
    }

    long evidenceLeaseUs() {
        return settings.evidenceLeaseUs();
    }

    /** Returns the number of records stored. */
    public int size() {
        return urgent.size() + normal.size();
    }

    /** Returns the number of records dropped since the start because their reporter had too many subjects. */
    public long droppedOverCapacity() {
        return droppedOverCapacity;
    }
}
