package sandpaddle.fleet.verdict.judge;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sandpaddle.fleet.verdict.FleetEngineVerdict;
import sandpaddle.fleet.verdict.VerdictSettings;
import sandpaddle.fleet.verdict.VerdictSnapshot;
import sandpaddle.fleet.verdict.evidence.EvidenceRecord;
import sandpaddle.fleet.verdict.evidence.EvidenceStore;
import sandpaddle.fleet.verdict.evidence.Finding;
import sandpaddle.fleet.verdict.evidence.Subject;
import sandpaddle.fleet.verdict.evidence.Topic;

/** An evaluator and its store, into which a test puts evidence; {@code a1} is gateway 1 of zone {@code a}. */
final class VerdictEvaluatorFixture {
    static final VerdictSettings SETTINGS = VerdictSettings.DEFAULT;

    final EvidenceStore store = new EvidenceStore(SETTINGS);
    final VerdictEvaluator evaluator;
    long nowUs = 100_000_000;
    private final Map<String, String> zones = new TreeMap<>();
    private long sequence;

    /**
     * Creates the evaluator of the first gateway of a fleet with ten engines.
     *
     * @param gateways names of the gateways, separated by spaces
     * @param disabled guards that the evaluator does not apply
     */
    VerdictEvaluatorFixture(String gateways, VerdictGuard... disabled) {
        EnumSet<VerdictGuard> guards = EnumSet.allOf(VerdictGuard.class);
        guards.removeAll(List.of(disabled));
        List<String> names = List.of(gateways.split(" "));
        names.forEach(gateway -> zones.put(gateway, gateway.substring(0, 1)));
        evaluator = new VerdictEvaluator(names.get(0), SETTINGS, store, guards);
        store.setMembers(zones.keySet());
        evaluator.updateRoster(zones);
        updateEngines(10);
    }

    void updateEngines(int count) {
        Map<String, Long> startUsByEngine = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            startUsByEngine.put("e" + i, 0L);
        }
        evaluator.updateEngines(startUsByEngine);
    }

    VerdictEvaluatorFixture report(
            String gateways, Topic topic, String subject, Finding finding, long engineStartUs, double usage) {
        for (String gateway : gateways.split(" ")) {
            String subjectName = subject.isEmpty() ? gateway : subject;
            store.put(
                    new EvidenceRecord(
                            new Subject(topic, subjectName),
                            gateway,
                            1,
                            ++sequence,
                            finding,
                            engineStartUs,
                            3,
                            usage,
                            nowUs,
                            nowUs),
                    gateway,
                    nowUs);
        }
        return this;
    }

    VerdictEvaluatorFixture reportHealth(String gateways, String engine, Finding finding) {
        return report(gateways, Topic.HEALTH, engine, finding, 0, 0);
    }

    VerdictEvaluatorFixture reportSelfHealth(String gateways, Finding finding) {
        return report(gateways, Topic.SELF_HEALTH, "", finding, 0, 0);
    }

    VerdictEvaluatorFixture reportReachability(String gateways, Finding finding) {
        return reportSelfHealth(gateways, Finding.SELF_HEALTHY).report(gateways, Topic.REACHABILITY, "", finding, 0, 0);
    }

    VerdictSnapshot evaluateAfter(long delayUs) {
        nowUs += delayUs;
        return evaluator.evaluate(nowUs);
    }

    /** The engine verdicts as in the log, for example "e1 SICK". */
    List<String> engineVerdicts() {
        List<String> verdicts = new ArrayList<>();
        for (FleetEngineVerdict verdict : evaluator.evaluate(nowUs).engines()) {
            verdicts.add(verdict.engine() + " " + verdict.kind().logName());
        }
        return verdicts;
    }
}
