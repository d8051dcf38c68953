package sandpaddle.fleet.verdict.evidence;

/**
 * A finding of one gateway on one subject; immutable. A reporter has one record for each subject, which a later one
 * replaces.
 *
 * @param subject what the finding is about
 * @param reporter name of the gateway; its zone is taken from the roster, never from a message
 * @param reporterIncarnation increases with each start of the reporter
 * @param sequence increases with each record of an incarnation, so that reordered and duplicate records are recognized
 * @param finding what the reporter observed
 * @param engineStartUs start of the observed engine process (us, platform time); 0 if it started long ago or the
 *     subject is no engine
 * @param strength number of outcomes that the finding is based on
 * @param usage usage in the unit of the tenant's quota for {@link Finding#USAGE}, else 0
 * @param sinceUs start of the finding in this gateway's monotonic time
 * @param observedAtUs time of the latest outcome in this gateway's monotonic time: never later than the actual time,
 *     except for {@link Topic#DATA_LOAD}, where it is never earlier
 */
public record EvidenceRecord(
        Subject subject,
        String reporter,
        long reporterIncarnation,
        long sequence,
        Finding finding,
        long engineStartUs,
        int strength,
        double usage,
        long sinceUs,
        long observedAtUs) {

    /** Returns whether this record replaces another one of the same reporter and subject. */
    boolean isNewerThan(EvidenceRecord other) {
        return reporterIncarnation != other.reporterIncarnation
                ? reporterIncarnation > other.reporterIncarnation
                : sequence > other.sequence;
    }

    /** Returns whether the other record is a copy of this one, possibly with less accurate times. */
    boolean isSameVersionAs(EvidenceRecord other) {
        return reporterIncarnation == other.reporterIncarnation && sequence == other.sequence;
    }

    /** Returns the same record with an earlier observation time. */
    EvidenceRecord withObservedAt(long timeUs) {
        return new EvidenceRecord(
                subject,
                reporter,
                reporterIncarnation,
                sequence,
                finding,
                engineStartUs,
                strength,
                usage,
                Math.min(sinceUs, timeUs),
                timeUs);
    }

    /** Returns the record with the tighter times of this and a copy: the later lower or the earlier upper bound. */
    EvidenceRecord mergeTimes(EvidenceRecord copy) {
        boolean isPermanent = subject.topic().isPermanent();
        long mergedSinceUs = isPermanent ? Math.min(sinceUs, copy.sinceUs) : Math.max(sinceUs, copy.sinceUs);
        long mergedObservedAtUs =
                isPermanent ? Math.min(observedAtUs, copy.observedAtUs) : Math.max(observedAtUs, copy.observedAtUs);
        return new EvidenceRecord(
                subject,
                reporter,
                reporterIncarnation,
                sequence,
                finding,
                engineStartUs,
                strength,
                usage,
                mergedSinceUs,
                mergedObservedAtUs);
    }

    /** Returns the same finding on another subject. */
    EvidenceRecord withSubject(Subject newSubject) {
        return new EvidenceRecord(
                newSubject,
                reporter,
                reporterIncarnation,
                sequence,
                finding,
                engineStartUs,
                strength,
                usage,
                sinceUs,
                observedAtUs);
    }

    /** Returns whether the lease has expired; records without a lease never expire. */
    public boolean isExpired(long nowUs, long leaseUs) {
        return !subject.topic().isPermanent() && nowUs - observedAtUs >= leaseUs;
    }
}
