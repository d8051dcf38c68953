package sandpaddle.decision.model;

import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.RequestReceived;
import sandpaddle.decision.settings.RequestClass;

/** A request from its arrival until its final answer and the end of its last attempt. */
public final class PendingRequest {
    private final RequestReceived request;
    private final RequestClass requestClass;
    private final long sequence;
    private final long expiresAtUs;
    private final long dueAtUs;
    private final double admissionDraw;

    private Attempt inFlight;
    private EngineState lastEngine;
    private int attempts;
    private int errors;
    private long lastProgressAtUs = EventContext.NEVER;
    private double grantedMb;
    private double missingMb;
    private boolean cancelRequested;
    private boolean finished;

    private boolean mayHaveRun;
    private EngineState firstRanOn;
    private long firstRanAtUs;
    private OrderedKeyQueue keyQueue;

    /**
     * Creates a request that is not queued yet.
     *
     * @param request the request as received
     * @param requestClass its class
     * @param sequence its number in the order of arrival
     * @param expiresAtUs its deadline (us)
     * @param dueAtUs time until which its answer has its full priority weight (us)
     * @param admissionDraw random number in [0, 1): fraction of its threads that must fit within the fleet's limit
     */
    public PendingRequest(
            RequestReceived request,
            RequestClass requestClass,
            long sequence,
            long expiresAtUs,
            long dueAtUs,
            double admissionDraw) {
        this.request = request;
        this.requestClass = requestClass;
        this.sequence = sequence;
        this.expiresAtUs = expiresAtUs;
        this.dueAtUs = dueAtUs;
        this.admissionDraw = admissionDraw;
    }

    /** Starts an attempt with a memory grant in MB, 0 for none. */
    public void startAttempt(Attempt attempt, double memoryMb) {
        attempts++;
        inFlight = attempt;
        lastEngine = attempt.engine();
        lastProgressAtUs = EventContext.NEVER;
        grantedMb = memoryMb;
        missingMb = 0;
        cancelRequested = false;
    }

    /** Ends the attempt in flight, and remembers the first one that may have had an effect. */
    public void endAttempt(AttemptResult result) {
        Attempt ended = inFlight;
        inFlight = null;
        if (!result.neverRan() && !mayHaveRun) {
            mayHaveRun = true;
            firstRanOn = ended.engine();
            firstRanAtUs = ended.sentAtUs();
        }
    }

    /** Counts an error and returns the number of errors so far. */
    public int recordError() {
        errors++;
        return errors;
    }

    /** Records that the attempt in flight has reported progress. */
    public void recordProgress(long nowUs) {
        lastProgressAtUs = nowUs;
    }

    /** Records the memory that the attempt in flight lacks, in MB. */
    public void recordMissingMemory(double memoryMb) {
        missingMb = memoryMb;
    }

    /** Records that the attempt in flight is being cancelled. */
    public void requestCancel() {
        cancelRequested = true;
    }

    /** Records that the client has received its final answer, or has disconnected. */
    public void finish() {
        finished = true;
    }

    /** Sets the queue of the request's ordering key. */
    public void joinKeyQueue(OrderedKeyQueue queue) {
        keyQueue = queue;
    }

    /** Returns the id of the request. */
    public String id() {
        return request.id();
    }

    /** Returns the request as received. */
    public RequestReceived request() {
        return request;
    }

    /** Returns the class of the request. */
    public RequestClass requestClass() {
        return requestClass;
    }

    /** Returns the index of the class in the settings. */
    public int classIndex() {
        return request.classIndex();
    }

    /** Returns the threads that the request uses on an engine. */
    public int threads() {
        return requestClass.threads();
    }

    /** Returns the number of the request in the order of arrival. */
    public long sequence() {
        return sequence;
    }

    /** Returns the deadline (us). */
    public long expiresAtUs() {
        return expiresAtUs;
    }

    /** Returns the time until which an answer has its full priority weight (us). */
    public long dueAtUs() {
        return dueAtUs;
    }

    /** Returns the random number in [0, 1) that decides whether a request that fits a limit only partly is admitted. */
    public double admissionDraw() {
        return admissionDraw;
    }

    /** Returns the attempt in flight, or null. */
    public Attempt inFlight() {
        return inFlight;
    }

    /** Returns the engine of the latest attempt, or null. */
    public EngineState lastEngine() {
        return lastEngine;
    }

    /** Returns the number of attempts started. */
    public int attempts() {
        return attempts;
    }

    /** Whether the next attempt is a retry. */
    public boolean isRetry() {
        return attempts > 0;
    }

    /** Returns the number of attempts that ended with an error. */
    public int errors() {
        return errors;
    }

    /** Returns when the latest attempt last reported progress (us), or {@link EventContext#NEVER}. */
    public long lastProgressAtUs() {
        return lastProgressAtUs;
    }

    /** Returns the memory granted to the latest attempt in MB, 0 for none. */
    public double grantedMb() {
        return grantedMb;
    }

    /** Returns the memory that the latest attempt reported as missing, in MB. */
    public double missingMb() {
        return missingMb;
    }

    /** Whether the attempt in flight is being cancelled. */
    public boolean isCancelRequested() {
        return cancelRequested;
    }

    /** Whether the client has received its final answer, or has disconnected. */
    public boolean isFinished() {
        return finished;
    }

    /** Whether an attempt may have had an effect. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns the engine of the first attempt that may have had an effect, or null. */
    public EngineState firstRanOn() {
        return firstRanOn;
    }

    /** Returns when the first attempt that may have had an effect was sent (us). */
    public long firstRanAtUs() {
        return firstRanAtUs;
    }

    /** Returns the queue of the request's ordering key, or null where its class is not ordered. */
    public OrderedKeyQueue keyQueue() {
        return keyQueue;
    }
}
