package sandpaddle.fleet.verdict;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class VerdictChangeLogTest {
    @Test
    void eachChangeIsOneLogLine() {
        VerdictSnapshot snapshot = new VerdictSnapshot(
                List.of(new FleetEngineVerdict("e1", FleetEngineVerdict.Kind.FAILING, 0, 1, 2, true)),
                List.of("e2"),
                Map.of(),
                Set.of("t"),
                Map.of("a", new ZoneLink("a", ZoneLink.State.ISOLATED, 1, 1)),
                Set.of("g"));
        assertEquals(
                List.of(
                        "verdict begins: engine e1 SICK, probed from here",
                        "engine at fault but not ejected (ejection limit or isolated zone): e2",
                        "tenant over its quota: t",
                        "gateway suspects itself: g",
                        "zone a is ISOLATED"),
                VerdictChangeLog.describe(VerdictSnapshot.NONE, snapshot));
        assertEquals(List.of(), VerdictChangeLog.describe(snapshot, snapshot));
        assertEquals(
                List.of(
                        "verdict ends: engine e1 SICK",
                        "ended: engine at fault but not ejected (ejection limit or isolated zone): e2",
                        "ended: tenant over its quota: t",
                        "ended: gateway suspects itself: g"),
                VerdictChangeLog.describe(snapshot, VerdictSnapshot.NONE));
    }

    @Test
    void invalidSettingsAreReportedByKey() {
        assertEquals(List.of(), VerdictSettings.DEFAULT.validationErrors());
        assertEquals(
                List.of(
                        "evidence_ms is 0; expected 10 to 1000",
                        "condemned_share is NaN; expected 0 to 1",
                        "verdict_testers is 0; expected 1 to 10"),
                new VerdictSettings(0, 3_000_000, Double.NaN, 3, 0, 0, 0, 0, 0, 512, 128, 1024).validationErrors());
    }
}
