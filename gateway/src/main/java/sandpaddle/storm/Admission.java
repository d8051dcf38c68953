package sandpaddle.storm;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import sandpaddle.decide.Gateway;

/**
 * The door while no calm holds: a token bucket of work whose rate is this gateway's part of what the fleet can do now.
 *
 * <p>The part grows by a fixed step while what was admitted is sent on at once, and shrinks by a factor when it stands
 * waiting (CoDel's sign: the least wait of an interval is above a target) or is turned away after waiting. The rate
 * follows the fleet's capacity by itself, so cold engines and lost ones count at once (AIMD on the part, not the rate).
 *
 * <p>Who enters first is settled by worth for work, as trunk reservation does it: flows (a class's first tries, its
 * returns in time, its late returns) are ranked, and a lower one may take tokens only down to a level that rises with
 * its rank. Besides, each flow has a bucket of its own with a small share of the rate, so that none starves. Buckets
 * go into debt by the last request that they admit: a heavy one is not held up for ever by its size.
 */
final class Admission {
    /** What comes: a first try, a return that can still be answered when wanted, or one that cannot. */
    enum Kind { FIRST, RETURN, LATE_RETURN }

    private static final int KINDS = Kind.values().length;
    private static final double US = 1e6;
    private static final double BURST_S = 0.5; // seconds of the rate that may be saved up
    private static final double TOP_LEVEL = 0.7; // of the burst: what the last flow must leave
    private static final double RETURN_DISCOUNT = 0.9; // a first try goes before a return of like worth
    private static final double MOST_PART = 1.5; // of the cores: much of the work is reading, which needs none
    private static final double LEAST_OF_START = 0.25; // of the part at the start: never less
    private static final double HOPELESS = 0.1; // share of the admitted that was turned away after waiting
    private static final long ADJUST_US = 250_000;
    private static final long STALL_US = 1_000_000; // more saved time than that is no saving

    private final List<Gateway.RequestClass> classes;
    private final double equalPart;
    private StormSettings.Recovery settings;
    private final double[] usualWork; // by class (us)
    private final double[] reserve; // by flow (us)
    private final int[] rank; // by flow
    private double part, tokens, canaries, rate;
    private long at, adjustedAt;
    private int sent, hopeless, turnedAway;
    private long leastWait = Long.MAX_VALUE;

    Admission(Gateway.Settings site, StormSettings.Recovery settings, long now) {
        classes = site.classes();
        equalPart = 1.0 / site.gateways();
        this.settings = settings;
        usualWork = classes.stream().mapToDouble(c -> 0.3 * c.aimUs() * c.threads()).toArray();
        reserve = new double[classes.size() * KINDS];
        rank = new int[reserve.length];
        at = now;
        begin(now);
    }

    void settings(StormSettings.Recovery next) {
        settings = next;
    }

    /** The ramp begins anew. */
    void begin(long now) {
        part = equalPart * settings.startShare();
        adjustedAt = now;
        restartInterval();
    }

    /** A request's work, whether damped or not: what a class usually asks. */
    void learnWork(int cls, double workUs) {
        usualWork[cls] += 0.02 * (workUs - usualWork[cls]);
    }

    double usualWork(int cls) {
        return usualWork[cls];
    }

    double part() {
        return part;
    }

    /** Work a second that is admitted now (us/s). */
    double rate() {
        return rate;
    }

    /** Fills the buckets up to now at the rate for a capacity (cores). */
    void fill(long now, double capacity) {
        double elapsed = Math.min(STALL_US, Math.max(0, now - at)) / US;
        at = Math.max(at, now);
        rate = part * capacity * US;
        tokens = Math.min(tokens + rate * elapsed, rate * BURST_S);
        canaries = Math.min(canaries + settings.canariesPerS() * elapsed, Math.max(1, settings.canariesPerS()));
        double share = settings.reserveShare() * rate;
        for (int f = 0; f < reserve.length; f++) {
            reserve[f] = Math.min(reserve[f] + share * elapsed, Math.max(share, usualWork[f / KINDS]));
        }
    }

    /** Whether a request may enter; what does takes its tokens. Call {@link #fill} first. */
    boolean admits(int cls, Kind kind, double workUs) {
        int f = cls * KINDS + kind.ordinal();
        if (rate > 0 && tokens > level(f) * rate * BURST_S) {
            tokens -= workUs;
            return true;
        }
        if (rate > 0 && reserve[f] > 0) {
            reserve[f] -= workUs;
            return true;
        }
        if (canaries >= 1 && kind != Kind.LATE_RETURN && classes.get(cls).effect() == Gateway.Effect.SAFE) {
            canaries--;
            return true;
        }
        turnedAway++;
        return false;
    }

    private double level(int flow) {
        return TOP_LEVEL * rank[flow] / Math.max(1, rank.length - 1);
    }

    /** A request that was admitted went to an engine for the first time, after so long a wait (us). */
    void sent(long waitUs) {
        sent++;
        leastWait = Math.min(leastWait, waitUs);
    }

    /** A request that was admitted was turned away in the end without having been sent. */
    void hopeless() {
        hopeless++;
    }

    /** Looks at the interval past; to be called several times a second. */
    void adjust(long now) {
        if (now - adjustedAt < ADJUST_US) {
            return;
        }
        adjustedAt = now;
        boolean standing = sent > 0 && leastWait > settings.holdTargetUs();
        if (standing || hopeless > HOPELESS * (sent + hopeless)) {
            part = Math.max(equalPart * settings.startShare() * LEAST_OF_START, part * settings.decrease());
        } else if (turnedAway > 0 && sent > 0) {
            part = Math.min(MOST_PART, part + settings.increase() * equalPart);
        }
        restartInterval();
        rankFlows();
    }

    private void restartInterval() {
        sent = 0;
        hopeless = 0;
        turnedAway = 0;
        leastWait = Long.MAX_VALUE;
    }

    private void rankFlows() {
        Integer[] flows = IntStream.range(0, rank.length).boxed().toArray(Integer[]::new);
        Arrays.sort(flows, Comparator.comparingDouble(f -> -density(f)));
        for (int i = 0; i < flows.length; i++) {
            rank[flows[i]] = i;
        }
    }

    /** Worth that a request of the flow still earns, for its work. */
    private double density(int flow) {
        Gateway.RequestClass c = classes.get(flow / KINDS);
        double worth = switch (Kind.values()[flow % KINDS]) {
            case FIRST -> c.worth();
            case RETURN -> c.worth() * RETURN_DISCOUNT;
            case LATE_RETURN -> c.worth() * c.lateWorth();
        };
        return worth / Math.max(1, usualWork[flow / KINDS]);
    }
}
