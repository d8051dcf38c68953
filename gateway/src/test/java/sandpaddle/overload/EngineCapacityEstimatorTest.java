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
    private static final long NOW_US = 1_000_000_000L;

    private static DecisionSettings settings(long slowStartUs) {
        DecisionSettings settings = OverloadFixture.SETTINGS;
        PlatformRules rules = settings.rules();
        return new DecisionSettings(
                settings.gateways(),
                settings.gatewayIndex(),
                settings.zone(),
                settings.subscribe(),
                settings.classes(),
                List.of(new EngineKind(8, 0)),
                settings.reportFields(),
                settings.reportsInAnswers(),
                settings.limits(),
                new PlatformRules(
                        rules.answerSlackUs(),
                        rules.drainGraceUs(),
                        rules.pollWithinUs(),
                        0.25,
                        slowStartUs,
                        rules.overloadMultiple(),
                        rules.overloadWindowUs(),
                        rules.orderingPauseUs(),
                        rules.retryBudgetWindowUs(),
                        rules.retryBudgetFloor(),
                        rules.retryBudgetRatio()),
                settings.features(),
                settings.costs());
    }

    private static double capacityCores(long slowStartUs, long startedUs) {
        EngineCapacityEstimator estimator = new EngineCapacityEstimator(settings(slowStartUs), NOW_US);
        estimator.endpointListReceived(
                EngineListKind.FULL, List.of(new EngineEntry("e", 0, 0, 0, EngineStatus.UP, 1, startedUs)));
        return estimator.capacityCores(NOW_US);
    }

    /** An engine's clock may be ahead of the gateway's: without slow start such an engine counts in full. */
    @Test
    public void capacityOfEngineWithStartTimeInFutureIsThatOfNewEngine() {
        assertEquals(capacityCores(0, NOW_US + 5_000), 8.0);
        assertEquals(capacityCores(1_000_000, NOW_US + 5_000), 2.0);
        assertEquals(capacityCores(1_000_000, NOW_US - 500_000), 5.0);
    }
}
