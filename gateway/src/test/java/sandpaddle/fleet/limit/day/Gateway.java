package sandpaddle.fleet.limit.day;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Random;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.lease.FloorFile;
import sandpaddle.fleet.limit.lease.QuotaHolder;
import sandpaddle.fleet.limit.lease.SavedFloor;
import sandpaddle.fleet.limit.lease.UsageSource;
import sandpaddle.fleet.limit.wire.Heartbeat;
import sandpaddle.fleet.limit.wire.QuotaGrant;

/** A gateway in virtual time: its clock, its disk, its process with a holder, and clients that always want more. */
final class Gateway implements UsageSource {
    final String name;
    final LimitSettings settings;
    private final Engines engines;
    private final Random random;
    private final double rate; // of its clock
    private final long offset;
    private final List<Engines.Attempt> running = new ArrayList<>();
    private final List<long[]> lingering = new ArrayList<>(); // given up: when it is certainly gone
    private final List<FloorFile> disk = new ArrayList<>(); // the last is the file; the others are old copies
    private long wroteAt = Long.MIN_VALUE / 2;
    private long beatAt = Long.MIN_VALUE / 2;
    QuotaHolder holder; // null: no process
    boolean stopped;
    int demand = 3;
    long longest = 4_000_000;
    long starts;

    Gateway(String name, LimitSettings settings, Engines engines, Random random, double rate) {
        this.name = name;
        this.settings = settings;
        this.engines = engines;
        this.random = random;
        this.rate = rate;
        offset = random.nextInt(1_000_000_000);
    }

    long clock(long now) {
        return offset + (long) (now * rate);
    }

    void crash() {
        holder = null;
        stopped = false;
        running.clear(); // nobody asks for them any more
        lingering.clear();
    }

    /** The machine is gone with its disk. */
    void lost() {
        crash();
        disk.clear();
    }

    /** Starts a process, maybe on an old copy of its disk or on none. */
    void start(long now) {
        List<SavedFloor> floors = List.of();
        if (!disk.isEmpty() && random.nextInt(4) != 0) {
            int which = random.nextInt(3) == 0 ? random.nextInt(disk.size()) : disk.size() - 1;
            floors = disk.get(which).usable("boot", clock(now));
        }
        holder = new QuotaHolder(name, 1 + random.nextInt(Integer.MAX_VALUE), clock(now), settings, this, floors);
        beatAt = Long.MIN_VALUE / 2;
    }

    @Override
    public long used(String limit, String tenant) {
        return running.size() + lingering.size();
    }

    @Override
    public long demand(String limit, String tenant) {
        return demand;
    }

    void receiveGrant(long now, QuotaGrant grant) {
        if (holder != null) {
            holder.receiveGrant(clock(now), grant);
        }
    }

    /** One turn of its loop; a heartbeat where one is due. */
    Heartbeat turn(long now, String limit) {
        long clock = clock(now);
        lingering.removeIf(l -> l[0] <= clock);
        running.removeIf(a -> a.over || a.ends <= now);
        onLeaseExpired(clock);
        while (used(limit, "") < Math.min(demand, holder.ceiling(clock, limit, ""))) {
            running.add(engines.start(limit, random.nextInt(3) == 0, now, 200_000 + random.nextLong(longest)));
            starts++;
        }
        running.forEach(a -> a.asked = now);
        if (clock - wroteAt >= 500_000) {
            wroteAt = clock;
            List<SavedFloor> floors = holder.floors();
            disk.add(new FloorFile("boot", clock, settings.floorMaxAgeUs(), floors));
            holder.onFloorsWritten(clock, floors);
        }
        if (clock - beatAt < settings.heartbeatUs()) {
            return null;
        }
        beatAt = clock;
        return holder.nextHeartbeat(clock);
    }

    /** Ends what is over: what may be repeated at once, the rest after the outliving. */
    private void onLeaseExpired(long clock) {
        if (clock < holder.leaseExpiresAtUs()) {
            return;
        }
        long over = holder.excess(clock).values().stream()
                        .mapToLong(Long::longValue)
                        .sum()
                - lingering.size();
        boolean late = clock - holder.leaseExpiresAtUs() >= settings.nonIdempotentGraceUs();
        for (Iterator<Engines.Attempt> i = running.iterator(); i.hasNext() && over > 0; ) {
            if (!i.next().once || late) {
                i.remove();
                over--;
                lingering.add(new long[] {clock + settings.engineForgetUs() + settings.schedulingSlackUs()});
            }
        }
    }
}
