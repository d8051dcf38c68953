package sandpaddle.fleet.verdict.watch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sandpaddle.fleet.verdict.evidence.EvidenceRecord;
import sandpaddle.fleet.verdict.evidence.Finding;
import sandpaddle.fleet.verdict.evidence.Subject;

/**
 * Turns findings into evidence and suppresses unnecessary repetitions: a changed finding is reported at once, one with
 * more outcomes while it has fewer than the required number, and a continuing one three times in a lease. Memory: the
 * latest record for each subject, until its lease expires.
 */
final class EvidenceReporter {
    /** Divisor of the last reported usage: a change by more than a quarter of it is reported at once, less is noise. */
    private static final int MIN_USAGE_CHANGE_DIVISOR = 4;

    private final String self;
    private long incarnation;
    private final long leaseUs;
    private final long renewIntervalUs;
    private final int minStrength;
    private final Map<Subject, EvidenceRecord> latest = new HashMap<>();
    private final Map<Subject, Long> reportedUs = new HashMap<>();
    private List<EvidenceRecord> pending = new ArrayList<>();
    private long sequence;

    EvidenceReporter(String self, long incarnation, long leaseUs, long renewIntervalUs, int minStrength) {
        this.self = self;
        this.incarnation = incarnation;
        this.leaseUs = leaseUs;
        this.renewIntervalUs = renewIntervalUs;
        this.minStrength = minStrength;
    }

    /**
     * Adds a record for the finding unless the last report still covers it. The parameters are those of {@link
     * EvidenceRecord}.
     */
    void report(
            long nowUs,
            Subject subject,
            Finding finding,
            long engineStartUs,
            int strength,
            double usage,
            long sinceUs,
            long observedAtUs) {
        EvidenceRecord previous = latest.get(subject);
        if (previous != null && previous.finding() == finding && previous.engineStartUs() == engineStartUs) {
            boolean hasMoreOutcomes = strength > previous.strength() && previous.strength() < minStrength;
            boolean isUsageChanged = Math.abs(usage - previous.usage()) > previous.usage() / MIN_USAGE_CHANGE_DIVISOR;
            boolean isRenewalDue =
                    observedAtUs > previous.observedAtUs() && nowUs - reportedUs.get(subject) >= renewIntervalUs;
            if (!hasMoreOutcomes && !isUsageChanged && !isRenewalDue) {
                return;
            }
        }
        EvidenceRecord record = new EvidenceRecord(
                subject,
                self,
                incarnation,
                ++sequence,
                finding,
                engineStartUs,
                strength,
                usage,
                Math.min(sinceUs, observedAtUs),
                observedAtUs);
        pending.add(record);
        if (!subject.topic().isPermanent()) { // permanent records are never renewed
            latest.put(subject, record);
            reportedUs.put(subject, nowUs);
        }
    }

    /** Returns the incarnation of the records. */
    long incarnation() {
        return incarnation;
    }

    /** Changes the incarnation to a later one, also of the records that were not drained yet. */
    void setIncarnation(long next) {
        incarnation = next;
        pending.replaceAll(record -> record.withIncarnation(next));
    }

    /** Returns the last reported finding on a subject, or null if it expired. */
    Finding lastFinding(long nowUs, Subject subject) {
        EvidenceRecord record = latest.get(subject);
        return record == null || record.isExpired(nowUs, leaseUs) ? null : record.finding();
    }

    /** Returns the records added since the last call. */
    List<EvidenceRecord> drainPending(long nowUs) {
        latest.values().removeIf(record -> record.isExpired(nowUs, leaseUs));
        reportedUs.keySet().retainAll(latest.keySet());
        List<EvidenceRecord> records = pending;
        pending = new ArrayList<>();
        return records;
    }
}
