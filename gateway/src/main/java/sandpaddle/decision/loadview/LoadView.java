package sandpaddle.decision.loadview;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import sandpaddle.decision.model.EngineRegistry;
import sandpaddle.decision.model.EngineState;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.model.LoadReport;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.LoadField;

/**
 * Load of the engines as this gateway estimates it: its own queries, and the queries of all gateways from load reports,
 * scaled by its share of the traffic. These scaled reports replace the load vector that LBQP (see {@link
 * sandpaddle.decision.balancing.LeastLoadBalancer}) assumes all sites share.
 */
public final class LoadView {
    /** Threads per core from which an engine is busy: near the usual knee of its latency curve. */
    public static final double BUSY_THREADS_PER_CORE = 1.5;
    /** Utilization of the most utilized resource below which an engine is lightly loaded. */
    private static final double LIGHT_UTILIZATION = 0.7;
    /** Utilization of cores, disks or memory from which the resource is nearly exhausted. */
    private static final double SATURATED_UTILIZATION = 0.9;

    /** Fields that state the utilization of a resource. */
    private static final Set<LoadField> UTILIZATION_FIELDS =
            EnumSet.of(LoadField.UTILIZATION, LoadField.MEMORY, LoadField.DISKS);

    private final EventContext context;
    private final EngineRegistry engines;
    private final TrafficShare traffic;
    private final List<LoadField> reportFields;
    private final int inFlightField;
    private final boolean soleGateway;
    private final ToDoubleFunction<EngineState> reportedQueries = this::reportedQueries;
    private final ToDoubleFunction<EngineState> estimatedThreads = this::estimatedThreads;
    private double averageThreadsPerCore;

    /** Creates a view without load reports. */
    public LoadView(DecisionSettings settings, EventContext context, EngineRegistry engines, TrafficShare traffic) {
        this.context = context;
        this.engines = engines;
        this.traffic = traffic;
        reportFields = settings.reportFields();
        inFlightField = reportFields.indexOf(LoadField.IN_FLIGHT);
        soleGateway = settings.gateways() == 1;
    }

    /**
     * Applies a load report.
     *
     * @param values the report, or null
     * @param atUs when the engine wrote it (us)
     * @return false where there is no report, it is older than the current one, or a value is missing or invalid
     */
    public boolean receive(EngineState engine, double[] values, long atUs) {
        LoadReport report = engine.report();
        if (!isValid(values) || atUs < report.receivedAtUs()) {
            return false;
        }
        double bottleneckUtilization = 0;
        double queued = 0;
        for (int i = 0; i < values.length; i++) {
            LoadField field = reportFields.get(i);
            double value = values[i];
            bottleneckUtilization = Math.max(bottleneckUtilization, utilization(engine, field, value));
            queued += field == LoadField.QUEUED ? value : 0;
            if (showsBusy(field, value)) {
                report.recordBusy(atUs);
            }
        }
        double inFlight = inFlightField >= 0 ? values[inFlightField] : Double.NaN;
        report.replace(atUs, inFlight, bottleneckUtilization, queued, engine.ownQueries());
        return true;
    }

    private boolean isValid(double[] values) {
        if (values == null || values.length != reportFields.size()) {
            return false;
        }
        for (double value : values) {
            if (!Double.isFinite(value) || value < 0) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the utilization that a reported value implies. Where queries in flight are reported, they replace the
     * utilization of cores and disks, which cannot exceed 1: a busy engine's threads count as a saturated resource.
     */
    private double utilization(EngineState engine, LoadField field, double value) {
        if (field == LoadField.IN_FLIGHT) {
            return value * traffic.threadsPerQuery() * SATURATED_UTILIZATION / (BUSY_THREADS_PER_CORE * engine.cores());
        }
        boolean counts = field == LoadField.MEMORY || inFlightField < 0 && UTILIZATION_FIELDS.contains(field);
        return counts ? value : 0;
    }

    private static boolean showsBusy(LoadField field, double value) {
        return UTILIZATION_FIELDS.contains(field) && value >= SATURATED_UTILIZATION
                || field == LoadField.QUEUED && value >= 1;
    }

    /** Whether the engine's load report is recent enough to be used. */
    public boolean isFresh(EngineState engine) {
        return engine.report().isFresh(context.nowUs());
    }

    /** Whether the latest report showed spare capacity of every resource. */
    public boolean hadSpareResources(EngineState engine) {
        return engine.report().bottleneckUtilization() < LIGHT_UTILIZATION;
    }

    /** Whether the latest report showed a resource that is nearly exhausted. */
    public boolean wasSaturated(EngineState engine) {
        return engine.report().bottleneckUtilization() > SATURATED_UTILIZATION;
    }

    /** Whether a recent report shows spare capacity of every resource. */
    public boolean isLightlyLoaded(EngineState engine) {
        return isFresh(engine) && hadSpareResources(engine);
    }

    /** Whether load reports state the queries in flight. */
    public boolean reportsInFlight() {
        return inFlightField >= 0;
    }

    /** Returns reported queries times the traffic share, own queries where reports omit them, NaN without a report. */
    public double reportedQueries(EngineState engine) {
        if (inFlightField < 0) {
            return engine.ownQueries();
        }
        return isFresh(engine) ? engine.report().inFlight() * traffic.share() : Double.NaN;
    }

    /** Returns the threads known to run on an engine: own ones, or reported queries times the own threads per query. */
    public double knownThreads(EngineState engine) {
        double own = engine.threads().total();
        if (inFlightField < 0 || !isFresh(engine)) {
            return own;
        }
        return Math.max(own, engine.report().inFlight() * traffic.threadsPerQuery());
    }

    /** Returns the threads on an engine, at least as many as its most utilized resource implies; NaN where unknown. */
    public double estimatedThreads(EngineState engine) {
        if (soleGateway) {
            return knownThreads(engine);
        }
        return Math.max(knownThreads(engine), threadsByResources(engine));
    }

    private double threadsByResources(EngineState engine) {
        if (!isFresh(engine)) {
            return Double.NaN;
        }
        LoadReport report = engine.report();
        return report.bottleneckUtilization() / SATURATED_UTILIZATION * BUSY_THREADS_PER_CORE * engine.cores()
                + report.queued() * traffic.threadsPerQuery();
    }

    /** Updates the average of the estimated threads per core. */
    public void updateAverage() {
        averageThreadsPerCore = averagePerCore(estimatedThreads);
    }

    /** Returns the average of the estimated threads per core, which is used for engines without an estimate. */
    public double averageThreadsPerCore() {
        return averageThreadsPerCore;
    }

    /** Returns the average of the reported queries per core over the engines with a report. */
    public double averageReportedQueries() {
        return averagePerCore(reportedQueries);
    }

    private double averagePerCore(ToDoubleFunction<EngineState> figure) {
        double sum = 0;
        double cores = 0;
        for (EngineState engine : engines.up()) {
            double value = figure.applyAsDouble(engine);
            if (!Double.isNaN(value)) {
                sum += value;
                cores += engine.cores();
            }
        }
        return cores > 0 ? sum / cores : 0;
    }
}
