package sandpaddle.decision.model;

import sandpaddle.decision.event.Quota;
import sandpaddle.decision.event.RequestReceived;

/** Counts the attempts that use a quota of this gateway. */
public final class QuotaUsage {
    /** Key of quotas that cover attempts on any engine. */
    public static final String ANY_ENGINE = "";

    private final Quota quota;
    private int inFlight;
    private int startsLeft;

    /** Creates the counters of a quota that is not in use yet. */
    public QuotaUsage(Quota quota) {
        this.quota = quota;
        startsLeft = quota.maxStarts();
    }

    /** Returns the id of the engine that the quota applies to, or {@link #ANY_ENGINE}. */
    public String engineId() {
        return quota.engine() == null ? ANY_ENGINE : quota.engine();
    }

    /** Whether the quota covers a request sent to an engine. */
    public boolean covers(RequestReceived request, String engineId) {
        return quota.covers(request, engineId);
    }

    /** Whether one more attempt fits. */
    public boolean hasCapacity() {
        return inFlight < quota.maxInFlight() && startsLeft > 0;
    }

    /** Counts an attempt that starts. */
    public void recordStart() {
        inFlight++;
        startsLeft -= quota.maxStarts() == Integer.MAX_VALUE ? 0 : 1;
    }

    /** Counts an attempt that was in flight before the quota was received; it does not count as a start. */
    public void recordInFlight() {
        inFlight++;
    }

    /** Counts an attempt that ended. */
    public void recordEnd() {
        inFlight--;
    }
}
