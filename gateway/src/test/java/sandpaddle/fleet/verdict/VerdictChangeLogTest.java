package sandpaddle.fleet.verdict;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class VerdictChangeLogTest {
    @Test
    void eachChangeIsOneLogLine() {
        VerdictSnapshot some = new VerdictSnapshot(
                List.of(new FleetEngineVerdict("e1", FleetEngineVerdict.Kind.FAILING, 0, 1, 2, true)),
                List.of("e2"),
                Map.of(),
                Set.of("t"),
                Map.of("a", new ZoneLink("a", ZoneLink.State.ISOLATED, 1, 1)),
                Set.of("g"));
        assertEquals(
                List.of(
                        "verdict begins: engine e1 SICK, tried from here",
                        "engine spared, too many are bad at once: e2",
                        "tenant over its share: t",
                        "gateway doubts itself: g",
                        "hall a is ISOLATED"),
                VerdictChangeLog.describe(VerdictSnapshot.NONE, some));
        assertEquals(List.of(), VerdictChangeLog.describe(some, some));
        assertEquals(
                List.of(
                        "verdict ends: engine e1 SICK",
                        "no more engine spared, too many are bad at once: e2",
                        "no more tenant over its share: t",
                        "no more gateway doubts itself: g"),
                VerdictChangeLog.describe(some, VerdictSnapshot.NONE));
    }

    @Test
    void invalidSettingsAreReportedByKey() {
        assertEquals(List.of(), VerdictSettings.DEFAULT.validationErrors());
        assertEquals(
                List.of(
                        "evidence_ms is 0, not from 10 to 1000",
                        "condemned_share is NaN, not from 0 to 1",
                        "verdict_testers is 0, not from 1 to 10"),
                new VerdictSettings(0, 3_000_000, Double.NaN, 3, 0, 0, 0, 0, 0, 512, 128, 1024).validationErrors());
    }
}
