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

/** A gateway's quotas, counting and budget as the program has them, with queries that always wait and one engine. */
final class StandInGateway {
    static final String ENGINE = "s-1";
    private static final int WAITING = 10;

    private record Attempt(String tenant, long ends) {}

    final String name;
    final List<String> tenants;
    private final Random random;
    private final Publication<FleetView> views = new Publication<>(FleetView.EMPTY);
    private final Publication<SlotUsage> usages = new Publication<>(new SlotUsage(0, 0));
    private final OpenConnections connections = new OpenConnections();
    private final AttemptCounters cells = new AttemptCounters(views, usages, 1);
    private final PoolBudget budget;
    private final QuotaManager quotas;
    private final List<Attempt> running = new ArrayList<>();
    private int idle;
    private boolean wants = true;
    private long now;

    StandInGateway(String name, List<String> tenants, LimitSettings settings, long seed) {
        this.name = name;
        this.tenants = tenants;
        random = new Random(seed);
        budget = new PoolBudget(views, connections, () -> now);
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
        tenants.forEach(t -> cells.addWaiting(0, t, WAITING));
    }

    void policy(Policy policy, boolean behind) {
        quotas.setPoolPolicy(Optional.of(policy), behind);
        publish();
    }

    /** Whether its clients ask for anything; what runs ends by itself. */
    void wants(boolean next) {
        wants = next;
        tenants.forEach(t -> cells.addWaiting(0, t, next ? WAITING : -WAITING));
    }

    void granted(QuotaGrant grant) {
        quotas.receiveGrant(now, grant);
        publish();
    }

    private void publish() {
        quotas.publish(List.of(), java.util.Map.of(), FleetView.Isolation.NONE);
    }

    Heartbeat beat() {
        publish();
        return quotas.nextHeartbeat(now);
    }

    /** What the engine has open of this gateway. */
    int open() {
        return running.size() + idle;
    }

    int runs(String tenant) {
        return (int) running.stream().filter(a -> a.tenant.equals(tenant)).count();
    }

    private void end(Attempt a, boolean keep) {
        running.remove(a);
        cells.ended(0, a.tenant, ENGINE);
        idle++;
        if (!keep) {
            closeIdle();
        }
    }

    private void closeIdle() {
        idle--;
        budget.release(ENGINE);
    }

    /** One turn of the loop. */
    void turn(long at) {
        now = at;
        FleetView view = cells.adoptView();
        List.copyOf(running).stream().filter(a -> a.ends <= now).forEach(a -> end(a, true));
        for (Attempt a : List.copyOf(running)) {
            for (int slot : cells.slots(0, a.tenant, ENGINE)) {
                if (!view.isLeased(now) && cells.running(slot) > view.quota(slot, now) && running.contains(a)) {
                    end(a, false); // may be repeated
                }
            }
        }
        while (idle > 0 && budget.isExceeded(ENGINE)) {
            closeIdle();
        }
        for (int i = 0; wants && i < 2 * WAITING; i++) {
            String tenant = tenants.get(random.nextInt(tenants.size()));
            if (cells.tryStart(0, tenant, ENGINE, now)) {
                if (idle > 0) {
                    idle--;
                } else if (!budget.tryAcquire(ENGINE, false)) {
                    cells.ended(0, tenant, ENGINE);
                    continue;
                }
                running.add(new Attempt(tenant, now + 50_000 + random.nextInt(300_000)));
            }
        }
    }
}
