package sandpaddle.fleet.verdict.evidence;

/**
 * A finding of one gateway, the reporter, on one subject; immutable. A newer record of the same reporter and subject
 * replaces it. Times are in the monotonic time of the gateway that holds the record; the ages in a received message
 * yield bounds of them ({@link EvidenceMessage#toRecord}).
 *
 * @param subject what the finding is about
 * @param reporter name of the reporter; the reporter's zone is looked up in the roster, never taken from a message
 * @param reporterIncarnation increases with each start of the reporter
 * @param sequence increases with each record of an incarnation, so that reordered and duplicate records are recognized
 * @param finding what the reporter observed
 * @param engineStartUs start of the observed engine process (us, platform time); 0 if it started long ago or the
 *     subject is no engine
 * @param strength number of outcomes that the finding is based on; for {@link Topic#SELF_HEALTH} the health score
 * @param usage usage in the unit of the tenant's quota for {@link Finding#USAGE}, else 0
 * @param sinceUs start of the finding (us); a lower bound in a received record
 * @param observedAtUs time of the latest outcome (us); in a received record a lower bound, so that the record expires
 *     early rather than late, but for {@link Topic#DATA_LOAD} an upper bound, so that no outdated answer passes as
 *     current
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

    /** Returns this record as one of a later incarnation of its reporter. */
    public EvidenceRecord withIncarnation(long incarnation) {
        return new EvidenceRecord(
                subject,
                reporter,
                incarnation,
                sequence,
                finding,
                engineStartUs,
                strength,
                usage,
                sinceUs,
                observedAtUs);
    }

    /** Returns this record with another observation time, and with its start lowered to that time if it is later. */
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

    /**
     * Returns this record with the more accurate times of this record and a copy: the later ones, which are lower
     * bounds, but the earlier ones for a permanent topic, where the observation time is an upper bound.
     */
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

    /**
     * Returns whether the record is no longer valid: its latest outcome is at least {@code leaseUs} old. Records on
     * permanent topics never expire.
     *
     * @param nowUs monotonic time (us)
     * @param leaseUs how long evidence stays valid (us)
     */
    public boolean isExpired(long nowUs, long leaseUs) {
        return !subject.topic().isPermanent() && nowUs - observedAtUs >= leaseUs;
    }
}
