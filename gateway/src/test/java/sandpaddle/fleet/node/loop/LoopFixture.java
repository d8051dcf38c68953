package sandpaddle.fleet.node.loop;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Consumer;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.Event;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.DeduplicationScope;
import sandpaddle.decision.settings.EngineFeatures;
import sandpaddle.decision.settings.EngineKind;
import sandpaddle.decision.settings.Idempotency;
import sandpaddle.decision.settings.PlatformLimits;
import sandpaddle.decision.settings.PlatformRules;
import sandpaddle.decision.settings.RequestClass;
import sandpaddle.decision.settings.ServiceCosts;
import sandpaddle.eventloop.Scheduler;
import sandpaddle.eventloop.TimerQueue;
import sandpaddle.fleet.node.MonotonicClock;
import sandpaddle.fleet.view.FleetView;
import sandpaddle.fleet.view.LimitSlot;
import sandpaddle.fleet.view.OpenConnections;
import sandpaddle.fleet.view.Publication;
import sandpaddle.fleet.view.SharedState;
import sandpaddle.fleet.view.SlotUsage;
import sandpaddle.query.Answer;
import sandpaddle.query.FleetCoordination;
import sandpaddle.query.Query;

/**
 * A {@link LoopCoordinator} whose event loop only runs when the test calls {@link #turn}. Leases never expire or have
 * expired, so real time does not matter.
 */
final class LoopFixture implements Scheduler {
    static final long NEVER_EXPIRES = Long.MAX_VALUE / 2;
    static final long MAX_RETRY_AFTER_US = 6_000_000;
    /** Index of a class whose attempts may run twice. */
    static final int IDEMPOTENT = 0;
    /** Index of a class whose attempts must not run twice. */
    static final int NOT_IDEMPOTENT = 1;

    private static RequestClass requestClass(Idempotency idempotency) {
        return new RequestClass(
                1000, 0, 9000, 1, 0, idempotency, DeduplicationScope.ALL, 0, false, false, 1, false, false, null, null);
    }

    static final DecisionSettings DECISION_SETTINGS = new DecisionSettings(
            1,
            0,
            0,
            false,
            List.of(requestClass(Idempotency.IDEMPOTENT), requestClass(Idempotency.NOT_IDEMPOTENT)),
            List.of(new EngineKind(8, 0)),
            List.of(),
            false,
            new PlatformLimits(true, false, true, false, 5, 100, 1_000_000, 250_000, 15_000_000),
            new PlatformRules(20_000, 250_000, 0, 0.3, 0, 4, 0, 0, 0, 0, 0),
            new EngineFeatures(false, false, 0, false, false, 0),
            new ServiceCosts(0, 0));

    final Publication<FleetView> views = new Publication<>(FleetView.EMPTY);
    final Publication<SlotUsage> usages = new Publication<>(new SlotUsage(0, 0));
    final Queue<LoopEvent> loopEvents = new ArrayDeque<>();
    final Queue<Runnable> tasks = new ArrayDeque<>();
    final List<Consumer<Optional<Answer>>> lookups = new ArrayList<>();
    final LoopCoordinator coordinator;
    int wakeups;
    private final TimerQueue timers = new TimerQueue();

    LoopFixture(long engineForgetUs) {
        coordinator = new LoopCoordinator(
                DECISION_SETTINGS,
                this,
                new MonotonicClock(),
                new SharedState(views, usages, new OpenConnections()),
                new LoopCoordinator.Channels(loopEvents, tasks, () -> wakeups++),
                (classIndex, query, hasEnginesInZone, callback) -> lookups.add(callback),
                new PoolBudget(views, new OpenConnections(), new MonotonicClock()::now),
                engineForgetUs,
                MAX_RETRY_AFTER_US);
    }

    @Override
    public Instant now() {
        return Instant.EPOCH;
    }

    @Override
    public TimerQueue.Timer schedule(Instant at, Runnable task) {
        return timers.schedule(at, task);
    }

    @Override
    public void requestTurn() {
        // the test calls turn()
    }

    static Query query(String tenant) {
        return new Query(
                "lookup", "0", Duration.ofSeconds(1), Duration.ZERO, 0, -1, new byte[0], "", false, tenant, "", "", "");
    }

    static LimitSlot running(String id, int classIndex, String tenant, String engine) {
        return new LimitSlot(id, "", classIndex, tenant, engine, LimitSlot.Counts.RUNNING);
    }

    static FleetView view(
            long numbering,
            long leaseExpiresUs,
            List<LimitSlot> slots,
            List<LimitSlot> perKeySlots,
            FleetView.SlotQuota... quotas) {
        return new FleetView(
                numbering,
                slots,
                List.of(quotas),
                perKeySlots,
                Long.MIN_VALUE,
                leaseExpiresUs,
                List.of(),
                Map.of(),
                FleetView.Isolation.NONE);
    }

    /** Publishes a view and runs one turn of the event loop; returns the events for the decision module. */
    List<Event> turn(FleetView next) {
        views.publish(next);
        return coordinator.pollEvents();
    }

    void end(int classIndex, String tenant, String engine, AttemptResult result, boolean stopped) {
        coordinator.attemptEnded(new FleetCoordination.EndedAttempt(
                classIndex, query(tenant), engine, result, Duration.ofMillis(3), null, stopped));
    }
}
