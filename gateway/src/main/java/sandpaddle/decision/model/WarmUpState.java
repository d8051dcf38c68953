package sandpaddle.decision.model;

/** Slow start state of one engine. */
public final class WarmUpState {
    private final TokenBucket work = new TokenBucket();
    private double rateMultiple;
    private long unreachableAtUs = EventContext.NEVER;
    private long verdictAtUs = EventContext.NEVER;

    /** Begins a slow start at the base rate, with an initial debt (us of work) in the token bucket. */
    public void begin(long nowUs, double debtUs) {
        rateMultiple = 1;
        work.reset(nowUs, debtUs);
    }

    /** Records that the engine was unreachable, so that it may have restarted. */
    public void recordUnreachable(long nowUs) {
        unreachableAtUs = nowUs;
    }

    /** Clears the record that the engine was unreachable, since the engine list now states its start. */
    public void clearUnreachable() {
        unreachableAtUs = EventContext.NEVER;
    }

    /** Records the start time that a fleet verdict states (us). */
    public void recordVerdict(long startedAtUs) {
        verdictAtUs = startedAtUs;
    }

    /** Sets the multiple of the base rate at which the engine is sent work. */
    public void setRateMultiple(double multiple) {
        rateMultiple = multiple;
    }

    /** Returns the multiple of the base rate at which the engine is sent work. */
    public double rateMultiple() {
        return rateMultiple;
    }

    /** Returns the token bucket that limits the work sent to the engine while it warms up. */
    public TokenBucket work() {
        return work;
    }

    /** Returns when the engine was last unreachable (us). */
    public long unreachableAtUs() {
        return unreachableAtUs;
    }

    /** Returns the last start time that was learnt from a fleet verdict alone (us). */
    public long verdictAtUs() {
        return verdictAtUs;
    }
}
