package sandpaddle.overload;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.LongToDoubleFunction;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.RequestClass;

/**
 * Admission control by expected queueing delay, used while a retry storm is active or being recovered from. A request
 * is admitted if the admitted work that is queued ahead of it, divided by the rate at which work is sent to engines, is
 * below a bound. No estimate of the fleet's capacity is needed: while the decision module finds free capacity at once,
 * the queue is empty and everything is admitted, and the admitted rate grows as engines warm up.
 *
 * <p>The bound depends on the latency objective of the request class and on the kind of request: a late retry has a
 * lower value and a shorter bound. The queue is served in earliest-deadline-first order, so a class waits only for
 * classes with the same or a shorter objective. A request that a later one of its class has overtaken does not count,
 * since it is held back by a property of its own, such as its size. In addition, a small share of the rate is reserved
 * for each kind of request of each class, which prevents starvation.
 *
 * <p>Token buckets of work are not used: with an AIMD rate, and with a rate that follows the delivered work, they
 * rejected everything for seconds after each heavy query; see docs/design/retry-storms.md.
 *
 * <p>Confined to the event loop's thread; memory is bounded by the queued requests. Times are in microseconds and never
 * decrease.
 */
final class AdmissionController {
    /** Kinds of requests, which differ in the value of an answer. */
    enum Kind {
        /** Not a client's retry. */
        FIRST_ARRIVAL,
        /** A client's retry that can still meet its latency objective. */
        RETRY,
        /** A client's retry that cannot. */
        LATE_RETRY
    }

    private static final int KINDS = Kind.values().length;
    private static final double US_PER_S = 1e6;
    private static final long SENT_WORK_TIME_CONSTANT_US = 1_000_000;
    private static final double USUAL_RATE_TIME_CONSTANT_US = 10e6;
    private static final double USUAL_WORK_WEIGHT = 0.02; // of each request, in a moving average
    private static final double INITIAL_WORK_SHARE_OF_OBJECTIVE = 0.3; // until requests arrive
    private static final double RETRY_DISCOUNT = 0.9; // prefers first arrivals to retries of the same value
    private static final long MAX_REFILL_INTERVAL_US = 1_000_000; // a longer interval adds no more to the reserves
    private static final double MAX_COUNTED_WORK_MULTIPLE =
            2; // of the usual work: a heavy request is overtaken, so its full work does not delay others

    /** An admitted request in the queue for an engine. */
    static final class QueuedRequest {
        private final int classIndex;
        private final double workUs;
        private final long sequence;
        private boolean isCounted = true; // in queuedWorkUs

        private QueuedRequest(int classIndex, double workUs, long sequence) {
            this.classIndex = classIndex;
            this.workUs = workUs;
            this.sequence = sequence;
        }
    }

    private final List<RequestClass> classes;
    private final double ownShare;
    private OverloadSettings.AdmissionLimits settings;
    private final double[] usualWorkUs; // by class
    private final List<ArrayDeque<QueuedRequest>> queues = new ArrayList<>(); // by class, in the order of admission
    private final double[] queuedWorkUs; // by class
    private final double[] reserveUs; // by flow, which is a class and a kind: classIndex * KINDS + kind
    private final DecayingRate sentWork;
    private LongToDoubleFunction capacity = timeUs -> 0; // cores by time
    private double usualSendRatePerCore; // work sent to engines in the phase CALM (us/s)
    private double sendRateUsPerS; // as of the last refill
    private long refilledAtUs, nextSequence;

    AdmissionController(DecisionSettings decisionSettings, OverloadSettings.AdmissionLimits settings, long nowUs) {
        classes = decisionSettings.classes();
        ownShare = 1.0 / decisionSettings.gateways();
        this.settings = settings;
        usualWorkUs = classes.stream()
                .mapToDouble(c -> INITIAL_WORK_SHARE_OF_OBJECTIVE * c.latencyObjectiveUs() * c.threads())
                .toArray();
        classes.forEach(requestClass -> queues.add(new ArrayDeque<>()));
        queuedWorkUs = new double[classes.size()];
        reserveUs = new double[classes.size() * KINDS];
        sentWork = new DecayingRate(SENT_WORK_TIME_CONSTANT_US, nowUs);
        refilledAtUs = nowUs;
    }

    void settings(OverloadSettings.AdmissionLimits newSettings) {
        settings = newSettings;
    }

    /** Updates the usual work of a class with the estimate of a request. */
    void updateUsualWork(int classIndex, double workUs) {
        usualWorkUs[classIndex] += USUAL_WORK_WEIGHT * (workUs - usualWorkUs[classIndex]);
    }

    /** The work that a request counts for (us): its capped estimate, or the usual work of its class if that is 0. */
    double countedWorkUs(int classIndex, double estimateUs) {
        return estimateUs > 0
                ? Math.min(estimateUs, MAX_COUNTED_WORK_MULTIPLE * usualWorkUs[classIndex])
                : usualWorkUs[classIndex];
    }

    double usualWorkUs(int classIndex) {
        return usualWorkUs[classIndex];
    }

    /** The expected rate of work sent to engines (us/s), as of the last {@link #refill}. */
    double sendRateUsPerS() {
        return sendRateUsPerS;
    }

    /** Updates the reserves and the send rate; {@code capacity} gives cores by time, scaled by slow start. */
    void refill(long nowUs, LongToDoubleFunction capacity) {
        double elapsedS = Math.min(MAX_REFILL_INTERVAL_US, Math.max(0, nowUs - refilledAtUs)) / US_PER_S;
        refilledAtUs = Math.max(refilledAtUs, nowUs);
        this.capacity = capacity;
        sendRateUsPerS = expectedSendRateUsPerS(nowUs, nowUs);
        double reserveRateUsPerS = settings.reserveShare() * sendRateUsPerS;
        for (int flow = 0; flow < reserveUs.length; flow++) {
            reserveUs[flow] = Math.min(
                    reserveUs[flow] + reserveRateUsPerS * elapsedS,
                    Math.max(reserveRateUsPerS, usualWorkUs[flow / KINDS]));
        }
    }

    /** Updates the usual send rate per core; to be called in the phase CALM. */
    void updateUsualRate(long nowUs, long elapsedUs, double cores) {
        if (cores > 0) {
            double weight = Math.min(1, elapsedUs / USUAL_RATE_TIME_CONSTANT_US);
            usualSendRatePerCore += weight * (sentWork.perSecond(nowUs) / cores - usualSendRatePerCore);
        }
    }

    /** The expected rate of work sent to engines at a time that is not in the past (us/s); 0 without capacity. */
    double expectedSendRateUsPerS(long nowUs, long timeUs) {
        double cores = capacity.applyAsDouble(timeUs);
        double coresNow = capacity.applyAsDouble(nowUs);
        double extrapolatedRateUsPerS = coresNow > 0 ? sentWork.perSecond(nowUs) * cores / coresNow : 0;
        return Math.max(
                Math.max(settings.startShare() * ownShare * US_PER_S, usualSendRatePerCore) * cores,
                extrapolatedRateUsPerS);
    }

    /**
     * Decides whether to admit a request, and takes its work from a reserve if only that admits it. Call
     * {@link #refill} before, and {@link #enqueued} if the request is admitted.
     */
    boolean tryAdmit(int classIndex, Kind kind, double workUs) {
        int flow = classIndex * KINDS + kind.ordinal();
        double maxWaitUs = maxWaitUs(flow);
        if (sendRateUsPerS > 0
                && workAheadUs(classIndex)
                        <= maxWaitUs / US_PER_S * (sendRateUsPerS + sendRateAfterUsPerS(maxWaitUs)) / 2) {
            return true;
        }
        if (sendRateUsPerS > 0 && reserveUs[flow] > 0) {
            reserveUs[flow] -= workUs;
            return true;
        }
        return false;
    }

    private double sendRateAfterUsPerS(double waitUs) {
        return expectedSendRateUsPerS(refilledAtUs, refilledAtUs + (long) waitUs);
    }

    /**
     * Queued work (us) of the classes whose latency objective is no longer than that of this class, since the queue is
     * served in earliest-deadline-first order.
     */
    private double workAheadUs(int classIndex) {
        double aheadUs = 0;
        for (int i = 0; i < queuedWorkUs.length; i++) {
            boolean isAhead = classes.get(i).latencyObjectiveUs()
                    <= classes.get(classIndex).latencyObjectiveUs();
            aheadUs += isAhead ? queuedWorkUs[i] : 0;
        }
        return aheadUs;
    }

    /**
     * The longest expected wait (us) at which a request is admitted: a share of the latency objective, in proportion to
     * the value that an answer still has.
     */
    private double maxWaitUs(int flow) {
        RequestClass requestClass = classes.get(flow / KINDS);
        double valueShare = switch (Kind.values()[flow % KINDS]) {
            case FIRST_ARRIVAL -> 1;
            case RETRY -> RETRY_DISCOUNT;
            case LATE_RETRY -> requestClass.latePriorityWeight();
        };
        return settings.maxWaitShare()
                * (requestClass.latencyObjectiveUs()
                        + requestClass.objectiveStretch() * usualWorkUs[flow / KINDS] / requestClass.threads())
                * valueShare;
    }

    /** Records a request that is queued for an engine, whether it was admitted here or by the decision module. */
    QueuedRequest enqueued(int classIndex, double workUs) {
        QueuedRequest request = new QueuedRequest(classIndex, workUs, nextSequence++);
        queues.get(classIndex).add(request);
        queuedWorkUs[classIndex] += workUs;
        return request;
    }

    /** Records that a request was sent to an engine; {@code request} is null if it was not queued. */
    void sent(long nowUs, double workUs, QueuedRequest request) {
        sentWork.add(nowUs, workUs);
        if (request != null) {
            removed(request);
            ArrayDeque<QueuedRequest> queue = queues.get(request.classIndex);
            while (!queue.isEmpty() && queue.peek().sequence < request.sequence) {
                uncount(queue.poll());
            }
        }
    }

    /** Records that a request has left the queue; repeated calls have no effect. */
    void removed(QueuedRequest request) {
        if (request.isCounted) {
            uncount(request);
            queues.get(request.classIndex).remove(request);
        }
    }

    private void uncount(QueuedRequest request) {
        request.isCounted = false;
        int classIndex = request.classIndex;
        boolean isEmpty = queues.get(classIndex).isEmpty(); // reset to 0, so that rounding errors do not accumulate
        queuedWorkUs[classIndex] = isEmpty ? 0 : Math.max(0, queuedWorkUs[classIndex] - request.workUs);
    }

    /** The queued work of all classes (us). */
    double queuedWorkUs() {
        return Arrays.stream(queuedWorkUs).sum();
    }
}
