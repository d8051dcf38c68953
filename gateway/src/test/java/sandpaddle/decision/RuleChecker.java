package sandpaddle.decision;

import static org.junit.jupiter.api.Assertions.fail;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sandpaddle.decision.action.Action;
import sandpaddle.decision.action.FailRequest;
import sandpaddle.decision.action.RejectRequest;
import sandpaddle.decision.action.SendAttempt;
import sandpaddle.decision.event.AttemptEnded;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.ClientDisconnected;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.decision.event.Event;
import sandpaddle.decision.event.RequestReceived;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.DeduplicationScope;
import sandpaddle.decision.settings.Idempotency;
import sandpaddle.decision.settings.RequestClass;

/**
 * Checks the events and actions of one gateway against the platform's rules, and fails the test on a violation:
 *
 * <ol>
 *   <li>Each request gets exactly one final answer in time, and no attempt afterwards.
 *   <li>A request that may have run is repeated, or rejected, only where a repeat has no second effect.
 *   <li>An engine that is not up is sent no attempts after the drain grace period.
 *   <li>An engine that is warming up is not overloaded.
 *   <li>Requests with the same ordering key run one at a time in order of arrival.
 *   <li>Attempts respect the placement of the request class.
 *   <li>Retries stay within the retry budget.
 * </ol>
 */
final class RuleChecker {
    private static final class TrackedRequest {
        RequestReceived request;
        long receivedAtUs;
        long sequence;
        int attempts;
        boolean inFlight;
        boolean finished;
        boolean settled;
        EngineEntry firstRanOn;
        long firstRanAtUs;
        long sentAtUs;
        String sentTo;
    }

    private final DecisionSettings settings;
    private final Map<String, TrackedRequest> requests = new LinkedHashMap<>();
    private final Map<String, EngineEntry> entries = new HashMap<>();
    private final Map<String, Long> notUpSinceUs = new HashMap<>();
    private final Map<String, Long> keyPausedUntilUs = new HashMap<>();
    private final List<Long> requestTimesUs = new ArrayList<>();
    private final List<Long> retryTimesUs = new ArrayList<>();
    private final Map<String, List<double[]>> sendsWhileWarmingUp = new HashMap<>();
    private final double[] meanWorkUs;
    private final double capacityPerCore;

    /**
     * Creates a checker that has seen no events.
     *
     * @param meanWorkUs mean work of a request by class (us)
     * @param capacityPerCore us of work per us; infinite where a test has no engine that is warming up
     */
    RuleChecker(DecisionSettings settings, double[] meanWorkUs, double capacityPerCore) {
        this.settings = settings;
        this.meanWorkUs = meanWorkUs;
        this.capacityPerCore = capacityPerCore;
    }

    void event(long nowUs, Event event) {
        if (event instanceof RequestReceived r && !requests.containsKey(r.id())) {
            TrackedRequest tracked = new TrackedRequest();
            tracked.request = r;
            tracked.receivedAtUs = nowUs;
            tracked.sequence = requests.size();
            requests.put(r.id(), tracked);
            requestTimesUs.add(nowUs);
        } else if (event instanceof AttemptEnded o) {
            endAttempt(nowUs, o);
        } else if (event instanceof ClientDisconnected l && requests.containsKey(l.id())) {
            requests.get(l.id()).finished = true;
        } else if (event instanceof EngineListReceived l && l.kind() != EngineListKind.FAILED) {
            applyList(nowUs, l);
        }
    }

    private void endAttempt(long nowUs, AttemptEnded o) {
        TrackedRequest tracked = requests.get(o.id());
        if (tracked == null || !tracked.inFlight || tracked.attempts - 1 != o.attempt()) {
            return;
        }
        tracked.inFlight = false;
        if (!o.result().neverRan() && tracked.firstRanOn == null) {
            tracked.firstRanOn = entries.get(tracked.sentTo);
            tracked.firstRanAtUs = tracked.sentAtUs;
        }
        if (o.settled()) {
            tracked.finished = true;
        }
        if (isOrdered(tracked)
                && Set.of(AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)
                        .contains(o.result())) {
            keyPausedUntilUs.put(tracked.request.key(), nowUs + settings.rules().orderingPauseUs());
        }
    }

    private void applyList(long nowUs, EngineListReceived l) {
        Set<String> listed = new HashSet<>();
        for (EngineEntry e : l.entries()) {
            listed.add(e.id());
            entries.put(e.id(), e);
            if (e.status() == EngineStatus.UP) {
                notUpSinceUs.remove(e.id());
            } else {
                notUpSinceUs.putIfAbsent(e.id(), nowUs);
            }
        }
        if (l.kind() != EngineListKind.CHANGES) {
            entries.keySet().stream()
                    .filter(id -> !listed.contains(id))
                    .forEach(id -> notUpSinceUs.putIfAbsent(id, nowUs));
        }
    }

    private RequestClass requestClass(TrackedRequest tracked) {
        return settings.classes().get(tracked.request.classIndex());
    }

    private boolean isOrdered(TrackedRequest tracked) {
        return requestClass(tracked).ordered() && tracked.request.key() != null;
    }

    void action(long nowUs, Action action) {
        if (action instanceof SendAttempt a) {
            checkSend(nowUs, a, requests.get(a.id()));
        } else if (action instanceof RejectRequest a) {
            TrackedRequest tracked = requests.get(a.id());
            boolean withoutEffect = requestClass(tracked).idempotency() == Idempotency.IDEMPOTENT
                    || tracked.firstRanOn == null && !tracked.inFlight
                    || requestClass(tracked).idempotency() == Idempotency.WITH_KEY
                            && requestClass(tracked).deduplicationScope() == DeduplicationScope.ALL;
            check(withoutEffect, "rule 2: rejected a request that may have run: " + a.id());
            checkFinalAnswer(nowUs, tracked);
        } else if (action instanceof FailRequest a) {
            checkFinalAnswer(nowUs, requests.get(a.id()));
        }
    }

    private void checkFinalAnswer(long nowUs, TrackedRequest tracked) {
        check(!tracked.finished, "rule 1: second final answer: " + tracked.request.id());
        check(
                nowUs
                        <= tracked.receivedAtUs
                                + tracked.request.expiresInUs()
                                + settings.rules().answerSlackUs(),
                "rule 1: late final answer: " + tracked.request.id());
        tracked.finished = true;
    }

    private void checkSend(long nowUs, SendAttempt a, TrackedRequest tracked) {
        check(tracked != null && !tracked.finished, "rule 1: attempt after the final answer: " + a.id());
        check(!tracked.inFlight, "two attempts in flight: " + a.id());
        check(tracked.attempts < settings.limits().maxAttempts(), "too many attempts: " + a.id());
        EngineEntry e = entries.get(a.engine());
        check(e != null, "unknown engine " + a.engine());
        Long notUpUs = notUpSinceUs.get(a.engine());
        check(
                notUpUs == null || nowUs <= notUpUs + settings.rules().drainGraceUs(),
                "rule 3: attempt sent to an engine that is not up: " + a.engine());
        check(
                requestClass(tracked).permittedKinds() == null
                        || requestClass(tracked).permittedKinds().contains(e.kind()),
                "rule 6: machine kind not permitted: " + a.engine());
        check(
                requestClass(tracked).permittedZones() == null
                        || requestClass(tracked).permittedZones().contains(e.zone()),
                "rule 6: zone not permitted: " + a.engine());
        checkRepeat(nowUs, tracked, e);
        checkOrder(nowUs, tracked);
        if (tracked.attempts > 0) {
            checkRetryBudget(nowUs);
        }
        checkSlowStart(nowUs, tracked, e);
        tracked.attempts++;
        tracked.inFlight = true;
        tracked.sentAtUs = nowUs;
        tracked.sentTo = a.engine();
    }

    private void checkRepeat(long nowUs, TrackedRequest tracked, EngineEntry e) {
        if (tracked.firstRanOn == null || requestClass(tracked).idempotency() == Idempotency.IDEMPOTENT) {
            return;
        }
        check(
                requestClass(tracked).idempotency() == Idempotency.WITH_KEY,
                "rule 2: request without idempotency repeated");
        check(
                nowUs <= tracked.firstRanAtUs + requestClass(tracked).deduplicationWindowUs(),
                "rule 2: request with idempotency key repeated after its deduplication window");
        boolean inScope = switch (requestClass(tracked).deduplicationScope()) {
            case ALL -> true;
            case ZONE -> e.zone() == tracked.firstRanOn.zone();
            case CELL -> e.cell() == tracked.firstRanOn.cell();
        };
        check(inScope, "rule 2: request with idempotency key repeated outside its deduplication scope");
    }

    private void checkOrder(long nowUs, TrackedRequest tracked) {
        if (!isOrdered(tracked)) {
            return;
        }
        for (TrackedRequest other : requests.values()) {
            if (other.sequence < tracked.sequence
                    && isOrdered(other)
                    && other.request.key().equals(tracked.request.key())) {
                check(
                        other.finished && !other.inFlight,
                        "rule 5: " + tracked.request.id() + " sent before the end of " + other.request.id());
            }
        }
        check(
                tracked.attempts > 0 || nowUs >= keyPausedUntilUs.getOrDefault(tracked.request.key(), Long.MIN_VALUE),
                "rule 5: sent while its ordering key is paused");
    }

    private void checkRetryBudget(long nowUs) {
        retryTimesUs.add(nowUs);
        if (settings.rules().retryBudgetWindowUs() > 0) {
            long windowStartUs = nowUs - settings.rules().retryBudgetWindowUs();
            long retries = retryTimesUs.stream().filter(x -> x >= windowStartUs).count();
            long received =
                    requestTimesUs.stream().filter(x -> x > windowStartUs).count();
            check(
                    retries
                            <= settings.rules().retryBudgetFloor()
                                    + settings.rules().retryBudgetRatio() * received,
                    "rule 7: retry budget exceeded");
        }
    }

    private void checkSlowStart(long nowUs, TrackedRequest tracked, EngineEntry e) {
        long ageUs = nowUs - e.startedUs();
        if (e.startedUs() <= 0 || ageUs >= settings.rules().slowStartUs()) {
            return;
        }
        List<double[]> sends = sendsWhileWarmingUp.computeIfAbsent(e.id() + e.startedUs(), id -> new ArrayList<>());
        sends.add(new double[] {nowUs, meanWorkUs[tracked.request.classIndex()]});
        double workUs = sends.stream()
                .filter(x -> x[0] > nowUs - settings.rules().overloadWindowUs())
                .mapToDouble(x -> x[1])
                .sum();
        double capacityFraction = settings.rules().slowStartFrom()
                + (1 - settings.rules().slowStartFrom())
                        * ageUs
                        / settings.rules().slowStartUs();
        double capacity = capacityFraction
                * capacityPerCore
                * settings.kinds().get(e.kind()).cores()
                / settings.gateways();
        check(
                workUs
                        <= settings.rules().overloadMultiple()
                                * capacity
                                * settings.rules().overloadWindowUs(),
                "rule 4: overloaded an engine that is warming up: " + e.id());
    }

    /** Checks at the end of a test that each request has its final answer, unless its deadline has not passed. */
    void end(long nowUs) {
        for (TrackedRequest tracked : requests.values()) {
            check(
                    tracked.finished
                            || nowUs
                                    <= tracked.receivedAtUs
                                            + tracked.request.expiresInUs()
                                            + settings.rules().answerSlackUs(),
                    "rule 1: no answer: " + tracked.request.id());
        }
    }

    private static void check(boolean holds, String rule) {
        if (!holds) {
            fail(rule);
        }
    }
}
