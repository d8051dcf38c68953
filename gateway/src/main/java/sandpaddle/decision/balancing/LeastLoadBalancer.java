package sandpaddle.decision.balancing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import sandpaddle.decision.event.EngineCondition;
import sandpaddle.decision.loadview.LoadView;
import sandpaddle.decision.model.EngineState;
import sandpaddle.decision.model.PendingRequest;
import sandpaddle.decision.model.RendezvousHash;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.slowstart.SlowStart;
import sandpaddle.decision.verdict.FleetVerdicts;

/**
 * Chooses the engine for a request by the dynamic allocation step of LBQP (load-balanced query processing), with the
 * load counted per class as in BNQRD (balance the number of queries by resource demands). Both are of M. J. Carey and
 * H. Lu, "Load Balancing in a Locally Distributed Database System", SIGMOD 1986. Engines whose load of the
 * request's class exceeds the average expected after the allocation are eliminated, and the least loaded of the others
 * is chosen. Ties are broken in a way that keeps gateways from all choosing the same engine.
 */
public final class LeastLoadBalancer {
    /** Weight of data affinity, in threads per core: the additional load at which a warm cache still pays off. */
    private static final double AFFINITY_WEIGHT_THREADS_PER_CORE = 0.6;
    /** Fraction of the request's threads by which loads may differ and still count as tied. */
    private static final double TIE_FRACTION = 0.5;
    /** Number of tied engines considered where handshakes have a cost. */
    private static final int MAX_CONNECTED_ENGINES = 6;
    /** Random choices among tied engines where other gateways exist, since their sends become visible with a delay. */
    private static final int RANDOM_CHOICES = 2;
    /** Position of engines that are warming up, before all others: each gateway must open a connection to them. */
    private static final double FIRST_POSITION = -1;

    private final SplittableRandom random;
    private final LoadView loadView;
    private final SlowStart slowStart;
    private final FleetVerdicts verdicts;
    private final boolean soleGateway;
    private final boolean handshakesCharged;

    /** Creates a balancer that breaks ties with a random generator. */
    public LeastLoadBalancer(
            DecisionSettings settings,
            SplittableRandom random,
            LoadView loadView,
            SlowStart slowStart,
            FleetVerdicts verdicts) {
        this.random = random;
        this.loadView = loadView;
        this.slowStart = slowStart;
        this.verdicts = verdicts;
        soleGateway = settings.gateways() == 1;
        handshakesCharged = settings.costs().handshake() != 0;
    }

    /** Chooses one of the candidates, a list that is not empty. */
    public EngineState choose(PendingRequest request, List<EngineState> candidates) {
        double averageReported = loadView.averageReportedQueries();
        double minLoad = Double.POSITIVE_INFINITY;
        double loadAfter = request.threads();
        double cores = 0;
        for (EngineState engine : candidates) {
            double load = classLoad(engine, request.classIndex(), averageReported);
            minLoad = Math.min(minLoad, load);
            loadAfter += load * slowStart.effectiveCores(engine);
            cores += slowStart.effectiveCores(engine);
        }
        double maxLoad = Math.max(minLoad, loadAfter / cores);
        List<EngineState> tied = new ArrayList<>();
        for (EngineState engine : candidates) {
            double tieLoad = minLoad + TIE_FRACTION * request.threads() / slowStart.effectiveCores(engine);
            if (classLoad(engine, request.classIndex(), averageReported) <= Math.min(maxLoad, tieLoad)) {
                tied.add(engine);
            }
        }
        return settleTie(request, limitConnections(preferFast(tied)));
    }

    /**
     * Returns the load of a class per core: own threads, plus the reported queries of all gateways times the traffic
     * share. Engines without a report count with the average of the others.
     */
    private double classLoad(EngineState engine, int classIndex, double averageReported) {
        double own = engine.threads().ofClass(classIndex);
        double reported = loadView.reportedQueries(engine);
        double cores = slowStart.effectiveCores(engine);
        return Double.isNaN(reported) ? own / cores + averageReported : (own + reported) / cores;
    }

    /** Removes engines that a fleet verdict states as slow, unless all are. */
    private List<EngineState> preferFast(List<EngineState> tied) {
        List<EngineState> fast = new ArrayList<>(tied.size());
        for (EngineState engine : tied) {
            if (!verdicts.has(engine, EngineCondition.SLOW)) {
                fast.add(engine);
            }
        }
        return fast.isEmpty() ? tied : fast;
    }

    /**
     * Where handshakes have a cost, returns the first engines in this gateway's preference order, so that a few engines
     * are used often over open connections. The preference orders spread the gateways evenly over the engines.
     */
    private List<EngineState> limitConnections(List<EngineState> tied) {
        if (!handshakesCharged) {
            return tied;
        }
        return tied.stream()
                .sorted(Comparator.comparingDouble(this::position))
                .limit(MAX_CONNECTED_ENGINES)
                .toList();
    }

    private double position(EngineState engine) {
        return slowStart.isWarm(engine) ? engine.gatewayPosition() : FIRST_POSITION;
    }

    /** Returns the best of all tied engines, or of two random choices where other gateways have the same load view. */
    private EngineState settleTie(PendingRequest request, List<EngineState> tied) {
        int choices = soleGateway ? tied.size() : RANDOM_CHOICES;
        EngineState best = null;
        double bestScore = 0;
        for (int i = 0; i < choices; i++) {
            EngineState engine = tied.get(soleGateway ? i : random.nextInt(tied.size()));
            double score = tieScore(request, engine);
            if (best == null || score > bestScore) {
                best = engine;
                bestScore = score;
            }
        }
        return best;
    }

    /** Scores a tied engine: fewer threads of all gateways and affinity to the data group score higher. */
    private double tieScore(PendingRequest request, EngineState engine) {
        long dataGroup = request.request().dataGroup();
        double affinity = dataGroup < 0 ? random.nextDouble() : RendezvousHash.hash(dataGroup, engine.id());
        double threads = loadView.estimatedThreads(engine);
        double threadsPerCore =
                Double.isNaN(threads) ? loadView.averageThreadsPerCore() : threads / slowStart.effectiveCores(engine);
        return AFFINITY_WEIGHT_THREADS_PER_CORE * affinity - threadsPerCore;
    }
}
