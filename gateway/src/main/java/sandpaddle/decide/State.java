package sandpaddle.decide;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.function.ToDoubleFunction;
import sandpaddle.decide.Gateway.EngineEntry;
import sandpaddle.decide.Gateway.Request;
import sandpaddle.decide.Gateway.RequestClass;

/** What a gateway remembers, for {@link Decide}; it decides nothing. */
final class State {
    static final long NEVER = Long.MIN_VALUE / 2; // a time before all others

    private State() {
    }

    /** Drops the times before a time from a line of times in order. */
    static void dropBefore(ArrayDeque<Long> times, long time) {
        while (!times.isEmpty() && times.peek() < time) {
            times.poll();
        }
    }

    /** What is added in a microsecond, of late; {@code since}: the first addition. */
    static final class Rate {
        private final double spanUs;
        private double sum;
        private long at;
        long since = -NEVER;

        Rate(double spanUs) {
            this.spanUs = spanUs;
        }

        void add(long now, double x) {
            since = Math.min(since, now);
            sum = sum * Math.exp(-(now - at) / spanUs) + x;
            at = now;
        }

        double rate(long now) {
            return sum * Math.exp(-(now - at) / spanUs) / (spanUs * (1 - Math.exp(-(now - since) / spanUs)));
        }
    }

    /** Average per core over engines for which a figure is known (not NaN). */
    static double average(List<Engine> engines, ToDoubleFunction<Engine> figure) {
        double sum = 0;
        double cores = 0;
        for (Engine e : engines) {
            double x = figure.applyAsDouble(e);
            if (!Double.isNaN(x)) {
                sum += x;
                cores += e.cores;
            }
        }
        return cores > 0 ? sum / cores : 0;
    }

    static double clamp(double x, double least, double most) {
        return Math.max(least, Math.min(most, x));
    }

    /** In [0, 1), the same for a data group and an engine at every gateway. */
    static double hash(long dataGroup, String engine) {
        long x = dataGroup * 0x9E3779B97F4A7C15L ^ engine.hashCode() * 0xC2B2AE3D27D4EB4FL;
        x = (x ^ (x >>> 31)) * 0xBF58476D1CE4E5B9L;
        return ((x ^ (x >>> 29)) >>> 11) * 0x1.0p-53;
    }

    /** In [0, 1): an engine's place at a gateway. Those of many gateways lie evenly apart, by the golden ratio. */
    static double order(int gateway, String engine) {
        return (hash(0, engine) + gateway * 0.6180339887498949) % 1;
    }

    static final class Engine {
        final String id;
        EngineEntry entry;
        boolean up;
        double cores;
        final double[] threads; // own, by class
        double ownAll; // their sum
        int queries; // own
        Engine room; // of its zone
        final Engine[] lines; // each class on this engine, judged for silence by itself
        boolean isLine;
        final LinkedHashMap<String, Attempt> out = new LinkedHashMap<>();
        final List<Attempt> lost = new ArrayList<>(); // a room's that timed out since its last answer
        double near; // in [0, 1): its place in this gateway's own order of engines
        double[] report;
        double scarcest; // share in use of its scarcest reported resource
        double waiting; // queries in its line for memory, as reported
        double slow; // logarithm of the slowdown against the best
        double bound; // most threads under pressure, of all gateways
        double failing; // share of recent attempts
        boolean silent, probing; // silent: answers nothing, or cannot be reached
        double tokensUs; // work that it may be sent while cold
        double coldGain; // multiple of the warm ones' rate that it bears while cold
        long reportAt = NEVER, cutAt = NEVER, busyAt = NEVER, answeredAt = NEVER, probedAt = NEVER, tokensAt;
        long closedUntil = NEVER, fullUntil = NEVER, closedFor;
        long lostAt = NEVER; // last out of reach, so that it may have started again

        Engine(String id, int classes) {
            this.id = id;
            threads = new double[classes];
            lines = new Engine[classes];
            for (int c = 0; c < classes; c++) {
                lines[c] = new Engine(id + " class " + c, 0);
                lines[c].isLine = true;
            }
        }

        /** The part of its capacity that a started engine has at least, by the rules' figures. */
        double warmth(Gateway.Rules r, long now) {
            long from = Math.max(entry.startedUs(), lostAt);
            double age = clamp(now - from, 0, r.coldUs());
            boolean warm = from <= 0 || age == r.coldUs();
            return warm ? 1 : r.coldFrom() + (1 - r.coldFrom()) * age / r.coldUs();
        }

        void run(int cls, double more) {
            threads[cls] += more;
            ownAll += more;
        }
    }

    static final class Held {
        final Request request;
        final RequestClass cls;
        final long expiresAt, seq;
        final double drawn; // in [0, 1): settles what fits only in part
        long due, notedAt = NEVER; // notedAt: of the attempt that is out
        int attempts;
        int errors; // of its attempts
        double grantedMb, missingMb; // of its latest attempt
        boolean mayHaveRun, over, calledOff;
        Engine ranOn, last;
        long ranAt;
        Attempt out;

        Held(Request request, RequestClass cls, long now, long seq, double drawn) {
            this.request = request;
            this.cls = cls;
            this.seq = seq;
            this.drawn = drawn;
            expiresAt = now + request.expiresInUs();
        }
    }

    record Attempt(Held held, Engine engine, int number, long sentAt, long expectUs) { }

    record Linger(Engine engine, int cls, int threads, long until) { }

    static final class KeyLine {
        final ArrayDeque<Held> line = new ArrayDeque<>();
        long restUntil = NEVER;
    }

    /** What is known of a class: logarithms of latency over norm, and how estimates compare with truth. */
    static final class Known {
        double mean, best, latencyUs, workUs;
        double workBias = 1, memoryBias = 1;
        int seen;

        /** The best latency as a part of the usual. */
        double bestPart() {
            return Math.exp(best - mean);
        }
    }
}
