package sandpaddle.decision;

import java.util.SplittableRandom;
import sandpaddle.decision.admission.AdmissionQueue;
import sandpaddle.decision.admission.AttemptSender;
import sandpaddle.decision.admission.EngineSelector;
import sandpaddle.decision.admission.RequestIntake;
import sandpaddle.decision.balancing.LeastLoadBalancer;
import sandpaddle.decision.candidates.CandidateFilter;
import sandpaddle.decision.completion.AttemptCompletion;
import sandpaddle.decision.completion.AttemptOutcomes;
import sandpaddle.decision.completion.RequestCompletion;
import sandpaddle.decision.concurrency.ConcurrencyLimits;
import sandpaddle.decision.concurrency.IdleCapacity;
import sandpaddle.decision.concurrency.OverloadDetector;
import sandpaddle.decision.enginelist.EngineListTracker;
import sandpaddle.decision.healthcheck.HealthCheckScheduler;
import sandpaddle.decision.loadview.ArrivalRate;
import sandpaddle.decision.loadview.Estimators;
import sandpaddle.decision.loadview.InFlightLoad;
import sandpaddle.decision.loadview.LoadSignals;
import sandpaddle.decision.loadview.LoadView;
import sandpaddle.decision.loadview.TrafficShare;
import sandpaddle.decision.model.EngineRegistry;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.model.PendingRequests;
import sandpaddle.decision.outlier.EjectionPolicy;
import sandpaddle.decision.outlier.OutlierDetection;
import sandpaddle.decision.outlier.SilenceDetector;
import sandpaddle.decision.quota.QuotaCheck;
import sandpaddle.decision.retry.KeyOrdering;
import sandpaddle.decision.retry.RetryBudget;
import sandpaddle.decision.retry.RetryPolicy;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.slowstart.SlowStart;
import sandpaddle.decision.verdict.FleetVerdicts;

/** Composition root of a {@link DefaultDecisionModule}: creates its parts and passes each one only its dependencies. */
final class DecisionParts {
    final EventContext context;
    final PendingRequests requests;
    final EngineRegistry engines;
    final ArrivalRate arrivals;
    final TrafficShare traffic;
    final InFlightLoad inFlightLoad;
    final IdleCapacity idleCapacity;
    final FleetVerdicts verdicts;
    final SlowStart slowStart;
    final OverloadDetector overload;
    final KeyOrdering keyOrdering;
    final SilenceDetector silence;
    final HealthCheckScheduler healthChecks;
    final QuotaCheck quotaCheck;
    final RequestCompletion completion;
    final AttemptCompletion attemptCompletion;
    final RequestIntake intake;
    final AdmissionQueue admissionQueue;
    final EngineListTracker engineLists;

    /** Creates the parts of a gateway that knows no engines yet; {@code seed} seeds the random generator. */
    DecisionParts(DecisionSettings settings, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        boolean canCancel = settings.limits().cancel();
        int classes = settings.classes().size();

        context = new EventContext();
        requests = new PendingRequests();
        engines = new EngineRegistry(settings);
        arrivals = new ArrivalRate(context, engines);
        traffic = new TrafficShare(settings, context, engines);
        inFlightLoad = new InFlightLoad(context, classes);
        Estimators estimators = new Estimators(settings, context);
        LoadView loadView = new LoadView(settings, context, engines, traffic);
        LoadSignals load = new LoadSignals(arrivals, traffic, inFlightLoad, estimators, loadView);
        verdicts = new FleetVerdicts(context);
        slowStart = new SlowStart(settings, context, engines, load, verdicts);

        ConcurrencyLimits limits = new ConcurrencyLimits(context, engines, load);
        idleCapacity = new IdleCapacity(context, engines, load);
        overload = new OverloadDetector(settings, context, engines, load, slowStart, limits, idleCapacity);

        RetryBudget retryBudget = new RetryBudget(settings, context);
        RetryPolicy retryPolicy = new RetryPolicy(settings, context, retryBudget);
        keyOrdering = new KeyOrdering(settings, context);
        EjectionPolicy ejection = new EjectionPolicy(context, arrivals, verdicts);
        OutlierDetection outliers = new OutlierDetection(context, engines, arrivals, ejection, slowStart);
        silence = new SilenceDetector(settings, context, engines, outliers, ejection, retryPolicy);
        healthChecks = new HealthCheckScheduler(settings, context, engines, load, slowStart, overload, outliers);
        quotaCheck = new QuotaCheck(engines, requests);
        engineLists = new EngineListTracker(context, engines, limits, outliers, settings.subscribe());

        completion =
                new RequestCompletion(settings, context, requests, estimators, keyOrdering, retryPolicy, quotaCheck);
        AttemptOutcomes outcomes =
                new AttemptOutcomes(context, load, slowStart, limits, overload, outliers, silence, canCancel);
        attemptCompletion = new AttemptCompletion(
                requests, inFlightLoad, outcomes, keyOrdering, retryPolicy, quotaCheck, completion);

        CandidateFilter candidateFilter =
                new CandidateFilter(context, engines, verdicts, slowStart, retryPolicy, ejection, quotaCheck);
        LeastLoadBalancer balancer = new LeastLoadBalancer(settings, random, loadView, slowStart, verdicts);
        EngineSelector selector = new EngineSelector(engines, slowStart, candidateFilter, overload, balancer);
        AttemptSender sender = new AttemptSender(
                context, settings.features(), load, slowStart, limits, overload, retryPolicy, quotaCheck);
        intake = new RequestIntake(
                settings, context, random, requests, load, keyOrdering, retryBudget, selector, completion);
        admissionQueue = new AdmissionQueue(
                classes, requests, keyOrdering, retryBudget, quotaCheck, selector, sender, completion);
    }
}
