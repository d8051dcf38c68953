package sandpaddle.overload;

import java.util.List;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.DeduplicationScope;
import sandpaddle.decision.settings.EngineFeatures;
import sandpaddle.decision.settings.EngineKind;
import sandpaddle.decision.settings.Idempotency;
import sandpaddle.decision.settings.LoadField;
import sandpaddle.decision.settings.PlatformLimits;
import sandpaddle.decision.settings.PlatformRules;
import sandpaddle.decision.settings.RequestClass;
import sandpaddle.decision.settings.ServiceCosts;

/** Settings of a small site: classes of lookups, reports and loads, engines with 8 cores, and three gateways. */
final class OverloadFixture {
    static final DecisionSettings SETTINGS = new DecisionSettings(
            3,
            0,
            0,
            false,
            List.of(
                    requestClass(1_500_000, 1.5, 7_500_000, 1, 0.1, Idempotency.IDEMPOTENT, 1),
                    requestClass(3_000_000, 2.5, 25_000_000, 4, 0.4, Idempotency.IDEMPOTENT, 3),
                    requestClass(4_000_000, 2.5, 20_000_000, 3, 0.6, Idempotency.NOT_IDEMPOTENT, 2)),
            List.of(new EngineKind(8, 16_384)),
            List.of(LoadField.UTILIZATION, LoadField.QUEUED),
            true,
            new PlatformLimits(true, false, true, false, 5, 20_000, 1_000_000, 250_000, 15_000_000),
            new PlatformRules(20_000, 250_000, 0, 0.3, 15_000_000, 4, 1_000_000, 0, 0, 0, 0),
            new EngineFeatures(true, true, 0.4, false, false, 500_000),
            new ServiceCosts(0, 0));

    private OverloadFixture() {}

    private static RequestClass requestClass(
            long latencyObjectiveUs,
            double objectiveStretch,
            long deadlineUs,
            double priorityWeight,
            double latePriorityWeight,
            Idempotency idempotency,
            int threads) {
        return new RequestClass(
                latencyObjectiveUs,
                objectiveStretch,
                deadlineUs,
                priorityWeight,
                latePriorityWeight,
                idempotency,
                DeduplicationScope.ALL,
                0,
                false,
                false,
                threads,
                idempotency == Idempotency.NOT_IDEMPOTENT,
                false,
                null,
                null);
    }

    static EngineEntry engine(String id, EngineStatus status, long startedUs) {
        return new EngineEntry(id, 0, 0, 0, status, 1, startedUs);
    }
}
