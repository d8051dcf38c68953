package sandpaddle.fleet.limit.bound;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.LimitUnit;
import sandpaddle.fleet.limit.allocator.Floors;
import sandpaddle.fleet.limit.rate.TokenBucket;

/**
 * Bounds that the fleet's limits guarantee, each a formula over the settings. Times are in microseconds of real time.
 * Immutable.
 */
public final class LimitBounds {
    private final LimitSettings settings;
    private final long linkUs; // max delay of a message while no fault occurs

    /**
     * Creates the bounds for these settings.
     *
     * @param settings the limits' settings
     * @param linkUs max delay of a message between gateways while no fault occurs (us)
     */
    public LimitBounds(LimitSettings settings, long linkUs) {
        this.settings = settings;
        this.linkUs = linkUs;
    }

    /**
     * By how much a limit may be exceeded, counted at the engines: 0 for concurrent limits, one burst per gateway for
     * rates.
     */
    public long maxOvershoot(LimitSpec spec, int gateways) {
        return spec.unit() == LimitUnit.RATE ? gateways * Math.max(TokenBucket.UNIT, spec.burst()) : 0;
    }

    /**
     * Until a reduced limit is enforced while all gateways are connected: two links until it is committed, a heartbeat
     * and a link until it is granted, and then until enough attempts have ended.
     *
     * @param maxAttemptUs max duration of an attempt (us)
     */
    public long lowerDelayConnectedUs(long maxAttemptUs) {
        return 3 * linkUs + 2 * settings.heartbeatUs() + maxAttemptUs;
    }

    /**
     * Until a reduced limit is enforced while gateways are partitioned from the leader, from its commit on: the lease
     * expires, and engines forget the attempts that were cancelled, or those that are not idempotent have ended.
     */
    public long lowerDelayPartitionedUs() {
        return trueTimeUs(settings.leaseUs() + settings.nonIdempotentGraceUs() + settings.schedulingSlackUs())
                + settings.engineForgetUs();
    }

    /** The longest true time that passes while a gateway's clock advances by {@code timeUs}. */
    private long trueTimeUs(long timeUs) {
        return (long) Math.ceil(timeUs / (1 - settings.clockDrift()));
    }

    /** Until the quotas above the floor of a silent gateway are granted to others. */
    public long reclaimDelayUs() {
        return trueTimeUs(settings.reclaimDelayUs()) + 2 * settings.heartbeatUs() + 4 * linkUs;
    }

    /** Until a gateway that starts may use any quota. */
    public long startupDelayUs() {
        return trueTimeUs(settings.startupDelayUs());
    }

    /**
     * The smallest fraction of a limit that is usable if one gateway has nearly all the demand: all but the floors of
     * the others and the rebalance band of its share.
     */
    public double minUsableShare(LimitSpec spec, int gateways) {
        if (gateways < 1 || spec.amount() == 0) {
            return 0;
        }
        long floor = Floors.even(spec.amount(), gateways, settings.floorShare());
        long floorOfEach = floor == 0 && spec.amount() >= gateways ? 1 : floor;
        double share = spec.amount() - (double) floorOfEach * (gateways - 1);
        return Math.max(0, share - Math.max(1, settings.rebalanceBand() * share)) / spec.amount();
    }

    /** One line of text for each bound, for operators. */
    public List<String> describe(List<LimitSpec> limits, int gateways) {
        List<String> lines = new ArrayList<>();
        for (LimitSpec spec : limits) {
            lines.add("limit " + spec.id() + " " + spec.amount() + ": exceeded by at most "
                    + maxOvershoot(spec, gateways)
                    + (spec.unit() == LimitUnit.RATE ? " (" + gateways + " gateways x one burst)" : " at the engines")
                    + ", floors " + floors(spec, gateways));
        }
        lines.add("reduced limit enforced " + ms(lowerDelayConnectedUs(0))
                + " ms after its commit, plus the time of running attempts; " + ms(lowerDelayPartitionedUs())
                + " ms for partitioned gateways (lease, grace period, scheduling slack, engine forget time)");
        lines.add("quotas of a lost gateway reclaimed after " + ms(reclaimDelayUs())
                + " ms; no quota after a start for " + ms(startupDelayUs()) + " ms");
        return lines;
    }

    private String floors(LimitSpec spec, int gateways) {
        long each = Floors.even(spec.amount(), gateways, settings.floorShare());
        return each > 0 ? each + " each" : spec.amount() >= gateways ? "1 each" : "1 for " + spec.amount() / 2;
    }

    private static String ms(long us) {
        return String.format(Locale.ROOT, "%d", (us + 999) / 1000);
    }
}
