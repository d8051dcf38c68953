package sandpaddle.decision.enginelist;

import sandpaddle.decision.action.SubscribeToEngineList;
import sandpaddle.decision.concurrency.ConcurrencyLimits;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.decision.model.EngineRegistry;
import sandpaddle.decision.model.EngineState;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.outlier.OutlierDetection;

/** Applies engine lists; the state of an engine that is new or has restarted is reset, and it warms up. */
public final class EngineListTracker {
    private final EventContext context;
    private final EngineRegistry engines;
    private final ConcurrencyLimits limits;
    private final OutlierDetection outliers;
    private final boolean subscribes;

    /** Creates a tracker; where {@code subscribes}, it subscribes to changes after a cached list. */
    public EngineListTracker(
            EventContext context,
            EngineRegistry engines,
            ConcurrencyLimits limits,
            OutlierDetection outliers,
            boolean subscribes) {
        this.context = context;
        this.engines = engines;
        this.limits = limits;
        this.outliers = outliers;
        this.subscribes = subscribes;
    }

    /** Applies a list that was read successfully. */
    public void receive(EngineListReceived event) {
        double coresBefore = engines.totalCores();
        engines.update(event).forEach(this::restart);
        limits.resizeFleet(coresBefore);
        if (subscribes && event.kind() == EngineListKind.CACHED) {
            context.emit(new SubscribeToEngineList());
        }
    }

    private void restart(EngineState engine) {
        engine.report().discard();
        engine.warmUp().clearUnreachable();
        limits.restart(engine);
        outliers.restart(engine);
    }
}
