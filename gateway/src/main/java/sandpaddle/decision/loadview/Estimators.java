package sandpaddle.decision.loadview;

import java.util.Arrays;
import java.util.List;
import sandpaddle.decision.event.AttemptEnded;
import sandpaddle.decision.event.RequestReceived;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.model.PendingRequest;
import sandpaddle.decision.model.RendezvousHash;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.RequestClass;

/**
 * Estimates latency, work and memory of queries from the answers to earlier queries of their class. These estimates
 * replace the query optimizer's, which LBQP allocates by (see {@link sandpaddle.decision.balancing.LeastLoadBalancer}).
 * Where a client states an estimate, it is used, corrected by the mean error of such estimates in the class.
 */
public final class Estimators {
    /** Initial latency estimate as a fraction of the latency objective, used until the first answer. */
    private static final double INITIAL_OBJECTIVE_FRACTION = 0.3;

    private final DecisionSettings settings;
    private final EventContext context;
    private final ClassEstimates[] byClass;

    /** Creates the initial estimates of all classes. */
    public Estimators(DecisionSettings settings, EventContext context) {
        this.settings = settings;
        this.context = context;
        List<RequestClass> classes = settings.classes();
        byClass = new ClassEstimates[classes.size()];
        for (int i = 0; i < byClass.length; i++) {
            RequestClass requestClass = classes.get(i);
            double latencyUs = INITIAL_OBJECTIVE_FRACTION * requestClass.latencyObjectiveUs();
            byClass[i] = new ClassEstimates(latencyUs, latencyUs * requestClass.threads());
        }
    }

    /** Returns the expected work of a request over all its threads (us). */
    public double expectedWorkUs(RequestReceived request) {
        ClassEstimates estimates = byClass[request.classIndex()];
        return request.estimateUs() > 0 ? request.estimateUs() * estimates.workBias() : estimates.workUs();
    }

    /** Returns the expected work of a request over all its threads (us). */
    public double expectedWorkUs(PendingRequest request) {
        return expectedWorkUs(request.request());
    }

    /** Returns the expected latency of a request under the current load (us). */
    public long expectedLatencyUs(PendingRequest request) {
        ClassEstimates estimates = of(request);
        if (request.request().estimateUs() > 0 && estimates.hasAnswers()) {
            return (long) (expectedWorkUs(request) / request.threads() * Math.exp(estimates.meanLogLatency()));
        }
        return (long) estimates.latencyUs();
    }

    /** Returns the mean latency of the request's class (us). */
    public double classLatencyUs(PendingRequest request) {
        return of(request).latencyUs();
    }

    /** Returns the mean work of a query of the request's class over all its threads (us). */
    public double classWorkUs(PendingRequest request) {
        return of(request).workUs();
    }

    /** Returns the ratio of the best latency of the request's class to its geometric mean latency. */
    public double bestLatencyRatio(PendingRequest request) {
        return of(request).bestLatencyRatio();
    }

    /** Whether enough answers have arrived for the best latency of the request's class to be meaningful. */
    public boolean hasBaseline(PendingRequest request) {
        return of(request).hasBaseline();
    }

    /** Returns the memory that a request is expected to need, in MB; 0 where its client gave no estimate. */
    public double expectedMemoryMb(PendingRequest request) {
        return request.request().memoryMb() * of(request).memoryBias();
    }

    /** Whether a class has the highest priority weight per expected work; false where there is only one class. */
    public boolean hasHighestWeightPerWork(int classIndex) {
        if (byClass.length <= 1) {
            return false;
        }
        double weight = weightPerWork(classIndex);
        for (int other = 0; other < byClass.length; other++) {
            if (!(weightPerWork(other) <= weight)) {
                return false;
            }
        }
        return true;
    }

    private double weightPerWork(int classIndex) {
        return settings.classes().get(classIndex).priorityWeight() / byClass[classIndex].workUs();
    }

    /**
     * Adds the latency of an attempt (us) to the estimates of its class.
     *
     * @return natural logarithm of the slowdown relative to the best latency of the class
     */
    public double recordLatency(PendingRequest request, double latencyUs) {
        double referenceUs = request.request().estimateUs() > 0 ? expectedWorkUs(request) / request.threads() : 1;
        return of(request).recordLatency(latencyUs, referenceUs);
    }

    /** Adds the work and memory of an answered query; where work is not reported, it is derived from the latency. */
    public void recordCost(PendingRequest request, AttemptEnded event, double latencyUs) {
        ClassEstimates estimates = of(request);
        RequestReceived received = request.request();
        boolean reported = settings.features().reportsCost() && event.usedWorkMs() > 0;
        double workUs =
                reported ? event.usedWorkMs() * 1000 : latencyUs * request.threads() * estimates.bestLatencyRatio();
        estimates.recordWork(workUs);
        if (event.usedWorkMs() > 0 && received.estimateUs() > 0) {
            estimates.recordWorkRatio(workUs / received.estimateUs());
        }
        if (event.usedMemoryMb() > 0 && received.memoryMb() > 0) {
            estimates.recordMemoryRatio(event.usedMemoryMb() / received.memoryMb());
        }
    }

    /** Adjusts the memory grants of the class by what the attempt lacks; only where answers do not report memory. */
    public void recordMemoryShortfall(PendingRequest request) {
        if (request.grantedMb() > 0 && !settings.features().reportsCost()) {
            of(request).recordShortfall(Math.min(1, request.missingMb() / request.grantedMb()));
        }
    }

    /**
     * Returns the initial debt (us of work) of a token bucket that all gateways start at the same time, such as that of
     * an engine's slow start. Each gateway gets a different pseudo-random debt, so that they do not all send at once:
     * up to the work of one query, of a class chosen with a probability proportional to its share of the work.
     *
     * @param engineId id of the engine, or another key that identifies the token bucket
     */
    public double initialDebtUs(String engineId) {
        long key = context.nowUs();
        int gateway = settings.gatewayIndex();
        // DoubleStream.sum compensates rounding errors; a loop can differ in the last digits, and so change a decision
        double totalWorkUs =
                Arrays.stream(byClass).mapToDouble(ClassEstimates::totalWorkUs).sum();
        double position = RendezvousHash.hash(key + gateway, engineId) * totalWorkUs;
        for (ClassEstimates estimates : byClass) {
            position -= estimates.totalWorkUs();
            if (position < 0) {
                return RendezvousHash.hash(key - gateway, engineId) * estimates.workUs();
            }
        }
        return 0;
    }

    private ClassEstimates of(PendingRequest request) {
        return byClass[request.classIndex()];
    }
}
