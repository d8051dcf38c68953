package sandpaddle.fleet.verdict.judge;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import sandpaddle.fleet.verdict.FleetEngineVerdict;
import sandpaddle.fleet.verdict.VerdictSettings;
import sandpaddle.fleet.verdict.evidence.EvidenceRecord;
import sandpaddle.fleet.verdict.evidence.EvidenceStore;
import sandpaddle.fleet.verdict.evidence.Finding;
import sandpaddle.fleet.verdict.evidence.Subject;
import sandpaddle.fleet.verdict.evidence.Topic;

/**
 * Applies starts and drains that other gateways read from the engine list before this one. The list is authoritative,
 * so the earliest report of one gateway suffices. The effect of a wrong report is limited: a drain applies for {@code
 * drainGraceUs} after its first report, drains that only one gateway reports apply to no more engines than verdicts
 * may eject, and a start reported by one gateway only marks the engine as warming up but discards no evidence.
 *
 * <p>Memory: two numbers for each listed engine.
 */
final class EngineListRule {
    /** Number of gateways from which a report counts as confirmed. */
    private static final int MIN_CONFIRMATIONS = 2;

    private record DrainReport(long engineStartUs, long firstReportedUs) {}

    private final VerdictSettings settings;
    private final Set<VerdictGuard> guards;
    private final Map<String, DrainReport> firstDrainReports = new TreeMap<>();

    EngineListRule(VerdictSettings settings, Set<VerdictGuard> guards) {
        this.settings = settings;
        this.guards = guards;
    }

    /**
     * Returns the start time that evidence on an engine has to match: the listed one, or a later one that {@link
     * #MIN_CONFIRMATIONS} gateways reported.
     */
    long confirmedStartUs(String engine, long listedStartUs, EvidenceStore evidence, long nowUs) {
        List<EvidenceRecord> reports = evidence.findBySubject(new Subject(Topic.ENGINE_START, engine), nowUs);
        if (reports.isEmpty()) {
            return listedStartUs;
        }
        int confirmations = guards.contains(VerdictGuard.LIMIT_SINGLE_REPORT) ? MIN_CONFIRMATIONS : 1;
        Map<Long, Integer> reporterCounts = new TreeMap<>();
        for (EvidenceRecord record : reports) {
            reporterCounts.merge(record.engineStartUs(), 1, Integer::sum);
        }
        long startUs = listedStartUs;
        for (Map.Entry<Long, Integer> entry : reporterCounts.entrySet()) {
            startUs = entry.getValue() >= confirmations ? Math.max(startUs, entry.getKey()) : startUs;
        }
        return startUs;
    }

    /**
     * Adds the verdicts on warming-up and draining engines.
     *
     * @param nowUs current time
     * @param listedStartUs start times (us, platform time) by listed engine
     * @param evidence evidence of all gateways
     * @param verdicts list that the verdicts are added to
     */
    void evaluate(
            long nowUs, Map<String, Long> listedStartUs, EvidenceStore evidence, List<FleetEngineVerdict> verdicts) {
        firstDrainReports.keySet().retainAll(listedStartUs.keySet());
        int remainingSingleReports =
                (int) Math.max(1, Math.floor(listedStartUs.size() * settings.maxEjectedFraction()));
        for (Map.Entry<String, Long> entry : listedStartUs.entrySet()) {
            addWarmingUp(nowUs, entry.getKey(), entry.getValue(), evidence, verdicts);
            remainingSingleReports -=
                    addDraining(nowUs, entry.getKey(), entry.getValue(), evidence, remainingSingleReports, verdicts);
        }
    }

    private void addWarmingUp(
            long nowUs, String engine, long listedStartUs, EvidenceStore evidence, List<FleetEngineVerdict> verdicts) {
        EvidenceRecord latest = null;
        for (EvidenceRecord record : evidence.findBySubject(new Subject(Topic.ENGINE_START, engine), nowUs)) {
            if (record.engineStartUs() >= listedStartUs
                    && (latest == null
                            || record.engineStartUs() > latest.engineStartUs()
                            || record.engineStartUs() == latest.engineStartUs()
                                    && record.observedAtUs() > latest.observedAtUs())) {
                latest = record;
            }
        }
        if (latest != null) {
            verdicts.add(new FleetEngineVerdict(
                    engine,
                    FleetEngineVerdict.Kind.WARMING_UP,
                    latest.engineStartUs(),
                    latest.sinceUs(),
                    latest.observedAtUs() + settings.evidenceLeaseUs(),
                    true));
        }
    }

    /** Adds a draining verdict; returns 1 if it used one of the remaining single reports, else 0. */
    private int addDraining(
            long nowUs,
            String engine,
            long listedStartUs,
            EvidenceStore evidence,
            int remainingSingleReports,
            List<FleetEngineVerdict> verdicts) {
        List<EvidenceRecord> drainReports = new ArrayList<>();
        Set<String> withdrawnBy = new TreeSet<>();
        for (EvidenceRecord record : evidence.findBySubject(new Subject(Topic.DRAIN, engine), nowUs)) {
            if (record.engineStartUs() >= listedStartUs) {
                if (record.finding() == Finding.DRAINING) {
                    drainReports.add(record);
                } else {
                    withdrawnBy.add(record.reporter());
                }
            }
        }
        if (drainReports.isEmpty()) {
            if (!withdrawnBy.isEmpty()) {
                firstDrainReports.remove(engine);
            }
            return 0;
        }
        long startUs = drainReports.stream()
                .mapToLong(EvidenceRecord::engineStartUs)
                .max()
                .orElseThrow();
        drainReports.removeIf(record -> record.engineStartUs() != startUs);
        long sinceUs =
                drainReports.stream().mapToLong(EvidenceRecord::sinceUs).min().orElseThrow();
        long observedAtUs = drainReports.stream()
                .mapToLong(EvidenceRecord::observedAtUs)
                .max()
                .orElseThrow();
        DrainReport firstReport = firstDrainReports.get(engine);
        if (firstReport == null || firstReport.engineStartUs() != startUs) {
            firstReport = new DrainReport(startUs, Math.min(nowUs, sinceUs));
            firstDrainReports.put(engine, firstReport);
        }
        boolean isSingleReport =
                drainReports.size() < MIN_CONFIRMATIONS && guards.contains(VerdictGuard.LIMIT_SINGLE_REPORT);
        long untilUs = Math.min(
                firstReport.firstReportedUs() + settings.drainGraceUs(), observedAtUs + settings.evidenceLeaseUs());
        if (untilUs <= nowUs
                || withdrawnBy.size() >= drainReports.size()
                || isSingleReport && remainingSingleReports <= 0) {
            return 0;
        }
        verdicts.add(new FleetEngineVerdict(
                engine,
                FleetEngineVerdict.Kind.DRAINING,
                startUs,
                Math.min(sinceUs, firstReport.firstReportedUs()),
                untilUs,
                false));
        return isSingleReport ? 1 : 0;
    }
}
