package sandpaddle.overload;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.EngineKind;
import sandpaddle.decision.settings.PlatformRules;

public class EngineCapacityEstimatorTest {
    private static final long NOW = 1_000_000_000L;

    private static DecisionSettings site(long coldUs) {
        DecisionSettings s = OverloadFixture.SETTINGS;
        PlatformRules r = s.rules();
        return new DecisionSettings(
                s.gateways(),
                s.gatewayIndex(),
                s.zone(),
                s.subscribe(),
                s.classes(),
                List.of(new EngineKind(8, 0)),
                s.reportFields(),
                s.reportsInAnswers(),
                s.limits(),
                new PlatformRules(
                        r.answerSlackUs(),
                        r.drainGraceUs(),
                        r.pollWithinUs(),
                        0.25,
                        coldUs,
                        r.overloadMultiple(),
                        r.overloadWindowUs(),
                        r.orderingPauseUs(),
                        r.retryBudgetWindowUs(),
                        r.retryBudgetFloor(),
                        r.retryBudgetRatio()),
                s.features(),
                s.costs());
    }

    private static double capacity(long coldUs, long startedUs) {
        EngineCapacityEstimator view = new EngineCapacityEstimator(site(coldUs), NOW);
        view.listed(EngineListKind.FULL, List.of(new EngineEntry("e", 0, 0, 0, EngineStatus.UP, 1, startedUs)));
        return view.capacity(NOW);
    }

    /** Another machine's clock may be ahead: where engines are never cold, one that starts later is none either. */
    @Test
    public void anEngineThatStartsAheadOfTheClockHasACapacity() {
        assertEquals(capacity(0, NOW + 5_000), 8.0);
        assertEquals(capacity(1_000_000, NOW + 5_000), 2.0);
        assertEquals(capacity(1_000_000, NOW - 500_000), 5.0);
    }
}
