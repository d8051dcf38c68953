package sandpaddle.fleet.node.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.wire.Heartbeat;
import sandpaddle.fleet.limit.wire.QuotaGrant;
import sandpaddle.fleet.node.loop.PoolBudget;
import sandpaddle.fleet.node.quota.QuotaManager;
import sandpaddle.fleet.pool.model.Policy;
import sandpaddle.fleet.view.AttemptCounters;
import sandpaddle.fleet.view.FleetView;
import sandpaddle.fleet.view.OpenConnections;
import sandpaddle.fleet.view.Publication;
import sandpaddle.fleet.view.SharedState;
import sandpaddle.fleet.view.SlotUsage;

/**
 * A gateway in virtual time with the quotas, counters and connection budget of the program, one engine, and clients
 * whose queries always wait.
 */
final class SimulatedGateway {
    static final String ENGINE = "s-1";
    private static final int WAITING_QUERIES = 10;

    private record Attempt(String tenant, long endsAtUs) {}

    final String name;
    final List<String> tenants;
    private final Random random;
    private final Publication<FleetView> views = new Publication<>(FleetView.EMPTY);
    private final Publication<SlotUsage> usages = new Publication<>(new SlotUsage(0, 0));
    private final OpenConnections connections = new OpenConnections();
    private final AttemptCounters counters = new AttemptCounters(views, usages, 1);
    private final PoolBudget budget;
    private final QuotaManager quotas;
    private final List<Attempt> running = new ArrayList<>();
    private int idleConnections;
    private boolean hasDemand = true;
    private long nowUs;

    SimulatedGateway(String name, List<String> tenants, LimitSettings settings, long seed) {
        this.name = name;
        this.tenants = tenants;
        random = new Random(seed);
        budget = new PoolBudget(views, connections, () -> nowUs);
        quotas = new QuotaManager(
                name,
                1 + seed,
                "hall",
                List.of("read"),
                QuotaManager.withoutFloorFile(settings),
                List.of(),
                new SharedState(views, usages, connections),
                0);
        quotas.setPoolEngines(List.of(new PoolEngine(ENGINE, "std", true)));
        quotas.setEngines(List.of(ENGINE));
        tenants.forEach(quotas::addTenant);
        tenants.forEach(tenant -> counters.addWaiting(0, tenant, WAITING_QUERIES));
    }

    void setPolicy(Policy policy, boolean isRestrictedToFloors) {
        quotas.setPoolPolicy(Optional.of(policy), isRestrictedToFloors);
        publish();
    }

    /** Starts or stops the demand of the clients; running attempts end by themselves. */
    void setDemand(boolean next) {
        hasDemand = next;
        tenants.forEach(tenant -> counters.addWaiting(0, tenant, next ? WAITING_QUERIES : -WAITING_QUERIES));
    }

    void receiveGrant(QuotaGrant grant) {
        quotas.receiveGrant(nowUs, grant);
        publish();
    }

    private void publish() {
        quotas.publish(List.of(), java.util.Map.of(), FleetView.Isolation.NONE);
    }

    Heartbeat heartbeat() {
        publish();
        return quotas.nextHeartbeat(nowUs);
    }

    /** Connections to the engine that are in use or idle. */
    int openConnections() {
        return running.size() + idleConnections;
    }

    /** Running attempts of a tenant. */
    int runningCount(String tenant) {
        return (int) running.stream()
                .filter(attempt -> attempt.tenant.equals(tenant))
                .count();
    }

    private void endAttempt(Attempt attempt, boolean keepConnection) {
        running.remove(attempt);
        counters.ended(0, attempt.tenant, ENGINE);
        idleConnections++;
        if (!keepConnection) {
            closeIdle();
        }
    }

    private void closeIdle() {
        idleConnections--;
        budget.release(ENGINE);
    }

    /** Runs one turn of the event loop. */
    void turn(long timeUs) {
        nowUs = timeUs;
        FleetView view = counters.adoptView();
        List.copyOf(running).stream()
                .filter(attempt -> attempt.endsAtUs <= nowUs)
                .forEach(attempt -> endAttempt(attempt, true));
        for (Attempt attempt : List.copyOf(running)) {
            for (int slot : counters.slots(0, attempt.tenant, ENGINE)) {
                if (!view.isLeased(nowUs)
                        && counters.running(slot) > view.quota(slot, nowUs)
                        && running.contains(attempt)) {
                    endAttempt(attempt, false); // withdrawn: an idempotent attempt over quota without a lease
                }
            }
        }
        while (idleConnections > 0 && budget.isExceeded(ENGINE)) {
            closeIdle();
        }
        for (int i = 0; hasDemand && i < 2 * WAITING_QUERIES; i++) {
            String tenant = tenants.get(random.nextInt(tenants.size()));
            if (counters.tryStart(0, tenant, ENGINE, nowUs)) {
                if (idleConnections > 0) {
                    idleConnections--;
                } else if (!budget.tryAcquire(ENGINE, false)) {
                    counters.ended(0, tenant, ENGINE);
                    continue;
                }
                running.add(new Attempt(tenant, nowUs + 50_000 + random.nextInt(300_000)));
            }
        }
    }
}
