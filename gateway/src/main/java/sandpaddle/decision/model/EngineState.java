package sandpaddle.decision.model;

import java.util.List;
import sandpaddle.decision.event.EngineEntry;

/** State of one engine. {@link EngineRegistry} sets the fields that come from the engine list. */
public final class EngineState {
    private final String id;
    private final ThreadUsage threads;
    private final LoadReport report = new LoadReport();
    private final ConcurrencyLimit limit = new ConcurrencyLimit();
    private final WarmUpState warmUp = new WarmUpState();
    private final HealthScope health;
    private final HealthScope[] classHealth;
    private HealthScope zoneHealth;

    private EngineEntry entry;
    private boolean up;
    private double cores;
    private double gatewayPosition;
    private boolean healthCheckInFlight;
    private long lastHealthCheckAtUs = EventContext.NEVER;

    EngineState(String id, int classes) {
        this.id = id;
        threads = new ThreadUsage(classes);
        health = new HealthScope(HealthScope.Kind.ENGINE, id);
        classHealth = new HealthScope[classes];
        for (int i = 0; i < classes; i++) {
            classHealth[i] = new HealthScope(HealthScope.Kind.ENGINE_CLASS, id + " class " + i);
        }
    }

    /** Sets the entry of the engine list and the health scope of the engine's zone. */
    void update(EngineEntry newEntry, HealthScope zone) {
        entry = newEntry;
        zoneHealth = zone;
    }

    /** Sets whether the engine list states the engine as up. */
    void setUp(boolean value) {
        up = value;
    }

    /** Sets the values that are fixed from one start of the engine to the next. */
    void setCapacity(double coreCount, double position) {
        cores = coreCount;
        gatewayPosition = position;
    }

    /** Records that a health check was sent. */
    public void startHealthCheck(long nowUs) {
        healthCheckInFlight = true;
        lastHealthCheckAtUs = nowUs;
    }

    /** Records that the health check ended. */
    public void endHealthCheck() {
        healthCheckInFlight = false;
    }

    /** Returns the id of the engine. */
    public String id() {
        return id;
    }

    /** Returns the engine's entry in the engine list. */
    public EngineEntry entry() {
        return entry;
    }

    /** Whether the engine list states the engine as up. */
    public boolean isUp() {
        return up;
    }

    /** Returns the number of cores. */
    public double cores() {
        return cores;
    }

    /** Returns the engine's position in the order in which this gateway prefers engines, in [0, 1). */
    public double gatewayPosition() {
        return gatewayPosition;
    }

    /** Whether a health check is in flight. */
    public boolean isHealthCheckInFlight() {
        return healthCheckInFlight;
    }

    /** Returns when the last report was written or the last health check was sent (us). */
    public long lastCheckedAtUs() {
        return Math.max(report.receivedAtUs(), lastHealthCheckAtUs);
    }

    /** Returns the number of this gateway's queries in flight. */
    public int ownQueries() {
        return health.inFlight().size();
    }

    /** Returns the threads used by this gateway's queries. */
    public ThreadUsage threads() {
        return threads;
    }

    /** Returns the latest load report. */
    public LoadReport report() {
        return report;
    }

    /** Returns the engine's concurrency limit. */
    public ConcurrencyLimit limit() {
        return limit;
    }

    /** Returns the state of the engine's slow start. */
    public WarmUpState warmUp() {
        return warmUp;
    }

    /** Returns the health scope of the engine. */
    public HealthScope health() {
        return health;
    }

    /** Returns the health scope of the engine's zone. */
    public HealthScope zoneHealth() {
        return zoneHealth;
    }

    /** Returns the health scope of a class on the engine. */
    public HealthScope classHealth(int classIndex) {
        return classHealth[classIndex];
    }

    /** Returns the number of classes. */
    public int classes() {
        return classHealth.length;
    }

    /** Returns the scopes that an attempt of a class belongs to: the engine, its zone, and the class on the engine. */
    public List<HealthScope> healthScopes(int classIndex) {
        return List.of(health, zoneHealth, classHealth[classIndex]);
    }
}
