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

/** A gateway in virtual time: its clock, its disk, and a process that starts attempts while its quota allows them. */
final class SimulatedGateway implements UsageSource {
    final String name;
    final LimitSettings settings;
    private final SimulatedEngines engines;
    private final Random random;
    private final double clockRate; // speed of its clock relative to true time
    private final long clockOffsetUs;
    private final List<SimulatedEngines.Attempt> running = new ArrayList<>();
    // cancelled attempts: local time when each has certainly ended (us)
    private final List<long[]> cancelled = new ArrayList<>();
    // the last is the current file; the others are older copies
    private final List<FloorFile> floorFiles = new ArrayList<>();
    private long floorsWrittenAtUs = Long.MIN_VALUE / 2;
    private long heartbeatAtUs = Long.MIN_VALUE / 2;
    QuotaHolder holder; // null if no process runs
    boolean paused;
    int demand = 3;
    long maxDurationUs = 4_000_000;
    long startedAttempts;

    SimulatedGateway(String name, LimitSettings settings, SimulatedEngines engines, Random random, double clockRate) {
        this.name = name;
        this.settings = settings;
        this.engines = engines;
        this.random = random;
        this.clockRate = clockRate;
        clockOffsetUs = random.nextInt(1_000_000_000);
    }

    long localTimeUs(long nowUs) {
        return clockOffsetUs + (long) (nowUs * clockRate);
    }

    void crash() {
        holder = null;
        paused = false;
        running.clear(); // they are no longer polled
        cancelled.clear();
    }

    /** The machine fails, and its disk is lost. */
    void loseMachine() {
        crash();
        floorFiles.clear();
    }

    /** Starts a process, sometimes with an older copy of the floor file or with none. */
    void start(long nowUs) {
        List<SavedFloor> floors = List.of();
        if (!floorFiles.isEmpty() && random.nextInt(4) != 0) {
            int index = random.nextInt(3) == 0 ? random.nextInt(floorFiles.size()) : floorFiles.size() - 1;
            floors = floorFiles.get(index).usable("boot", localTimeUs(nowUs));
        }
        holder = new QuotaHolder(
                name, 1 + random.nextInt(Integer.MAX_VALUE), localTimeUs(nowUs), settings, this, floors);
        heartbeatAtUs = Long.MIN_VALUE / 2;
    }

    @Override
    public long used(String limit, String tenant) {
        return running.size() + cancelled.size();
    }

    @Override
    public long demand(String limit, String tenant) {
        return demand;
    }

    void receiveGrant(long nowUs, QuotaGrant grant) {
        if (holder != null) {
            holder.receiveGrant(localTimeUs(nowUs), grant);
        }
    }

    /** Runs one turn of the event loop. Returns a heartbeat, or null if none is due. */
    Heartbeat step(long nowUs, String limit) {
        long localUs = localTimeUs(nowUs);
        cancelled.removeIf(end -> end[0] <= localUs);
        running.removeIf(attempt -> attempt.ended || attempt.endsAtUs <= nowUs);
        onLeaseExpired(localUs);
        while (used(limit, "") < Math.min(demand, holder.ceiling(localUs, limit, ""))) {
            running.add(engines.start(limit, random.nextInt(3) == 0, nowUs, 200_000 + random.nextLong(maxDurationUs)));
            startedAttempts++;
        }
        running.forEach(attempt -> attempt.polledAtUs = nowUs);
        if (localUs - floorsWrittenAtUs >= 500_000) {
            floorsWrittenAtUs = localUs;
            List<SavedFloor> floors = holder.floors();
            floorFiles.add(new FloorFile("boot", localUs, settings.floorMaxAgeUs(), floors));
            holder.onFloorsWritten(localUs, floors);
        }
        if (localUs - heartbeatAtUs < settings.heartbeatUs()) {
            return null;
        }
        heartbeatAtUs = localUs;
        return holder.nextHeartbeat(localUs);
    }

    /** Cancels attempts above the floor: idempotent ones at once, the others after the grace period. */
    private void onLeaseExpired(long localUs) {
        if (localUs < holder.leaseExpiresAtUs()) {
            return;
        }
        long excess = holder.excess(localUs).values().stream()
                        .mapToLong(Long::longValue)
                        .sum()
                - cancelled.size();
        boolean graceExpired = localUs - holder.leaseExpiresAtUs() >= settings.nonIdempotentGraceUs();
        for (Iterator<SimulatedEngines.Attempt> i = running.iterator(); i.hasNext() && excess > 0; ) {
            if (!i.next().nonIdempotent || graceExpired) {
                i.remove();
                excess--;
                cancelled.add(new long[] {localUs + settings.engineForgetUs() + settings.schedulingSlackUs()});
            }
        }
    }
}
