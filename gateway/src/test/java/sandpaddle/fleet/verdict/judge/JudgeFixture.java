package sandpaddle.fleet.verdict.judge;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sandpaddle.fleet.verdict.EngineVerdict;
import sandpaddle.fleet.verdict.VerdictSettings;
import sandpaddle.fleet.verdict.Verdicts;
import sandpaddle.fleet.verdict.evidence.Evidence;
import sandpaddle.fleet.verdict.evidence.EvidenceBook;
import sandpaddle.fleet.verdict.evidence.Finding;
import sandpaddle.fleet.verdict.evidence.Subject;
import sandpaddle.fleet.verdict.evidence.Topic;

/** A judge with a book into which a test writes what gateways say; {@code a1} is gateway 1 of hall {@code a}. */
final class JudgeFixture {
    static final VerdictSettings SETTINGS = VerdictSettings.DEFAULT;

    final EvidenceBook book = new EvidenceBook(SETTINGS);
    final Judge judge;
    long now = 100_000_000;
    private final Map<String, String> halls = new TreeMap<>();
    private long seq;

    /** The first gateway judges. */
    JudgeFixture(String gateways, Guard... without) {
        EnumSet<Guard> guards = EnumSet.allOf(Guard.class);
        guards.removeAll(List.of(without));
        List<String> names = List.of(gateways.split(" "));
        names.forEach(g -> halls.put(g, g.substring(0, 1)));
        judge = new Judge(names.get(0), SETTINGS, book, guards);
        book.members(halls.keySet());
        judge.roster(halls);
        engines(10);
    }

    void engines(int count) {
        Map<String, Long> starts = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            starts.put("e" + i, 0L);
        }
        judge.engines(starts);
    }

    JudgeFixture say(String gateways, Topic topic, String subject, Finding finding, long start, double amount) {
        for (String g : gateways.split(" ")) {
            String about = subject.isEmpty() ? g : subject;
            book.put(new Evidence(new Subject(topic, about), g, 1, ++seq, finding, start, 3, amount, now, now), g, now);
        }
        return this;
    }

    JudgeFixture health(String gateways, String engine, Finding finding) {
        return say(gateways, Topic.HEALTH, engine, finding, 0, 0);
    }

    JudgeFixture self(String gateways, Finding finding) {
        return say(gateways, Topic.SELF, "", finding, 0, 0);
    }

    JudgeFixture reach(String gateways, Finding finding) {
        return self(gateways, Finding.WELL).say(gateways, Topic.REACH, "", finding, 0, 0);
    }

    Verdicts after(long us) {
        now += us;
        return judge.evaluate(now);
    }

    /** "e1 SICK" and so on, of what closes engines. */
    List<String> closed() {
        List<String> found = new ArrayList<>();
        for (EngineVerdict v : judge.evaluate(now).engines()) {
            found.add(v.engine() + " " + v.kind());
        }
        return found;
    }
}
