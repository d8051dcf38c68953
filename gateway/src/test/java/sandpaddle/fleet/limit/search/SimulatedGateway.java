package sandpaddle.fleet.limit.search;

import java.util.ArrayList;
import java.util.List;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.lease.QuotaHolder;
import sandpaddle.fleet.limit.lease.SavedFloor;
import sandpaddle.fleet.limit.lease.UsageSource;
import sandpaddle.fleet.limit.wire.Heartbeat;
import sandpaddle.fleet.limit.wire.QuotaGrant;

/** A gateway of the model: its clock, process, links and attempts. It always uses its whole quota. */
final class SimulatedGateway implements UsageSource {
    /** Max number of grants and of heartbeats that may be replayed. */
    static final int MAX_REPLAYS = 3;

    final String name;
    private final LimitSettings settings;
    private final long clockRate; // units that its clock advances per step
    final SimulatedEngine engine = new SimulatedEngine();
    final List<QuotaGrant> sentGrants = new ArrayList<>(); // the last ones sent to it, for replays
    final List<QuotaGrant> delayedGrants = new ArrayList<>();
    final List<Long> delayedUntil = new ArrayList<>(); // step in which each of the delayed grants arrives
    final List<Heartbeat> sentHeartbeats = new ArrayList<>(); // the last ones, for replays
    private final List<Long> abandoned = new ArrayList<>(); // when each has certainly ended, by its clock
    private List<SavedFloor> savedFloors = List.of();
    QuotaHolder holder;
    boolean paused;
    boolean hasDemand;
    Event.Kind links = Event.Kind.LINKS_HEALED;
    private long clock;
    private long processCount;

    SimulatedGateway(String name, LimitSettings settings, long clockRate) {
        this.name = name;
        this.settings = settings;
        this.clockRate = clockRate;
    }

    void start() {
        holder = new QuotaHolder(name, ++processCount, clock, settings, this, savedFloors);
        paused = false;
    }

    void crash() {
        holder = null;
        paused = false;
        engine.polledCount = 0;
        abandoned.clear();
    }

    @Override
    public long used(String limit, String tenant) {
        return engine.polledCount + abandoned.size();
    }

    @Override
    public long demand(String limit, String tenant) {
        return hasDemand ? FleetModel.AMOUNT : 0;
    }

    void tick() {
        clock += clockRate;
    }

    boolean isRunning() {
        return holder != null && !paused;
    }

    void receiveGrant(QuotaGrant grant) {
        if (isRunning()) {
            holder.receiveGrant(clock, grant);
        }
    }

    /** Ends attempts above the quota, starts as many as the quota allows, and polls those that run. */
    void work(long now) {
        if (!isRunning()) {
            return;
        }
        abandoned.removeIf(at -> at <= clock);
        long max = holder.ceiling(clock, FleetModel.LIMIT, "");
        while (engine.polledCount > max) {
            if (clock < holder.leaseExpiresAtUs()) {
                engine.end();
            } else {
                engine.abandon();
                abandoned.add(clock + settings.onAnyClockUs(settings.engineForgetUs()));
            }
        }
        while (used(FleetModel.LIMIT, "") < max) {
            engine.start(now);
        }
        engine.poll(now);
        savedFloors = holder.floors();
        holder.onFloorsWritten(clock, savedFloors);
    }

    Heartbeat nextHeartbeat() {
        Heartbeat heartbeat = holder.nextHeartbeat(clock);
        sentHeartbeats.add(heartbeat);
        if (sentHeartbeats.size() > MAX_REPLAYS) {
            sentHeartbeats.remove(0);
        }
        return heartbeat;
    }
}
