package sandpaddle.decision.outlier;

import java.util.ArrayList;
import java.util.List;
import sandpaddle.decision.loadview.ArrivalRate;
import sandpaddle.decision.model.Attempt;
import sandpaddle.decision.model.EngineRegistry;
import sandpaddle.decision.model.EngineState;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.model.HealthScope;
import sandpaddle.decision.model.PendingRequest;
import sandpaddle.decision.slowstart.SlowStart;

/**
 * Detects outliers by errors and failed connections, and ejects them by an {@link EjectionPolicy}. {@link
 * SilenceDetector} detects those that do not answer.
 */
public final class OutlierDetection {
    /** Error rate above the fleet's beyond which an engine is ejected. */
    private static final double EJECTION_ERROR_RATE = 0.3;
    /** Least zone size by which half of a zone is counted: of two engines, both must be unreachable. */
    private static final int MIN_ZONE_SIZE = 3;

    private final EventContext context;
    private final EngineRegistry engines;
    private final ArrivalRate arrivals;
    private final EjectionPolicy ejection;
    private final SlowStart slowStart;
    private long lastSuccessAtUs = EventContext.NEVER;

    /** Creates a detection without outcomes. */
    public OutlierDetection(
            EventContext context,
            EngineRegistry engines,
            ArrivalRate arrivals,
            EjectionPolicy ejection,
            SlowStart slowStart) {
        this.context = context;
        this.engines = engines;
        this.arrivals = arrivals;
        this.ejection = ejection;
        this.slowStart = slowStart;
    }

    /**
     * Records an error. Only a request's first error counts, since one that fails on several engines is itself faulty.
     */
    public void recordError(EngineState engine, PendingRequest request) {
        HealthScope health = engine.health();
        if (request.recordError() == 1) {
            ejection.recordOutcome(health, 1);
        }
        if (ejection.relativeErrorRate(health) > EJECTION_ERROR_RATE || arrivals.isSparse()) {
            ejection.eject(health);
        }
    }

    /** Records a successful answer. */
    public void recordSuccess(EngineState engine, int classIndex) {
        lastSuccessAtUs = context.nowUs();
        engine.health().recordSuccess(context.nowUs());
        ejection.recordOutcome(engine.health(), 0);
        recordAnswer(engine, classIndex);
        if (engine.health().isUnresponsive()) {
            slowStart.begin(engine);
        }
        for (HealthScope scope : engine.healthScopes(classIndex)) {
            ejection.readmit(scope);
        }
    }

    /** Records an answer of any kind, which proves that its scopes respond. */
    public void recordAnswer(EngineState engine, int classIndex) {
        for (HealthScope scope : engine.healthScopes(classIndex)) {
            scope.recordAnswer(context.nowUs());
        }
    }

    /** Records an overdue attempt that timed out as a sign that its zone and its class may be unresponsive. */
    public void recordTimeout(Attempt attempt) {
        EngineState engine = attempt.engine();
        engine.zoneHealth().recordTimeout(attempt);
        engine.classHealth(attempt.request().classIndex()).recordTimeout(attempt);
    }

    /**
     * Records a failed connection. An engine that was unreachable may have restarted, which the engine list states
     * seconds late, so its slow start begins. A single failed connection is not sufficient for that: it takes two in a
     * row, or half of the engines of the zone.
     */
    public void recordUnreachable(EngineState engine) {
        boolean repeated = engine.health().isUnresponsive();
        engine.health().setUnresponsive(true);
        ejection.eject(engine.health());
        List<EngineState> zone = enginesOfZone(engine.zoneHealth());
        if (isZoneUnreachable(zone)) {
            zone.forEach(slowStart::beginAfterOutage);
        } else if (repeated) {
            slowStart.beginAfterOutage(engine);
        }
    }

    private List<EngineState> enginesOfZone(HealthScope zone) {
        List<EngineState> found = new ArrayList<>();
        for (EngineState engine : engines.up()) {
            if (engine.zoneHealth() == zone) {
                found.add(engine);
            }
        }
        return found;
    }

    private static boolean isZoneUnreachable(List<EngineState> zone) {
        int unresponsive = 0;
        for (EngineState engine : zone) {
            unresponsive += engine.health().isUnresponsive() ? 1 : 0;
        }
        return 2 * unresponsive >= Math.max(zone.size(), MIN_ZONE_SIZE);
    }

    /** Resets the health of an engine that has restarted, and begins its slow start. */
    public void restart(EngineState engine) {
        engine.health().clearErrors();
        ejection.readmitNow(engine.health());
        for (int i = 0; i < engine.classes(); i++) {
            ejection.readmitNow(engine.classHealth(i));
        }
        slowStart.begin(engine);
    }

    /** Returns the time of the last successful answer of any engine (us). */
    long lastSuccessAtUs() {
        return lastSuccessAtUs;
    }
}
