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

/** A judge with a book into which a test writes what gateways say; {@code a1} is gateway 1 of zone {@code a}. */
final class VerdictEvaluatorFixture {
    static final VerdictSettings SETTINGS = VerdictSettings.DEFAULT;

    final EvidenceStore book = new EvidenceStore(SETTINGS);
    final VerdictEvaluator judge;
    long now = 100_000_000;
    private final Map<String, String> zones = new TreeMap<>();
    private long seq;

    /** The first gateway judges. */
    VerdictEvaluatorFixture(String gateways, VerdictGuard... without) {
        EnumSet<VerdictGuard> guards = EnumSet.allOf(VerdictGuard.class);
        guards.removeAll(List.of(without));
        List<String> names = List.of(gateways.split(" "));
        names.forEach(gateway -> zones.put(gateway, gateway.substring(0, 1)));
        judge = new VerdictEvaluator(names.get(0), SETTINGS, book, guards);
        book.setMembers(zones.keySet());
        judge.updateRoster(zones);
        engines(10);
    }

    void engines(int count) {
        Map<String, Long> starts = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            starts.put("e" + i, 0L);
        }
        judge.updateEngines(starts);
    }

    VerdictEvaluatorFixture say(
            String gateways, Topic topic, String subject, Finding finding, long startUs, double amount) {
        for (String gateway : gateways.split(" ")) {
            String about = subject.isEmpty() ? gateway : subject;
            book.put(
                    new EvidenceRecord(
                            new Subject(topic, about), gateway, 1, ++seq, finding, startUs, 3, amount, now, now),
                    gateway,
                    now);
        }
        return this;
    }

    VerdictEvaluatorFixture health(String gateways, String engine, Finding finding) {
        return say(gateways, Topic.HEALTH, engine, finding, 0, 0);
    }

    VerdictEvaluatorFixture self(String gateways, Finding finding) {
        return say(gateways, Topic.SELF_HEALTH, "", finding, 0, 0);
    }

    VerdictEvaluatorFixture reach(String gateways, Finding finding) {
        return self(gateways, Finding.SELF_HEALTHY).say(gateways, Topic.REACHABILITY, "", finding, 0, 0);
    }

    VerdictSnapshot after(long us) {
        now += us;
        return judge.evaluate(now);
    }

    /** "e1 SICK" and so on, of what closes engines. */
    List<String> closed() {
        List<String> found = new ArrayList<>();
        for (FleetEngineVerdict verdict : judge.evaluate(now).engines()) {
            found.add(verdict.engine() + " " + verdict.kind().logName());
        }
        return found;
    }
}
