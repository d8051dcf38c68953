package sandpaddle.decision.slowstart;

import sandpaddle.decision.event.EngineCondition;
import sandpaddle.decision.loadview.Estimators;
import sandpaddle.decision.loadview.LoadSignals;
import sandpaddle.decision.loadview.LoadView;
import sandpaddle.decision.model.EngineRegistry;
import sandpaddle.decision.model.EngineState;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.model.Numbers;
import sandpaddle.decision.model.PendingRequest;
import sandpaddle.decision.model.WarmUpState;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.PlatformRules;
import sandpaddle.decision.verdict.FleetVerdicts;

/**
 * Slow start: limits the rate of work sent to engines that are warming up. Each is sent work at about the rate per core
 * of the warm engines, times the fraction of its capacity that it has reached.
 */
public final class SlowStart {
    /** Base rate of an engine that is warming up, as a fraction of the warm engines' rate for its current capacity. */
    private static final double RATE_FRACTION = 0.9;
    /** Step by which the multiple of the base rate grows while reports show spare resources. */
    private static final double RATE_STEP = 0.15;
    /** Greatest multiple of the base rate. */
    private static final double MAX_RATE_MULTIPLE = 2;
    /** Fraction of the work that overloads an engine which heavy queries may add up to in one turn. */
    private static final double TURN_FRACTION = 0.8;
    /** Fraction of that limit up to which a query is light and need not wait for a turn. */
    private static final double LIGHT_FRACTION = 0.25;

    private final DecisionSettings settings;
    private final PlatformRules rules;
    private final EventContext context;
    private final EngineRegistry engines;
    private final Estimators estimators;
    private final LoadView loadView;
    private final FleetVerdicts verdicts;
    private final WarmRate warmRate;

    /** Creates a slow start in which no engine is warming up. */
    public SlowStart(
            DecisionSettings settings,
            EventContext context,
            EngineRegistry engines,
            LoadSignals load,
            FleetVerdicts verdicts) {
        this.settings = settings;
        this.context = context;
        this.engines = engines;
        this.verdicts = verdicts;
        rules = settings.rules();
        estimators = load.estimators();
        loadView = load.loadView();
        warmRate = new WarmRate(context, load.traffic());
    }

    /** Begins the slow start of an engine. */
    public void begin(EngineState engine) {
        engine.warmUp().begin(context.nowUs(), estimators.initialDebtUs(engine.id()));
    }

    /** Begins the slow start of an engine that was unreachable, since it may have restarted. */
    public void beginAfterOutage(EngineState engine) {
        engine.warmUp().recordUnreachable(context.nowUs());
        begin(engine);
    }

    /** Begins the slow start of engines whose restart is known only from a fleet verdict so far. */
    public void beginAfterWarmingUpVerdicts() {
        for (EngineState engine : engines.up()) {
            WarmUpState warmUp = engine.warmUp();
            long sinceUs = verdicts.sinceUs(engine.id(), EngineCondition.WARMING_UP);
            long lastStartUs = Math.max(engine.entry().startedUs(), warmUp.unreachableAtUs());
            if (sinceUs > Math.max(warmUp.verdictAtUs(), lastStartUs)) {
                warmUp.recordVerdict(sinceUs);
                begin(engine);
            }
        }
    }

    /** Whether an engine has its full capacity. */
    public boolean isWarm(EngineState engine) {
        return capacityFraction(engine) == 1;
    }

    /** Returns the cores of an engine times the fraction of its capacity that it has reached. */
    public double effectiveCores(EngineState engine) {
        return engine.cores() * capacityFraction(engine);
    }

    /** Returns the least fraction of its capacity that an engine has by the platform's rules. */
    private double capacityFraction(EngineState engine) {
        long listedUs = Math.max(engine.entry().startedUs(), engine.warmUp().unreachableAtUs());
        long startedUs = Math.max(listedUs, verdicts.sinceUs(engine.id(), EngineCondition.WARMING_UP));
        double ageUs = Numbers.clamp(context.nowUs() - startedUs, 0, rules.slowStartUs());
        if (startedUs <= 0 || ageUs == rules.slowStartUs()) {
            return 1;
        }
        return rules.slowStartFrom() + (1 - rules.slowStartFrom()) * ageUs / rules.slowStartUs();
    }

    /**
     * Adjusts the rate of an engine to its new load report, which shows the load of all gateways, so that they adjust
     * alike.
     */
    public void adjustRate(EngineState engine) {
        if (isWarm(engine) || !engine.limit().tryAdjust(context.nowUs())) {
            return;
        }
        WarmUpState warmUp = engine.warmUp();
        if (loadView.wasSaturated(engine)) {
            warmUp.setRateMultiple(1);
        } else {
            double step = loadView.hadSpareResources(engine) ? RATE_STEP : 0;
            warmUp.setRateMultiple(Math.min(MAX_RATE_MULTIPLE, warmUp.rateMultiple() + step));
        }
    }

    /** Updates the rate of the warm engines, once per sweep. */
    public void updateWarmRate() {
        boolean anyWarm = false;
        for (EngineState engine : engines.up()) {
            anyWarm |= isWarm(engine);
        }
        if (anyWarm) {
            warmRate.update(warmCores());
        }
    }

    private double warmCores() {
        // DoubleStream.sum compensates rounding errors; a loop can differ in the last digits, and so change a decision
        return engines.up().stream()
                .filter(this::isWarm)
                .mapToDouble(EngineState::cores)
                .sum();
    }

    /** Whether the slow start of an engine permits a request. */
    public boolean allows(PendingRequest request, EngineState engine) {
        if (isWarm(engine)) {
            return true;
        }
        if (mustWaitForTurn(request, engine)) {
            return false;
        }
        // half of the rate that overloads the engine, split evenly, since the learnt traffic shares may sum to over 1
        double maxRate = rules.overloadMultiple() / 2 / settings.gateways();
        double ratePerCore =
                warmRate.perCore(warmCores()) * RATE_FRACTION * engine.warmUp().rateMultiple();
        double rate = Math.min(ratePerCore, maxRate) * effectiveCores(engine);
        return engine.warmUp().work().refill(context.nowUs(), rate, rate * rules.overloadWindowUs()) >= 0;
    }

    /**
     * Whether a heavy query must wait for this gateway's turn at an engine that is warming up, because the engine would
     * be overloaded if all gateways sent it such a query at once. Turns are assigned round-robin, one overload window
     * long; in each window as many gateways have a turn as may send one such query each.
     */
    public boolean mustWaitForTurn(PendingRequest request, EngineState engine) {
        if (isWarm(engine)) {
            return false;
        }
        long elapsedUs = context.nowUs() - engine.entry().startedUs();
        long rotation =
                elapsedUs / Math.max(1, rules.overloadWindowUs()) + engine.id().hashCode();
        double capacityUs =
                TURN_FRACTION * rules.overloadMultiple() * rules.overloadWindowUs() * effectiveCores(engine);
        double workUs = Math.max(estimators.expectedWorkUs(request), estimators.classWorkUs(request));
        return workUs > LIGHT_FRACTION * capacityUs
                && Math.floorMod(settings.gatewayIndex() - rotation, settings.gateways())
                        >= (int) (capacityUs / workUs);
    }

    /** Charges a request that is sent to an engine to its token bucket, and if it is warm to the warm engines' rate. */
    public void recordSend(PendingRequest request, EngineState engine) {
        engine.warmUp().work().spend(estimators.expectedWorkUs(request));
        if (isWarm(engine)) {
            warmRate.recordWork(estimators.classWorkUs(request));
        }
    }

    /** Reverts the work of a request that a warm engine never ran. */
    public void recordNeverRan(PendingRequest request, EngineState engine) {
        warmRate.recordWork(isWarm(engine) ? -estimators.classWorkUs(request) : 0);
    }
}
