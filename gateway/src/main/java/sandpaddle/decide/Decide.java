package sandpaddle.decide;

import static sandpaddle.decide.State.NEVER;

import java.util.*;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import sandpaddle.decide.State.*;

/**
 * All decisions of one gateway. The interface (settings, events, actions) is in Gateway.java.
 *
 * <p>In order: figures, state, events, ordinary path, outcomes, health, rules, reports, probes, the fleet.
 */
public final class Decide implements Gateway {
    // Thread bound: it binds only under pressure. Slowdowns are against the best latency known.
    private static final double BOUND_START = 2.0; // threads per core, over all gateways: the design's figure
    private static final double BOUND_LEAST = 1.2; // threads per core that a cut leaves: cores still busy
    private static final double BOUND_MOST = 2.5; // threads per core: engines lose total work well before
    private static final double WIDEN_BELOW = 1.6; // slowdown: near the best, so the bound may widen
    private static final double PRESSURE_SLOW = 2.5; // slowdown: pressure; aims leave room for about as much
    private static final double LATE_SHARE = 0.4; // share of attempts out past that slowdown: pressure too
    private static final double LIGHT_ROOM = 1.5; // bounds' multiple for the class of most worth for its work
    private static final double FLEET_LEAST = 2.0; // threads per core that cuts leave the fleet
    private static final double FLEET_MOST = 4.0; // threads per core: twice an equal share of a busy fleet
    private static final double FLEET_GROWTH = 0.3; // threads per core, each round of answers near the best
    private static final double CUT = 0.93; // one cut: small, since a cut comes every CUT_EVERY_US
    private static final long CUT_EVERY_US = 250_000; // us: about the time in which a cut shows in latencies
    private static final long PRESSURE_HOLD_US = 1_000_000; // us that a busy report counts
    private static final long FULL_HOLD_US = 300_000; // us without sends after a refusal as full
    private static final double BUSY_THREADS = 1.5; // known threads per core: busy, near the usual knee
    private static final double NEAR_BUSY = 1.2; // threads per core seen on average: a jam may begin
    private static final double HEARD_OFTEN = 3; // own queries a second and engine: reports are current
    private static final double BUSY_SHARE = 0.9; // reported share of cores, disks or memory: little is left
    private static final long REPORT_FRESH_US = 3_000_000; // us: an older report counts as none
    private static final double SLOW_WEIGHT = 0.1; // of an answer in an engine's slowdown: some ten matter
    private static final double CLASS_WEIGHT = 0.03; // of an answer in a class's figures: some thirty matter
    private static final double BEST_DRIFT = 0.00005; // of the log best, each answer: forgets a lucky spell
    private static final int BEST_AFTER = 20; // answers before a class's best latency means anything
    private static final double USUAL_OF_AIM = 0.3; // before any answer, a class's usual time in its aim
    private static final double GROUP_THREADS = 0.6; // threads a core: what a warm data group outweighs
    private static final double TIE_QUERY = 0.5; // part of a query: loads this close tie
    private static final int NEAR = 6; // idle engines that compete where handshakes are charged

    // Health: an engine is closed, then tried one query at a time.
    private static final double FAIL_CLOSE = 0.3; // share of recent attempts failing: closed
    private static final double FAIL_TRIAL = 0.12; // share of recent attempts failing: on trial
    private static final double FAIL_WEIGHT = 0.2; // of an outcome in that share: two failures close
    private static final double FLEET_FAIL_WEIGHT = 0.02; // of an outcome in the fleet's: what hits all alike
    private static final int ERRORS_MOST = 3; // engines that fail a request before it counts as its own fault
    private static final long CLOSED_FIRST_US = 500_000; // us closed at first; doubles
    private static final long CLOSED_MOST_US = 4_000_000; // us closed at most: a healed one waits no longer
    private static final double TRIAL_QUERIES = 20; // own queries for one trial: some hundredths lost at most
    private static final double OVERDUE = 4.0; // multiple of its expected latency: an attempt is overdue
    private static final double END_EARLY = 6; // to end one early: one in some hundred queries is so heavy
    private static final long OVERDUE_LEAST_US = 400_000; // us: never overdue before
    private static final int MUTE_NOTES = 4; // notes' times without one: an attempt at work tells every time
    private static final int SILENT_ATTEMPTS = 2; // overdue, none answered since: one may be just heavy
    private static final double OPEN_LEAST = 0.5; // share of cores in health; below it health is not heeded
    private static final double LINGER = 2.0; // usual latencies for which unstopped work counts on

    // Cold engines, giving up, housekeeping.
    private static final double COLD_PART = 0.9; // of a cold engine's present ability, at the warm ones' rate
    private static final double COLD_EASE = 0.7; // reported share in use below which a cold engine bears more
    private static final double COLD_GAIN = 0.15; // more of that rate at a time, every CUT_EVERY_US at most
    private static final double COLD_GAIN_MOST = 2; // multiple of that rate
    private static final double COLD_BURST = 0.8; // of what fells a cold engine: one query of each in turn
    private static final double RATE_SPAN_US = 5_000_000; // us: span of the rate of work sent to warm engines
    private static final long RATE_KNOWN_US = 2_000_000; // us of sending before that rate is trusted
    private static final double GIVE_UP_AHEAD = 1.5; // present latencies before due: later ones are half lost
    private static final long RETRY_AFTER_US = 500_000; // us of advice to a refused client
    private static final double GRANT_OVER = 1.15; // memory granted over the corrected estimate: its scatter
    private static final double GRANT_WEIGHT = 0.2; // of a query in its class's grants
    private static final double GRANT_SHORT = 0.01; // of a grant that may be missing, on average
    private static final long SWEEP_US = 50_000; // us between sweeps over held requests and engines
    private static final int STALL_SWEEPS = 4; // sweeps late: this gateway stood still
    private static final double CHARGE_MOST = 0.001; // points that probes may cost
    private static final double VIEW_MOST = 0.012; // points for probes near a jam, where nothing else tells
    private static final double SAVED = 3; // probes that may be saved up
    private static final double SHARE_WEIGHT = 0.02; // of a sweep in smoothed rates: some 3 s matter
    private static final double SHARE_LEAST = 0.3; // of an equal share: the least assumed
    private static final long PROBE_EVERY_US = 1_500_000; // us between probes of one engine
    private static final Set<Field> SHARES = EnumSet.of(Field.UTIL, Field.MEMORY, Field.DISKS);

    private final Settings s;
    private final SplittableRandom random;
    private final int inflightField;
    private double share;
    private final Map<String, Engine> engines = new LinkedHashMap<>();
    private final List<Engine> listed = new ArrayList<>(); // those that are up
    private final Engine fleet; // all engines taken as one
    private final Map<Integer, Engine> rooms = new TreeMap<>(); // the engines of a zone taken as one
    private final Map<String, Held> requests = new HashMap<>();
    private final TreeSet<Held> held = new TreeSet<>(
            Comparator.<Held>comparingLong(h -> h.due).thenComparingLong(h -> h.seq));
    private final Map<String, KeyLine> keys = new LinkedHashMap<>();
    private final List<Linger> lingering = new ArrayList<>();
    private final ArrayDeque<Long> takenAt = new ArrayDeque<>();
    private final ArrayDeque<Long> furtherAt = new ArrayDeque<>();
    private final Known[] known;
    private final State.Rate warmWork = new State.Rate(RATE_SPAN_US);
    private long answeredAt = NEVER, stalledAt = NEVER, sweptAt, seq;
    private double takenRate; // requests a second, smoothed
    private double firstsRate; // the first tries among them
    private int takenSince, firstsSince; // since the last sweep
    private double borneRate; // work a core that warm engines bore, of late; kept while none is warm
    private double calmShare; // share for each first try a second, learnt while nothing is held
    private double answersSlow; // logarithm of the fleet's slowdown by answers alone
    private double viewedAverage; // threads per core over the engines seen: what one not seen counts as
    private double width = 1; // threads of an own query, on average
    private double probesSaved = SAVED;
    private boolean sweeping;
    private long now;
    private Consumer<Action> out;

    public Decide(Settings settings, long seed) {
        s = settings;
        random = new SplittableRandom(seed);
        share = 1.0 / s.gateways();
        inflightField = s.reportFields().indexOf(Field.INFLIGHT);
        known = new Known[s.classes().size()];
        fleet = new Engine("", known.length);
        for (int c = 0; c < known.length; c++) {
            RequestClass k = s.classes().get(c);
            known[c] = new Known();
            known[c].latencyUs = USUAL_OF_AIM * k.aimUs();
            known[c].workUs = known[c].latencyUs * k.threads();
        }
    }

    @Override
    public void on(long nowUs, Event event, Consumer<Action> actions) {
        stalledAt = sweeping && nowUs - now > STALL_SWEEPS * SWEEP_US ? nowUs : stalledAt;
        now = nowUs;
        out = actions;
        if (event instanceof Request e) {
            take(e);
        } else if (event instanceof Outcome e) {
            outcome(e);
        } else if (event instanceof EngineList e) {
            list(e);
        } else if (event instanceof ClientLeft e) {
            left(requests.get(e.id()));
        } else if (event instanceof ProbeResult e) {
            probed(e);
        } else if (event instanceof Note e) {
            noted(requests.get(e.id()), e);
        } else if (event instanceof Timer) {
            sweep();
        }
        boolean news = event instanceof ProbeResult || event instanceof Note;
        if (!news) { // the next sweep acts on these
            release();
            shedHopeless();
        }
    }

    // ---- The ordinary path: a request is held, and leaves earliest due first for the least loaded.

    private void take(Request r) {
        if (requests.containsKey(r.id())) {
            return;
        }
        takenAt.add(now);
        takenSince++;
        firstsSince += r.retry() ? 0 : 1;
        Held h = new Held(r, s.classes().get(r.cls()), now, seq++, random.nextDouble());
        double alone = workOf(h) / h.cls.threads();
        h.due = Math.min(h.expiresAt, now + h.cls.aimUs() + (long) (h.cls.aimStretch() * alone));
        requests.put(r.id(), h);
        held.add(h);
        if (h.cls.ordered() && r.key() != null) {
            keys.computeIfAbsent(r.key(), k -> new KeyLine()).line.add(h);
        }
        startSweeping();
        if (r.yields() && !findsEase(h)) {
            giveUp(h);
        }
    }

    /** Whether an engine at ease takes a request at once advised to yield: then nobody loses by it. */
    private boolean findsEase(Held h) {
        return held.first() == h && fitting(h).stream()
                .anyMatch(e -> hasRoom(h, e) && !pressed(e) && e.warmth(s.rules(), now) == 1);
    }

    /** Sends what can be sent, earliest due first; one that finds all engines full stops its class. */
    private void release() {
        boolean[][] full = new boolean[2][known.length]; // first attempts; further ones, with an engine less
        for (Held h : List.copyOf(held)) {
            int c = h.request.cls();
            int further = h.attempts > 0 ? 1 : 0;
            if (further == 1 && !budgetAllows()) {
                giveUp(h);
            } else if (inTurn(h) && !full[0][c] && !full[further][c]) {
                List<Engine> open = fitting(h);
                open.removeIf(e -> !hasRoom(h, e));
                if (open.isEmpty()) {
                    full[further][c] = (h.cls.effect() == Effect.SAFE || further == 0)
                            && listed.stream().noneMatch(e -> fells(h, e));
                } else {
                    send(h, choose(h, open));
                }
            }
        }
    }

    /** Least same-class load per core among those not above the average expected after allocation. */
    private Engine choose(Held h, List<Engine> open) {
        int c = h.request.cls();
        double[] load = new double[open.size()];
        double average = State.average(listed, e -> reportedLoad(e, c));
        double sum = h.cls.threads();
        double cores = 0;
        for (int i = 0; i < load.length; i++) {
            load[i] = classLoad(open.get(i), c, average);
            sum += load[i] * coresNow(open.get(i));
            cores += coresNow(open.get(i));
        }
        double least = Arrays.stream(load).min().orElse(0);
        List<Engine> tied = new ArrayList<>();
        for (int i = 0; i < load.length; i++) {
            Engine e = open.get(i);
            boolean overAverage = load[i] > sum / cores && load[i] > least;
            if (!overAverage && load[i] <= least + TIE_QUERY * h.cls.threads() / coresNow(e)) {
                tied.add(e);
            }
        }
        return settleTie(h, near(tied));
    }

    /**
     * Where handshakes are charged, few engines are met often, not each of them once: the first at ease in
     * this gateway's own order. The orders of gateways differ evenly, so that all engines are met alike.
     */
    private List<Engine> near(List<Engine> tied) {
        return s.charges().handshake() == 0 ? tied
                : tied.stream().sorted(Comparator.comparingDouble(e -> e.near)).limit(NEAR).toList();
    }

    /** Where others' sends show late, only two drawn at random compete: all must not follow one view. */
    private Engine settleTie(Held h, List<Engine> tied) {
        int rivals = wideView() ? tied.size() : 2;
        Engine best = null;
        double bestTie = 0;
        for (int i = 0; i < rivals; i++) {
            Engine e = wideView() ? tied.get(i) : tied.get(random.nextInt(tied.size()));
            double tie = tieBreak(h, e);
            if (best == null || tie > bestTie) {
                best = e;
                bestTie = tie;
            }
        }
        return best;
    }

    /** Own threads of the class, and the report's queries times the share, per core that works now. */
    private double classLoad(Engine e, int c, double averageReported) {
        double reported = reportedLoad(e, c);
        return Double.isNaN(reported) ? e.threads[c] / coresNow(e) + averageReported
                : (e.threads[c] + reported) / coresNow(e);
    }

    /** Reported running queries times the share; where reports lack them own queries. */
    private double reportedLoad(Engine e, int c) {
        if (inflightField >= 0) {
            return fresh(e) ? e.report[inflightField] * share : Double.NaN;
        }
        return e.queries;
    }

    /** Ties: fewest known threads of all gateways, and the data group's engines (all gateways hash alike). */
    private double tieBreak(Held h, Engine e) {
        double affinity = h.request.dataGroup() < 0 ? random.nextDouble()
                : State.hash(h.request.dataGroup(), e.id);
        double seen = viewedThreads(e);
        return GROUP_THREADS * affinity - (Double.isNaN(seen) ? viewedAverage : seen / coresNow(e));
    }

    /** Whether all that runs is its own. */
    private boolean wideView() {
        return s.gateways() == 1;
    }

    /** Threads seen on an engine, or as many as its scarcest resource is busy for; NaN: unseen. */
    private double viewedThreads(Engine e) {
        if (wideView() || !fresh(e)) {
            return wideView() ? threadsKnown(e) : Double.NaN;
        }
        double busy = e.scarcest / BUSY_SHARE * BUSY_THREADS * e.cores;
        return Math.max(threadsKnown(e), busy + e.waiting * width);
    }

    /**
     * The bound binds only under pressure. Where this gateway has nothing on the engine, its share of the
     * fleet's bound binds: many gateways with one query each jam every engine. One query is always allowed;
     * what fits in part may go with that chance.
     */
    private boolean hasRoom(Held h, Engine e) {
        double room = yieldsMost(h.request.cls()) ? LIGHT_ROOM : 1;
        boolean within = e.queries > 0 ? e.ownAll < e.bound * room * share
                : fleet.ownAll == 0 || fleet.ownAll + h.drawn * h.cls.threads() < fleet.bound * room * share;
        double seen = viewedThreads(e);
        within &= (Double.isNaN(seen) ? viewedAverage * e.cores : seen) < e.bound * room;
        return now >= e.fullUntil && (within || !pressed(e));
    }

    /** An engine that is seldom heard counts as the fleet does: its own figures are too few and too old. */
    private boolean pressed(Engine e) {
        return e.slow > Math.log(PRESSURE_SLOW)
                || now - Math.max(e.busyAt, stalledAt) < (seldomHeard() ? REPORT_FRESH_US : PRESSURE_HOLD_US)
                || e != fleet && threadsKnown(e) > BUSY_THREADS * coresNow(e)
                || e != fleet && seldomHeard() && !(fresh(e) && e.scarcest < COLD_EASE) && pressed(fleet);
    }

    private void send(Held h, Engine e) {
        held.remove(h);
        if (h.attempts > 0) {
            furtherAt.add(now);
        }
        spendCold(h, e);
        int c = h.request.cls();
        Attempt a = new Attempt(h, e, h.attempts++, now, expectedUs(h));
        h.out = a;
        h.notedAt = NEVER;
        h.calledOff = false;
        h.last = e;
        judges(e, c).forEach(j -> j.out.put(h.request.id(), a));
        run(e, c, h.cls.threads());
        e.queries++;
        double memory = s.terms().grants() ? h.request.memoryMb() * known[c].memoryBias * GRANT_OVER : 0;
        int priority = s.terms().priorities() && yieldsMost(c) ? 3 : 1;
        h.grantedMb = memory;
        h.missingMb = 0;
        if (memory > 0 || priority != 1) {
            out.accept(new SetTerms(h.request.id(), priority, memory));
        }
        boolean trial = judges(e, c).stream().anyMatch(j -> j.silent); // what fails answers, and is in reach
        out.accept(new Send(h.request.id(), e.id, timeoutUs(h, a.expectUs()), trial));
    }

    /**
     * Guards against lost answers and silent engines: an attempt that would be overdue by then ends at the
     * last moment for another to be answered when due. Harm: a heavy query is as slow again; so answers must
     * come well, or what is done twice adds to the load.
     */
    private long timeoutUs(Held h, long expectUs) {
        long whole = h.expiresAt - now;
        long last = h.due - now - expectUs;
        boolean again = known[h.request.cls()].seen > BEST_AFTER && safeToRepeat(h) && answersWell();
        boolean late = last > Math.max(OVERDUE_LEAST_US, END_EARLY * expectUs);
        return again && late ? Math.min(whole, last) : whole;
    }

    /** While answers come near their best, one that doesn't come is lost, not slow: time-outs have no say. */
    private boolean answersWell() {
        return answersSlow < Math.log(WIDEN_BELOW);
    }

    private void run(Engine e, int cls, int more) {
        e.run(cls, more);
        fleet.run(cls, more);
    }

    // ---- Outcomes and final answers.

    private void outcome(Outcome o) {
        Held h = requests.get(o.id());
        if (h == null || h.out == null || h.out.number() != o.attempt()) {
            return;
        }
        Attempt a = h.out;
        Engine e = a.engine();
        h.out = null;
        judges(e, h.request.cls()).forEach(j -> j.out.remove(o.id()));
        e.queries--;
        hear(e, o.load(), o.elapsedUs() > 0 ? Math.min(now, a.sentAt() + o.elapsedUs()) : now);
        if (o.result() == Result.OK) {
            answered(a, o);
        } else {
            failed(a, o.result());
        }
        run(e, h.request.cls(), lingers(a, o.result()) ? 0 : -h.cls.threads());
        restKey(h, o.result());
        if (!o.result().neverRan() && !h.mayHaveRun) {
            h.mayHaveRun = true;
            h.ranOn = e;
            h.ranAt = a.sentAt();
        }
        if (o.settled() || h.over) {
            end(h);
        } else if (mayTryAgain(h)) {
            held.add(h);
        } else {
            giveUp(h);
        }
    }

    private boolean mayTryAgain(Held h) {
        if (h.attempts >= s.limits().maxAttempts() || now >= h.expiresAt || h.errors >= ERRORS_MOST) {
            return false;
        }
        return !h.mayHaveRun || h.cls.effect() == Effect.SAFE
                || h.cls.effect() == Effect.KEYED && now < h.ranAt + h.cls.windowUs();
    }

    /** The final answer of a request that is given up on, at once. */
    private void giveUp(Held h) {
        boolean harmless = h.cls.effect() == Effect.SAFE || !h.mayHaveRun
                || h.cls.effect() == Effect.KEYED && h.cls.scope() == Scope.ALL;
        if (harmless) {
            long after = s.limits().retryAfter() ? Math.min(RETRY_AFTER_US, s.limits().maxRetryAfterUs()) : 0;
            out.accept(new Refuse(h.request.id(), after));
        } else {
            out.accept(new Fail(h.request.id()));
        }
        end(h);
    }

    /** Nobody waits any more: where a cancel works, the engine need not go on. */
    private void left(Held h) {
        if (h != null && h.out != null && s.limits().cancel() && h.cls.effect() == Effect.SAFE) {
            out.accept(new Cancel(h.request.id(), h.out.number()));
        }
        end(h);
    }

    /** The request is over; an attempt still out keeps its place on the engine and in its key. */
    private void end(Held h) {
        if (h == null) {
            return;
        }
        h.over = true;
        held.remove(h);
        if (h.out == null) {
            requests.remove(h.request.id());
            KeyLine line = lineOf(h);
            if (line != null) {
                line.line.remove(h);
            }
        }
    }

    private void answered(Attempt a, Outcome o) {
        Engine e = a.engine();
        answeredAt = now;
        fails(e, 0);
        heardFrom(e, a.held().request.cls());
        judges(e, a.held().request.cls()).forEach(this::reopen);
        double latency = o.elapsedUs() > 0 ? o.elapsedUs() : Math.max(1, now - a.sentAt());
        learn(a, latency, true);
        if (a.held().missingMb == 0) {
            learnMemory(a.held());
        }
        learnCost(known[a.held().request.cls()], a.held(), o, latency);
    }

    /** A time-out teaches too, by the time it took: else only the quick answers of a jam are ever seen. */
    private void learn(Attempt a, double latency, boolean answer) {
        Engine e = a.engine();
        Known k = known[a.held().request.cls()];
        double norm = a.held().request.estimateUs() > 0 ? workOf(a.held()) / a.held().cls.threads() : 1;
        double x = Math.log(latency / norm);
        k.seen++;
        k.mean += Math.max(CLASS_WEIGHT, 1.0 / k.seen) * (x - k.mean);
        k.best = k.seen < BEST_AFTER ? k.mean : Math.min(k.best + BEST_DRIFT, k.mean);
        k.latencyUs += Math.max(CLASS_WEIGHT, 1.0 / (k.seen + 1)) * (latency - k.latencyUs);
        answersSlow += answer ? SLOW_WEIGHT * (x - k.best - answersSlow) : 0;
        for (Engine f : List.of(e, fleet)) {
            f.slow += SLOW_WEIGHT * (x - k.best - f.slow);
            adjustBound(f);
        }
    }

    private void learnCost(Known k, Held h, Outcome o, double latency) {
        double work = s.terms().tellsCost() && o.usedWorkMs() > 0 ? o.usedWorkMs() * 1000
                : latency * h.cls.threads() * k.bestPart();
        k.workUs += Math.max(CLASS_WEIGHT, 1.0 / (k.seen + 1)) * (work - k.workUs);
        if (o.usedWorkMs() > 0 && h.request.estimateUs() > 0) {
            k.workBias += CLASS_WEIGHT * (State.clamp(work / h.request.estimateUs(), 0.1, 10) - k.workBias);
        }
        if (o.usedMemoryMb() > 0 && h.request.memoryMb() > 0) {
            k.memoryBias += CLASS_WEIGHT
                    * (State.clamp(o.usedMemoryMb() / h.request.memoryMb(), 0.1, 10) - k.memoryBias);
        }
    }

    private void adjustBound(Engine e) {
        double most = e == fleet ? FLEET_MOST : BOUND_MOST;
        if (e.slow < Math.log(WIDEN_BELOW)) {
            double more = e == fleet ? FLEET_GROWTH * e.cores : 1;
            e.bound = Math.min(e.bound + more / (e.bound * share), most * e.cores);
        } else if (e.slow > Math.log(PRESSURE_SLOW)) {
            cut(e);
        }
    }

    private void cut(Engine e) {
        if (now - e.cutAt > CUT_EVERY_US) {
            e.bound = Math.max((e == fleet ? FLEET_LEAST : BOUND_LEAST) * e.cores, e.bound * CUT);
            e.cutAt = now;
        }
    }

    /** Expected work of a query over all its threads (us). */
    private double workOf(Held h) {
        Known k = known[h.request.cls()];
        return h.request.estimateUs() > 0 ? h.request.estimateUs() * k.workBias : k.workUs;
    }

    /** Expected latency of a query now (us). */
    private long expectedUs(Held h) {
        Known k = known[h.request.cls()];
        return h.request.estimateUs() > 0 && k.seen > 0
                ? (long) (workOf(h) / h.cls.threads() * Math.exp(k.mean)) : (long) k.latencyUs;
    }

    /** Whether the class yields the most worth for its expected work: it runs and enters first. */
    private boolean yieldsMost(int c) {
        double mine = worthOfWork(c);
        return IntStream.range(0, known.length).allMatch(d -> worthOfWork(d) <= mine) && known.length > 1;
    }

    private double worthOfWork(int c) {
        return s.classes().get(c).worth() / known[c].workUs;
    }

    // ---- Health: errors, refused connections and silence close an engine; single trials reopen it.

    private void failed(Attempt a, Result result) {
        Engine e = a.engine();
        if (result.neverRan()) {
            warmWork.add(now, coresNow(e) == e.cores ? -known[a.held().request.cls()].workUs : 0);
        }
        if (result == Result.FULL) {
            e.busyAt = now;
            e.fullUntil = now + FULL_HOLD_US;
            fleet.busyAt = now;
            cut(fleet);
        } else if (result == Result.ERROR || result == Result.RESET) {
            a.held().errors++;
            if (a.held().errors == 1) { // a request that fails elsewhere too tells nothing of an engine
                fails(e, 1);
            }
            if (failing(e) > FAIL_CLOSE || rarelyUsed()) {
                close(e);
            }
        } else if (result == Result.CONNECT_FAILED) {
            unreachable(e);
        } else if (result == Result.TIMEOUT && overdue(a)) {
            e.room.lost.add(a);
            e.lines[a.held().request.cls()].lost.add(a);
        }
        if (result == Result.TIMEOUT && !answersWell()) {
            learn(a, now - a.sentAt() + 1, false);
        }
        if (result == Result.ERROR) {
            heardFrom(e, a.held().request.cls());
        }
    }

    /**
     * One that was out of reach may have started again, and the list tells it seconds late: it counts as cold
     * when it is back. Twice in a row, or half its zone: one lost connection is no sign of that.
     */
    private void unreachable(Engine e) {
        boolean again = e.silent;
        e.silent = true;
        close(e);
        List<Engine> zone = listed.stream().filter(x -> x.room == e.room).toList();
        boolean zoneLost = zone.size() > 1 && 2 * zone.stream().filter(x -> x.silent).count() >= zone.size();
        for (Engine x : zoneLost ? zone : again ? List.of(e) : List.<Engine>of()) {
            x.lostAt = now;
            x.coldGain = 1;
            x.tokensUs = 0;
            x.tokensAt = now;
        }
    }

    private void fails(Engine e, int failed) {
        e.failing += FAIL_WEIGHT * (failed - e.failing);
        fleet.failing += FLEET_FAIL_WEIGHT * (failed - fleet.failing);
    }

    /** The share of failures above the fleet's: what spoils answers of all engines alike makes none sick. */
    private double failing(Engine e) {
        return e.failing - fleet.failing;
    }

    /** Where silence is judged: the engine, its zone, and its line, which is the class on this engine. */
    private static List<Engine> judges(Engine e, int cls) {
        return List.of(e, e.room, e.lines[cls]);
    }

    private void heardFrom(Engine e, int cls) {
        for (Engine j : judges(e, cls)) {
            j.answeredAt = now;
            j.lost.clear();
        }
    }

    private void noted(Held h, Note n) {
        if (h != null && h.out != null && h.out.number() == n.attempt()) {
            h.notedAt = now;
            if (n.topic() == Topic.SPILL && h.missingMb == 0) {
                h.missingMb = n.x();
                learnMemory(h);
            }
        }
    }

    /** Grants grow with what notes say is missing, and shrink a little with each query that lacks nothing. */
    private void learnMemory(Held h) {
        if (h.grantedMb > 0 && !s.terms().tellsCost()) {
            Known k = known[h.request.cls()];
            double missing = Math.min(1, h.missingMb / h.grantedMb);
            k.memoryBias = State.clamp(k.memoryBias * (1 + GRANT_WEIGHT * (missing - GRANT_SHORT)), 0.5, 3);
        }
    }

    /** Own queries come to an engine less than once a second: one sign of trouble must do. */
    private boolean rarelyUsed() {
        return takenRate < listed.size();
    }

    /** Reports come with answers: at few a second a jam is past when it is seen. */
    private boolean seldomHeard() {
        return takenRate < HEARD_OFTEN * listed.size();
    }

    /** A trial may cost a query: rare at little traffic, so that many gateways don't flood a sick engine. */
    private void close(Engine e) {
        if (now >= e.closedUntil) {
            e.closedUntil = now + Math.max(e.closedFor, (long) (TRIAL_QUERIES * 1e6 / (1 + takenRate)));
            e.closedFor = Math.min(2 * e.closedFor, CLOSED_MOST_US);
        }
    }

    private void reopen(Engine e) {
        e.silent = false;
        if (failing(e) < FAIL_TRIAL) {
            e.closedFor = CLOSED_FIRST_US;
        }
    }

    private boolean onTrial(Engine e) {
        return e.silent || failing(e) >= FAIL_TRIAL;
    }

    private boolean closed(Engine e) {
        return now < e.closedUntil || onTrial(e);
    }

    /** One trial at a time; attempts stuck since before the closing don't hold it up. */
    private boolean healthy(Engine e, Held h) {
        if (now < e.closedUntil) {
            return false;
        }
        boolean mayTry = h.cls.effect() != Effect.UNSAFE || e.isLine; // a line has no other class to try it
        return !onTrial(e) || mayTry
                && e.out.values().stream().noneMatch(a -> a.sentAt() >= e.closedUntil);
    }

    /**
     * Silence while others answer: attempts sent to an engine since its last answer or closing are overdue. A
     * zone is judged as one by those of two engines of it, timed-out ones too: a gateway with little traffic
     * meets a single engine too seldom to learn what cut all of them off. A line is judged by its class
     * alone: an engine may answer all but one class. Guards against that, a lost way to a zone, one without
     * power, or one whose answers alone are lost. Harm: a zone that is only slow, and where fewest queries
     * go, may be tried one query at a time for a few seconds, and the others bear its load.
     */
    private void watchSilence(Engine e) {
        if (now - answeredAt > OVERDUE_LEAST_US) {
            return;
        }
        long since = Math.max(e.answeredAt, e.closedUntil - 1);
        Stream<Attempt> late = Stream.concat(e.lost.stream(), e.out.values().stream().filter(a -> lost(e, a)))
                .filter(a -> a.sentAt() > since);
        long overdue = rooms.containsValue(e) ? late.map(Attempt::engine).distinct().count() : late.count();
        if (overdue >= SILENT_ATTEMPTS || overdue > 0 && e.silent) {
            if (!e.silent) {
                out.accept(new Log("silent " + e.id + " overdue " + overdue));
            }
            e.silent = true;
            close(e);
            callOff(e);
        }
    }

    /** What is stuck on a silent engine goes elsewhere, where a cancel works and a repeat is safe. */
    private void callOff(Engine e) {
        for (Attempt a : e.out.values()) {
            Held h = a.held();
            if (s.limits().cancel() && !h.calledOff && !h.over && lost(e, a) && safeToRepeat(h)) {
                h.calledOff = true;
                out.accept(new Cancel(h.request.id(), a.number()));
            }
        }
    }

    private boolean safeToRepeat(Held h) {
        return h.cls.effect() == Effect.SAFE && mayTryAgain(h) && budgetAllows();
    }

    /** A line has few attempts: one that tells its progress is only heavy. */
    private boolean lost(Engine judged, Attempt a) {
        boolean tells = a.held().notedAt != NEVER;
        return judged.isLine && tells ? mute(a) : overdue(a);
    }

    private boolean overdue(Attempt a) {
        return now - a.sentAt() > Math.max(OVERDUE_LEAST_US, OVERDUE * a.expectUs()) || mute(a);
    }

    /** An attempt at work tells how far it is, however heavy: one that does not is lost. */
    private boolean mute(Attempt a) {
        long most = s.terms().progressUs() * MUTE_NOTES;
        return most > 0 && now - Math.max(a.held().notedAt, a.sentAt()) > most;
    }

    // ---- Which engines a request may be sent to.

    private List<Engine> fitting(Held h) {
        List<Engine> allowed = new ArrayList<>();
        List<Engine> well = new ArrayList<>();
        double cores = 0;
        double wellCores = 0;
        for (Engine e : listed) {
            if (h.cls.mayRunOn(e.entry) && groupAllows(h, e)) {
                cores += e.cores;
                wellCores += judges(e, h.request.cls()).stream().anyMatch(this::closed) ? 0 : e.cores;
                if (coldAllows(h, e)) {
                    allowed.add(e);
                    if (judges(e, h.request.cls()).stream().allMatch(j -> healthy(j, h))) {
                        well.add(e);
                    }
                }
            }
        }
        if (wellCores < OPEN_LEAST * cores) {
            well = new ArrayList<>(allowed);
            well.removeIf(e -> e.silent && now < e.closedUntil || judges(e, h.request.cls()).stream().skip(1)
                    .anyMatch(j -> j.silent && !healthy(j, h)));
        }
        if (well.size() > 1 && h.attempts > 0) {
            well.remove(h.last);
        }
        return well;
    }

    /** A keyed request that may have run stays in the group that drops its repeats, within its window. */
    private boolean groupAllows(Held h, Engine e) {
        if (!h.mayHaveRun || h.cls.effect() == Effect.SAFE) {
            return true;
        }
        return h.cls.effect() == Effect.KEYED && now < h.ranAt + h.cls.windowUs()
                && h.cls.scope().joins(e.entry, h.ranOn.entry);
    }

    // ---- Rule 7: further attempts within the budget. Rule 5: order by key.

    private boolean budgetAllows() {
        if (s.rules().budgetSpanUs() == 0) {
            return true;
        }
        long from = now - s.rules().budgetSpanUs();
        State.dropBefore(takenAt, from + 1);
        State.dropBefore(furtherAt, from);
        return furtherAt.size() + 1 <= s.rules().budgetFree() + s.rules().budgetShare() * takenAt.size();
    }

    private KeyLine lineOf(Held h) {
        return h.cls.ordered() && h.request.key() != null ? keys.get(h.request.key()) : null;
    }

    private boolean inTurn(Held h) {
        KeyLine line = lineOf(h);
        return line == null || line.line.peek() == h && (h.attempts > 0 || now >= line.restUntil);
    }

    private void restKey(Held h, Result result) {
        KeyLine line = lineOf(h);
        boolean mayRunOn = result == Result.TIMEOUT || result == Result.RESET || result == Result.CANCELLED;
        if (line != null && mayRunOn) {
            line.restUntil = now + s.rules().keyRestUs();
        }
    }

    // ---- Rule 4: cold engines get work at the rate that warm ones bear, times what they can do by now. What
    // would fell one if all gateways sent it at once goes in turn: the engine's start is known to all alike.

    private double coresNow(Engine e) {
        return e.cores * e.warmth(s.rules(), now);
    }

    /** Work sent to warm engines per core, at first the share of one core; capped: a jam draws far more. */
    private double warmRate() {
        double cores = listed.stream().filter(e -> coresNow(e) == e.cores).mapToDouble(e -> e.cores).sum();
        boolean seen = cores > 0 && now - warmWork.since >= RATE_KNOWN_US;
        double rate = seen ? warmWork.rate(now) / cores : Math.max(share, borneRate);
        return Math.min(rate, share * s.rules().fallMultiple() / 2);
    }

    private boolean coldAllows(Held h, Engine e) {
        boolean warm = e.warmth(s.rules(), now) == 1;
        if (warm || fells(h, e)) {
            return warm;
        }
        double most = share * s.rules().fallMultiple() / 2;
        double gain = Math.min(warmRate() * COLD_PART * e.coldGain, most) * coresNow(e);
        e.tokensUs = Math.min(e.tokensUs + gain * (now - e.tokensAt), gain * s.rules().fallUs());
        e.tokensAt = now;
        return e.tokensUs >= 0;
    }

    /**
     * Whether a cold engine might fall over if all sent it such a query at once, by its weight or its
     * class's. The turn passes with each span in which it may fall: as many have it as may send one each.
     */
    private boolean fells(Held h, Engine e) {
        long turns = (now - e.entry.startedUs()) / Math.max(1, s.rules().fallUs()) + e.id.hashCode();
        int atOnce = Math.min(Math.floorMod(s.me() - turns, s.gateways()) + 2, s.gateways());
        double most = COLD_BURST * s.rules().fallMultiple() * s.rules().fallUs() * coresNow(e);
        double weight = Math.max(workOf(h), known[h.request.cls()].workUs);
        return e.warmth(s.rules(), now) < 1 && atOnce * weight > most;
    }

    private void spendCold(Held h, Engine e) {
        double usual = known[h.request.cls()].workUs;
        if (e.warmth(s.rules(), now) == 1) {
            warmWork.add(now, usual);
        } else {
            e.tokensUs -= usual;
        }
    }

    // ---- Work that goes on after its attempt ended still counts; so does an instant failure, for a while.

    private boolean lingers(Attempt a, Result result) {
        boolean goesOn = !s.limits().cancel() && (result == Result.TIMEOUT || result == Result.CANCELLED);
        if (!goesOn && result != Result.ERROR) {
            return false;
        }
        int c = a.held().request.cls();
        long until = now + (long) (LINGER * known[c].latencyUs);
        lingering.add(new Linger(a.engine(), c, a.held().cls.threads(), until));
        return true;
    }

    private void list(EngineList l) {
        if (l.kind() == ListKind.FAILED) {
            return;
        }
        if (l.kind() != ListKind.CHANGES) {
            engines.values().forEach(e -> e.up = false);
        }
        for (EngineEntry entry : l.entries()) {
            Engine e = engines.computeIfAbsent(entry.id(), id -> new Engine(id, known.length));
            e.room = rooms.computeIfAbsent(entry.zone(), z -> new Engine("zone " + z, 0));
            boolean restarted = e.entry == null || e.entry.startedUs() != entry.startedUs();
            e.entry = entry;
            e.up = entry.status() == Status.UP;
            if (restarted) {
                startOver(e);
            }
        }
        engines.values().removeIf(this::isForgotten); // ids are new all day
        listed.clear();
        engines.values().stream().filter(e -> e.up).forEach(listed::add);
        double before = fleet.cores;
        fleet.cores = listed.stream().mapToDouble(e -> e.cores).sum();
        fleet.bound = before > 0 ? fleet.bound * fleet.cores / before : BUSY_THREADS * fleet.cores;
        if (s.subscribe() && l.kind() == ListKind.CACHED) {
            out.accept(new Subscribe());
        }
        startSweeping();
    }

    /** Gone with nothing out: a late report of it finds nobody. */
    private boolean isForgotten(Engine e) {
        return !e.up && e.entry.status() != Status.DRAINING && e.out.isEmpty();
    }

    int enginesKnown() {
        return engines.size();
    }

    private void startOver(Engine e) {
        double cores = e.entry.kind() >= 0 && e.entry.kind() < s.kinds().size()
                ? s.kinds().get(e.entry.kind()).cores() : 0;
        e.near = State.order(s.me(), e.id);
        e.cores = cores > 0 ? cores : Math.max(1, e.entry.rating());
        e.bound = BOUND_START * e.cores;
        e.slow = 0;
        e.failing = 0;
        for (Engine j : Stream.concat(Stream.of(e), Arrays.stream(e.lines)).toList()) {
            j.closedUntil = now;
            reopen(j);
        }
        e.report = null;
        e.lostAt = NEVER; // the list knows better
        e.coldGain = 1;
        e.tokensUs = 0;
        e.tokensAt = now;
    }

    // ---- Reports and probes.

    private boolean fresh(Engine e) {
        return e.report != null && now - e.reportAt < REPORT_FRESH_US;
    }

    /** Keeps a load report; one with missing or non-finite values counts as none. */
    private void hear(Engine e, double[] load, long at) {
        if (load == null || load.length != s.reportFields().size() || at < e.reportAt
                || Arrays.stream(load).anyMatch(x -> !Double.isFinite(x) || x < 0)) {
            return;
        }
        e.report = load;
        e.reportAt = at;
        e.scarcest = 0;
        e.waiting = 0;
        boolean adapts = e.warmth(s.rules(), now) < 1 && now - e.cutAt > CUT_EVERY_US;
        for (int i = 0; i < load.length; i++) {
            Field f = s.reportFields().get(i);
            if (f == Field.MEMORY || inflightField < 0 && SHARES.contains(f)) { // others level off at 1
                e.scarcest = Math.max(e.scarcest, load[i]);
            }
            e.waiting += f == Field.QUEUE ? load[i] : 0;
            if (SHARES.contains(f) && load[i] >= BUSY_SHARE || f == Field.QUEUE && load[i] >= 1) {
                e.busyAt = Math.max(e.busyAt, at);
            }
        }
        if (adapts) { // its reports tell of all gateways' work: all go the same way
            e.cutAt = now;
            double more = e.scarcest < COLD_EASE ? COLD_GAIN : 0;
            e.coldGain = e.scarcest > BUSY_SHARE ? 1 : Math.min(COLD_GAIN_MOST, e.coldGain + more);
        }
    }

    private void probed(ProbeResult p) {
        Engine e = engines.get(p.engine());
        if (e == null) {
            return;
        }
        e.probing = false;
        hear(e, p.load(), now);
        if (p.result() == Result.CONNECT_FAILED) {
            unreachable(e);
        }
    }

    /** Probes the engines heard from longest ago, as far as the charge for probes allows at this traffic. */
    private void probe() {
        if (!s.limits().probes()) {
            return;
        }
        boolean viewMatters = !s.reportsInAnswers() && viewedAverage > NEAR_BUSY;
        probesSaved = saved(probesSaved, s.charges().probe(), viewMatters ? VIEW_MOST : CHARGE_MOST);
        Engine stalest = null;
        long longest = now;
        for (Engine e : listed) {
            long heardAt = Math.max(e.reportAt, e.probedAt);
            boolean blind = (!s.reportsInAnswers() || pressed(e)) && now - heardAt > PROBE_EVERY_US;
            if (blind && !e.probing && heardAt < longest) {
                longest = heardAt;
                stalest = e;
            }
        }
        if (stalest != null && probesSaved >= 1) {
            probesSaved--;
            stalest.probing = true;
            stalest.probedAt = now;
            out.accept(new Probe(stalest.id));
        }
    }

    /** Probes saved up: so many a query that the charge stays small, one at most. */
    private double saved(double before, double charge, double most) {
        double each = charge > 0 ? Math.min(1, most / charge) : 1;
        return Math.min(SAVED, before + each * takenRate * SWEEP_US / 1e6);
    }

    /** Gives up held requests that can't be answered when due, or would lapse before the next sweep. */
    private void shedHopeless() {
        for (Held h : List.copyOf(held)) {
            if (now + Math.max((long) (GIVE_UP_AHEAD * expectedUs(h)), SWEEP_US) > h.due) {
                giveUp(h);
            }
        }
    }

    /** Attempts out are latency too: a choking engine answers little. Of few, one late tells nothing. */
    private void watchLateness(Engine e) {
        long late = e.out.values().stream().filter(a -> now - a.sentAt() > PRESSURE_SLOW
                * expectedUs(a.held()) * known[a.held().request.cls()].bestPart()).count();
        if (late > LATE_SHARE * e.out.size() && !rarelyUsed()) {
            e.busyAt = now;
            cut(e);
        }
    }

    // ---- The view beyond this gateway: all running threads, and this gateway's share.

    /** All threads known on an engine: own, or the report's queries as wide as own ones. */
    private double threadsKnown(Engine e) {
        double all = e.ownAll;
        if (inflightField >= 0 && fresh(e)) {
            all = Math.max(all, e.report[inflightField] * width);
        }
        return all;
    }

    /**
     * This gateway's part of the traffic: by reported queries, else one of n. One that
     * holds must not shrink by it: its share then follows its first tries. (If held queries counted, all
     * shares grew where all gateways held, and the bounds opened just when they should bind.) Harm: where
     * traffic as a whole grows meanwhile, a gateway that holds takes its own growth for its share's.
     */
    private void learnShare() {
        double own = 0;
        double all = 0;
        double threads = 0;
        for (Engine e : listed) {
            if (inflightField >= 0 && fresh(e)) {
                own += e.queries;
                all += Math.max(e.report[inflightField], e.queries);
                threads += e.ownAll;
            }
        }
        double seen = 1.0 / s.gateways();
        if (all > 0) {
            seen = own / all;
            if (held.isEmpty()) {
                calmShare = firstsRate > 0 ? share / firstsRate : 0;
            } else {
                seen = Math.max(seen, calmShare * firstsRate); // demand: a gateway that holds must not shrink
            }
        }
        share += SHARE_WEIGHT * (State.clamp(seen, SHARE_LEAST / s.gateways(), 1) - share);
        width += own > 0 ? SHARE_WEIGHT * (threads / own - width) : 0;
    }

    /**
     * Own threads past this gateway's share of a busy fleet: where reports lack running queries, the earliest
     * sign that more runs than can. Guards against jams that nobody sees begin. Harm: a few heavy queries are
     * enough at a gateway with little traffic, so reports of engines at ease on average overrule it.
     */
    private boolean ownLoadIsHigh() {
        return inflightField < 0 && (viewedAverage == 0 || viewedAverage > NEAR_BUSY)
                && fleet.ownAll > BUSY_THREADS * share * fleet.cores;
    }

    private void startSweeping() {
        if (!sweeping) {
            sweeping = true;
            sweptAt = now;
            out.accept(new SetTimer("sweep", now + SWEEP_US));
        }
    }

    /** After standing still a gateway judges nobody as silent or late until it has read what waited. */
    private void sweep() {
        long elapsed = Math.max(1, now - sweptAt);
        sweptAt = now;
        takenRate += SHARE_WEIGHT * (takenSince * 1e6 / elapsed - takenRate);
        firstsRate += SHARE_WEIGHT * (firstsSince * 1e6 / elapsed - firstsRate);
        takenSince = 0;
        firstsSince = 0;
        learnShare();
        lingering.stream().filter(l -> l.until() <= now).forEach(l -> run(l.engine(), l.cls(), -l.threads()));
        lingering.removeIf(l -> l.until() <= now);
        if (now - stalledAt >= SWEEP_US) {
            rooms.values().forEach(this::watchSilence);
            listed.stream().filter(e -> !e.out.isEmpty()).forEach(e -> {
                watchSilence(e);
                Arrays.stream(e.lines).filter(j -> !j.out.isEmpty()).forEach(this::watchSilence);
                watchLateness(e);
            });
        }
        viewedAverage = State.average(listed, this::viewedThreads);
        boolean someWarm = listed.stream().anyMatch(e -> coresNow(e) == e.cores);
        borneRate += someWarm ? SHARE_WEIGHT * (warmRate() - borneRate) : 0;
        if (viewedAverage > BUSY_THREADS || ownLoadIsHigh()) {
            fleet.busyAt = now;
        }
        probe();
        keys.values().removeIf(k -> k.line.isEmpty() && k.restUntil <= now);
        out.accept(new SetTimer("sweep", now + SWEEP_US));
    }
}
