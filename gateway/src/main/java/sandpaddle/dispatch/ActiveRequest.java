package sandpaddle.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import sandpaddle.eventloop.TimerQueue;
import sandpaddle.overload.OverloadController;
import sandpaddle.query.Answer;
import sandpaddle.query.AttemptEnd;
import sandpaddle.query.EngineClient;
import sandpaddle.query.Query;

/**
 * State of one accepted request, from its arrival until its final answer has been given and none of its attempts is in
 * flight. The callback to the client is dropped with the first answer, so that no second answer can be sent.
 *
 * <p>Confined to the event loop's thread.
 */
final class ActiveRequest {
    private static final int DEFAULT_PRIORITY = 1;

    private final String id;
    private final Query query;
    private final int classIndex;
    private final Instant receivedAt;
    private final Instant deadline;
    private final OverloadController.TrackedQuery trackedQuery;
    private final BooleanSupplier connectionCheck;
    private Consumer<Answer> callback;
    private TimerQueue.Timer decisionTimeout;
    private int attempts;
    private int priority = DEFAULT_PRIORITY;
    private double memoryMb;
    private boolean mayHaveRun;
    private boolean served;
    private boolean queued;
    private EngineClient.AttemptHandle attemptInFlight;
    private String engine;
    private AttemptEnd lastEnd;

    /**
     * Creates a request that is not queued yet.
     *
     * @param id its id in the decision module, unique in this process
     * @param query the query, with the time that its client still waits
     * @param classIndex position of its request class in the settings
     * @param receivedAt when it was accepted; its deadline counts from here
     * @param trackedQuery its entry in the overload controller; null while that is disabled
     * @param client the client that waits for the answer
     */
    ActiveRequest(
            String id,
            Query query,
            int classIndex,
            Instant receivedAt,
            OverloadController.TrackedQuery trackedQuery,
            Client client) {
        this.id = id;
        this.query = query;
        this.classIndex = classIndex;
        this.receivedAt = receivedAt;
        this.trackedQuery = trackedQuery;
        deadline = receivedAt.plus(query.timeout());
        connectionCheck = client.connectionCheck();
        callback = client.callback();
    }

    /**
     * The client of a request.
     *
     * @param connectionCheck reads the client's connection and returns whether the client is still connected; may
     *     report a disconnect of this request during the call
     * @param callback receives the final answer, once
     */
    record Client(BooleanSupplier connectionCheck, Consumer<Answer> callback) {}

    String id() {
        return id;
    }

    Query query() {
        return query;
    }

    int classIndex() {
        return classIndex;
    }

    Instant deadline() {
        return deadline;
    }

    /** Time since the request was accepted. */
    Duration age(Instant now) {
        return Duration.between(receivedAt, now);
    }

    /** Its entry in the overload controller; null while that is disabled. */
    OverloadController.TrackedQuery trackedQuery() {
        return trackedQuery;
    }

    /** Sets the timer that answers the request if the decision module does not. */
    void setDecisionTimeout(TimerQueue.Timer timer) {
        decisionTimeout = timer;
    }

    // ---- Attempts.

    /** Counts another attempt and returns its number, from 0. */
    int nextAttempt() {
        return attempts++;
    }

    /** Number of attempts so far, those included that were not written. */
    int attempts() {
        return attempts;
    }

    /** Whether this is the latest attempt and it is in flight. */
    boolean isInFlight(int attempt) {
        return attemptInFlight != null && attempts - 1 == attempt;
    }

    boolean hasAttemptInFlight() {
        return attemptInFlight != null;
    }

    /** Sets the engine of the attempt that is about to start. */
    void setEngine(String next) {
        engine = next;
    }

    /** Engine of the latest attempt that was started, null before the first. */
    String engine() {
        return engine;
    }

    void attemptStarted(EngineClient.AttemptHandle attempt) {
        attemptInFlight = attempt;
    }

    void attemptEnded(AttemptEnd end) {
        attemptInFlight = null;
        lastEnd = end;
    }

    /** How the latest attempt that was started ended; null while none has. */
    AttemptEnd lastEnd() {
        return lastEnd;
    }

    /**
     * Cancels the attempt in flight, if there is one; does not wait for the engine if the request has its answer.
     *
     * @param reason for logs
     */
    void cancelAttempt(String reason) {
        if (attemptInFlight != null) {
            RequestLog.attemptCancelled(this, reason);
            attemptInFlight.cancel(isAnswered());
        }
    }

    /** Records an attempt whose end does not prove that it never ran. */
    void setMayHaveRun() {
        mayHaveRun = true;
    }

    /** Whether an engine may have run the request or may be running it. */
    boolean mayHaveRun() {
        return mayHaveRun || attemptInFlight != null;
    }

    /** Sets the options of the following attempts, and the priority also of the one in flight. */
    void setOptions(int nextPriority, double nextMemoryMb) {
        if (attemptInFlight != null && priority != nextPriority) {
            attemptInFlight.setPriority(nextPriority);
        }
        priority = nextPriority;
        memoryMb = nextMemoryMb;
    }

    /** Priority of the following attempts, 0 to 3. */
    int priority() {
        return priority;
    }

    /** Memory grant of the following attempts in MB; 0 leaves the choice to the engine. */
    double memoryMb() {
        return memoryMb;
    }

    // ---- Queueing and the answer.

    /** Sets whether it waits for an engine without an attempt in flight; returns whether that changed. */
    boolean setQueued(boolean next) {
        boolean changed = queued != next;
        queued = next;
        return changed;
    }

    /** Whether the client still waits for an answer, checked on its connection. */
    boolean isClientWaiting() {
        return callback != null && connectionCheck.getAsBoolean() && callback != null; // the check may call close()
    }

    /** Whether no answer is due: it was given, or the client has disconnected. */
    boolean isAnswered() {
        return callback == null;
    }

    /** Whether its client has received the result. */
    boolean isServed() {
        return served;
    }

    /** Gives the final answer, if it is still due. */
    void answer(Answer answer) {
        Consumer<Answer> receiver = callback;
        served |= receiver != null && answer instanceof Answer.Served;
        close();
        if (receiver != null) {
            receiver.accept(answer);
        }
    }

    /** Drops the client: no answer is due any more. */
    void close() {
        callback = null;
        if (decisionTimeout != null) {
            decisionTimeout.cancel();
        }
    }
}
