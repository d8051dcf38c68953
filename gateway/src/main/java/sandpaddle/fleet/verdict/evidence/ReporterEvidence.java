package sandpaddle.fleet.verdict.evidence;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Stream;
import sandpaddle.fleet.verdict.evidence.EvidenceStore.Entry;

/**
 * The records of one reporter ordered by age: those with a lease and those without, at most {@code maxSubjects} of
 * each. {@link EvidenceStore} owns it and enforces the bound.
 */
final class ReporterEvidence {
    private static final Comparator<Entry> OLDEST_FIRST = Comparator.<Entry>comparingLong(
                    entry -> entry.evidence().reporterIncarnation())
            .thenComparingLong(entry -> entry.evidence().sequence())
            .thenComparing(entry -> entry.evidence().subject());

    private final int maxSubjects;
    private final TreeSet<Entry> leased = new TreeSet<>(OLDEST_FIRST);
    private final TreeSet<Entry> permanent = new TreeSet<>(OLDEST_FIRST);

    ReporterEvidence(int maxSubjects) {
        this.maxSubjects = maxSubjects;
    }

    private TreeSet<Entry> recordsOfKind(EvidenceRecord record) {
        return record.subject().topic().isPermanent() ? permanent : leased;
    }

    void add(Entry entry) {
        recordsOfKind(entry.evidence()).add(entry);
    }

    void remove(Entry entry) {
        recordsOfKind(entry.evidence()).remove(entry);
    }

    List<Entry> all() {
        return Stream.concat(leased.stream(), permanent.stream()).toList();
    }

    /** Returns whether the reporter was restarted since it made the record. */
    boolean isOutdated(EvidenceRecord record) {
        return !record.subject().topic().isPermanent()
                && !leased.isEmpty()
                && leased.last().evidence().reporterIncarnation() > record.reporterIncarnation();
    }

    /** Returns the leased records of earlier incarnations of the reporter, which the given record invalidates. */
    List<Entry> ofEarlierIncarnations(EvidenceRecord record) {
        if (record.subject().topic().isPermanent()) {
            return List.of();
        }
        return leased.stream()
                .takeWhile(other -> other.evidence().reporterIncarnation() < record.reporterIncarnation())
                .toList();
    }

    /**
     * Returns the oldest record if there are too many, else null. The record that stands for all data groups does not
     * count.
     */
    Entry oldestOverCapacity(boolean isPermanent) {
        TreeSet<Entry> records = isPermanent ? permanent : leased;
        if (records.size() <= maxSubjects) {
            return null;
        }
        Entry oldest = records.first();
        if (!isAnyGroup(oldest)) {
            return records.stream().anyMatch(ReporterEvidence::isAnyGroup) && records.size() == maxSubjects + 1
                    ? null
                    : oldest;
        }
        return records.size() <= maxSubjects + 1 ? null : records.higher(oldest);
    }

    private static boolean isAnyGroup(Entry entry) {
        return entry.evidence().subject().topic().isPermanent()
                && entry.evidence().subject().name().equals(EvidenceStore.ANY_GROUP);
    }
}
