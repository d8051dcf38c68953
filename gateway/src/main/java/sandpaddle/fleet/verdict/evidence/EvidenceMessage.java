package sandpaddle.fleet.verdict.evidence;

/**
 * An {@link EvidenceRecord} in a message. It has ages in place of times, since the clocks of two gateways differ; the
 * other components are those of the record.
 *
 * @param subject what the evidence is about
 * @param reporter name of the gateway that observed it
 * @param reporterIncarnation increases with each start of the reporter
 * @param sequence increases with each record of an incarnation
 * @param finding what the reporter observed
 * @param engineStartUs start of the observed engine process (us, platform time), or 0
 * @param strength number of outcomes that the finding is based on
 * @param usage usage of a tenant, else 0
 * @param sinceAgeUs time from the start of the finding to the sending of the message
 * @param observedAgeUs time from the latest outcome to the sending of the message
 */
public record EvidenceMessage(
        Subject subject,
        String reporter,
        long reporterIncarnation,
        long sequence,
        Finding finding,
        long engineStartUs,
        int strength,
        double usage,
        long sinceAgeUs,
        long observedAgeUs) {

    /** Converts a record to be sent at {@code nowUs}. */
    static EvidenceMessage of(EvidenceRecord record, long nowUs) {
        return new EvidenceMessage(
                record.subject(),
                record.reporter(),
                record.reporterIncarnation(),
                record.sequence(),
                record.finding(),
                record.engineStartUs(),
                record.strength(),
                record.usage(),
                Math.max(0, nowUs - record.sinceUs()),
                Math.max(0, nowUs - record.observedAtUs()));
    }

    /**
     * Converts the message to this gateway's time.
     *
     * @param transitUs upper bound of the time that the message was in transit
     * @param drift maximum relative difference between the two clocks
     */
    EvidenceRecord toRecord(long nowUs, long transitUs, double drift) {
        long maxAgeUs = (long) (observedAgeUs * (1 + drift)) + transitUs;
        long maxSinceAgeUs = (long) (sinceAgeUs * (1 + drift)) + transitUs;
        // A data load is dated late rather than early, so that no stored answer from before it passes as current.
        long minAgeUs = (long) (observedAgeUs * (1 - drift));
        long observedAtUs = nowUs - (subject.topic().isPermanent() ? minAgeUs : maxAgeUs);
        return new EvidenceRecord(
                subject,
                reporter,
                reporterIncarnation,
                sequence,
                finding,
                engineStartUs,
                strength,
                usage,
                Math.min(observedAtUs, nowUs - maxSinceAgeUs),
                observedAtUs);
    }
}
