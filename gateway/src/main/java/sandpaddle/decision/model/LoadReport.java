package sandpaddle.decision.model;

/** The latest load report of an engine, reduced to the values that decisions use. */
public final class LoadReport {
    /** Age (us) at which a report expires. */
    public static final long MAX_AGE_US = 3_000_000;

    private boolean present;
    private double inFlight;
    private double bottleneckUtilization;
    private double queued;
    private int ownQueries;
    private long receivedAtUs = EventContext.NEVER;
    private long lastBusyAtUs = EventContext.NEVER;

    /**
     * Replaces the report.
     *
     * @param atUs when the engine wrote it (us)
     * @param inFlightQueries running queries of all gateways; NaN where reports do not state them
     * @param bottleneckResourceUtilization utilization of the engine's most utilized resource
     * @param queuedQueries queries that are queued for memory
     * @param ownQueriesInFlight queries of this gateway in flight there now
     */
    public void replace(
            long atUs,
            double inFlightQueries,
            double bottleneckResourceUtilization,
            double queuedQueries,
            int ownQueriesInFlight) {
        present = true;
        receivedAtUs = atUs;
        inFlight = inFlightQueries;
        bottleneckUtilization = bottleneckResourceUtilization;
        queued = queuedQueries;
        ownQueries = ownQueriesInFlight;
    }

    /** Records the time of a report that showed the engine busy. */
    public void recordBusy(long atUs) {
        lastBusyAtUs = Math.max(lastBusyAtUs, atUs);
    }

    /** Discards the report, since the engine has restarted. */
    public void discard() {
        present = false;
    }

    /** Whether there is a report recent enough to be used. */
    public boolean isFresh(long nowUs) {
        return present && nowUs - receivedAtUs < MAX_AGE_US;
    }

    /** Returns the running queries of all gateways; NaN where reports do not state them. */
    public double inFlight() {
        return inFlight;
    }

    /** Returns the utilization of the engine's most utilized resource. */
    public double bottleneckUtilization() {
        return bottleneckUtilization;
    }

    /** Returns the queries that are queued for memory. */
    public double queued() {
        return queued;
    }

    /** Returns the queries of this gateway in flight there when the report was received. */
    public int ownQueries() {
        return ownQueries;
    }

    /** Returns when the engine wrote the report (us). */
    public long receivedAtUs() {
        return receivedAtUs;
    }

    /** Returns the time of the last report that showed the engine busy (us). */
    public long lastBusyAtUs() {
        return lastBusyAtUs;
    }
}
