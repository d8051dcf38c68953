package sandpaddle.decision.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;

/**
 * State of outlier detection for one scope: an engine, a zone, or a class on an engine. An attempt counts in all three
 * scopes that it belongs to, since each of them can fail independently.
 */
public final class HealthScope {
    /** The set of attempts that a scope covers. */
    public enum Kind {
        /** All attempts on an engine. */
        ENGINE,
        /** All attempts on the engines of a zone. */
        ZONE,
        /** The attempts of a class on an engine. */
        ENGINE_CLASS
    }

    private final Kind kind;
    private final String id;
    private final LinkedHashMap<String, Attempt> inFlight = new LinkedHashMap<>();
    private final List<Attempt> timedOut = new ArrayList<>();
    private boolean unresponsive;
    private double errorRate;
    private long lastAnswerAtUs = EventContext.NEVER;
    private long lastSuccessAtUs = EventContext.NEVER;
    private long ejectedUntilUs = EventContext.NEVER;
    private long ejectionTimeUs;

    /** Creates a scope without any attempts; the id names it in logs. */
    public HealthScope(Kind kind, String id) {
        this.kind = kind;
        this.id = id;
    }

    /** Adds an attempt that was sent. */
    public void attemptStarted(Attempt attempt) {
        inFlight.put(attempt.request().id(), attempt);
    }

    /** Removes an attempt that ended. */
    public void attemptEnded(Attempt attempt) {
        inFlight.remove(attempt.request().id());
    }

    /** Keeps an overdue attempt that timed out until the scope's next answer. */
    public void recordTimeout(Attempt attempt) {
        timedOut.add(attempt);
    }

    /** Records an answer of any kind. */
    public void recordAnswer(long nowUs) {
        lastAnswerAtUs = nowUs;
        timedOut.clear();
    }

    /** Records a successful answer. */
    public void recordSuccess(long nowUs) {
        lastSuccessAtUs = nowUs;
    }

    /** Adds an outcome, 1 for an error and 0 for a success, to the exponential average of the error rate. */
    public void recordOutcome(int error, double weight) {
        errorRate += weight * (error - errorRate);
    }

    /** Resets the error rate of an engine that has restarted. */
    public void clearErrors() {
        errorRate = 0;
    }

    /** Sets whether the scope does not answer or cannot be reached. */
    public void setUnresponsive(boolean value) {
        unresponsive = value;
    }

    /** Ejects the scope until a time (us). */
    public void ejectUntil(long untilUs) {
        ejectedUntilUs = untilUs;
    }

    /** Sets the minimum duration of the next ejection (us). */
    public void setEjectionTimeUs(long timeUs) {
        ejectionTimeUs = timeUs;
    }

    /** Returns the kind of the scope. */
    public Kind kind() {
        return kind;
    }

    /** Returns the id that names the scope in logs. */
    public String id() {
        return id;
    }

    /** Returns the attempts in flight in the order in which they were sent. */
    public Collection<Attempt> inFlight() {
        return inFlight.values();
    }

    /** Returns the attempts that timed out since the last answer. */
    public List<Attempt> timedOut() {
        return timedOut;
    }

    /** Whether the scope does not answer or cannot be reached. */
    public boolean isUnresponsive() {
        return unresponsive;
    }

    /** Returns the exponential average of the error rate, from 0 to 1. */
    public double errorRate() {
        return errorRate;
    }

    /** Returns the time of the last answer (us). */
    public long lastAnswerAtUs() {
        return lastAnswerAtUs;
    }

    /** Returns the time of the last successful answer (us); recorded for engines only. */
    public long lastSuccessAtUs() {
        return lastSuccessAtUs;
    }

    /** Returns the end of the last ejection (us). */
    public long ejectedUntilUs() {
        return ejectedUntilUs;
    }

    /** Returns the minimum duration of the next ejection (us). */
    public long ejectionTimeUs() {
        return ejectionTimeUs;
    }
}
