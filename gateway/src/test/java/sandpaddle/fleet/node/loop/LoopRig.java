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

/** The fleet's side of a loop that stands still; quotas hold for good or have lapsed, so no real time matters. */
final class LoopRig implements Scheduler {
    static final long FOR_GOOD = Long.MAX_VALUE / 2;
    static final int SAFE = 0;
    static final int UNSAFE = 1;

    private static RequestClass cls(Idempotency effect) {
        return new RequestClass(
                1000, 0, 9000, 1, 0, effect, DeduplicationScope.ALL, 0, false, false, 1, false, false, null, null);
    }

    static final DecisionSettings SITE = new DecisionSettings(
            1,
            0,
            0,
            false,
            List.of(cls(Idempotency.IDEMPOTENT), cls(Idempotency.NOT_IDEMPOTENT)),
            List.of(new EngineKind(8, 0)),
            List.of(),
            false,
            new PlatformLimits(true, false, true, false, 5, 100, 1_000_000, 250_000, 15_000_000),
            new PlatformRules(20_000, 250_000, 0, 0.3, 0, 4, 0, 0, 0, 0, 0),
            new EngineFeatures(false, false, 0, false, false, 0),
            new ServiceCosts(0, 0));

    final Publication<FleetView> views = new Publication<>(FleetView.EMPTY);
    final Publication<SlotUsage> usages = new Publication<>(new SlotUsage(0, 0));
    final Queue<LoopEvent> heard = new ArrayDeque<>();
    final Queue<Runnable> tasks = new ArrayDeque<>();
    final List<Consumer<Optional<Answer>>> lookups = new ArrayList<>();
    final LoopCoordinator side;
    int woken;
    private final TimerQueue timers = new TimerQueue();

    LoopRig(long forgetUs) {
        side = new LoopCoordinator(
                SITE,
                this,
                new MonotonicClock(),
                new SharedState(views, usages, new OpenConnections()),
                new LoopCoordinator.Channels(heard, tasks, () -> woken++),
                (classIndex, query, inside, then) -> lookups.add(then),
                new PoolBudget(views, new OpenConnections(), new MonotonicClock()::now),
                forgetUs,
                6_000_000);
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
        // the test has the next turn come
    }

    static Query query(String tenant) {
        return new Query(
                "lookup", "0", Duration.ofSeconds(1), Duration.ZERO, 0, -1, new byte[0], "", false, tenant, "", "", "");
    }

    static LimitSlot running(String id, int classIndex, String tenant, String engine) {
        return new LimitSlot(id, "", classIndex, tenant, engine, LimitSlot.Counts.RUNNING);
    }

    static FleetView view(
            long numbering, long lapse, List<LimitSlot> slots, List<LimitSlot> each, FleetView.SlotQuota... shares) {
        return new FleetView(
                numbering,
                slots,
                List.of(shares),
                each,
                Long.MIN_VALUE,
                lapse,
                List.of(),
                Map.of(),
                FleetView.Isolation.NONE);
    }

    /** Publishes, and has a turn pass. */
    List<Event> turn(FleetView next) {
        views.publish(next);
        return side.pollEvents();
    }

    void end(int classIndex, String tenant, String engine, AttemptResult result, boolean gone) {
        side.attemptEnded(new FleetCoordination.EndedAttempt(
                classIndex, query(tenant), engine, result, Duration.ofMillis(3), null, gone));
    }
}
