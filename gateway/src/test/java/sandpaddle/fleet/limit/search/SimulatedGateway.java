package sandpaddle.fleet.limit.search;

import java.util.ArrayList;
import java.util.List;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.lease.QuotaHolder;
import sandpaddle.fleet.limit.lease.SavedFloor;
import sandpaddle.fleet.limit.lease.UsageSource;
import sandpaddle.fleet.limit.wire.Heartbeat;
import sandpaddle.fleet.limit.wire.QuotaGrant;

/** One gateway of the searched world: its clock, process, links and what it runs. It always uses all that it may. */
final class SimulatedGateway implements UsageSource {
    final String name;
    private final LimitSettings settings;
    private final long rate; // of its clock, units a step
    final Engine engine = new Engine();
    final List<QuotaGrant> grants = new ArrayList<>(); // sent to it last, to come again
    final List<QuotaGrant> late = new ArrayList<>();
    final List<Long> lateAt = new ArrayList<>();
    final List<Heartbeat> beats = new ArrayList<>();
    private final List<Long> lingering = new ArrayList<>(); // given up: when each is certainly gone, by its clock
    private List<SavedFloor> disk = List.of();
    QuotaHolder holder;
    boolean stopped;
    boolean hungry;
    Event.What links = Event.What.WELL;
    private long clock;
    private long processes;

    SimulatedGateway(String name, LimitSettings settings, long rate) {
        this.name = name;
        this.settings = settings;
        this.rate = rate;
    }

    void start() {
        holder = new QuotaHolder(name, ++processes, clock, settings, this, disk);
        stopped = false;
    }

    void crash() {
        holder = null;
        stopped = false;
        engine.live = 0;
        lingering.clear();
    }

    @Override
    public long used(String limit, String tenant) {
        return engine.live + lingering.size();
    }

    @Override
    public long demand(String limit, String tenant) {
        return hungry ? World.AMOUNT : 0;
    }

    void tick() {
        clock += rate;
    }

    boolean runs() {
        return holder != null && !stopped;
    }

    void receiveGrant(QuotaGrant grant) {
        if (runs()) {
            holder.receiveGrant(clock, grant);
        }
    }

    /** Ends what is over, starts all that it may, and asks for what runs. */
    void work(long now) {
        if (!runs()) {
            return;
        }
        lingering.removeIf(at -> at <= clock);
        long max = holder.ceiling(clock, World.LIMIT, "");
        while (engine.live > max) {
            if (clock < holder.leaseExpiresAtUs()) {
                engine.end();
            } else {
                engine.leave(); // the engine finds that out
                lingering.add(clock + settings.onAnyClockUs(settings.engineForgetUs()));
            }
        }
        while (used(World.LIMIT, "") < max) {
            engine.start(now);
        }
        engine.ask(now);
        disk = holder.floors();
        holder.onFloorsWritten(clock, disk);
    }

    Heartbeat beat() {
        Heartbeat heartbeat = holder.nextHeartbeat(clock);
        beats.add(heartbeat);
        if (beats.size() > 3) {
            beats.remove(0);
        }
        return heartbeat;
    }
}
