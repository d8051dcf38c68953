package sandpaddle.decision.event;

/**
 * This gateway's share of a fleet-wide limit. A class or tenant of -1 and a null engine match any.
 *
 * @param classIndex index of the request class
 * @param tenant index of the tenant
 * @param engine the engine's id
 * @param maxInFlight limit on this gateway's concurrent attempts
 * @param maxStarts limit on attempts started until the next {@link QuotasChanged}; {@link Integer#MAX_VALUE} where
 *     starts are not limited
 */
public record Quota(int classIndex, int tenant, String engine, int maxInFlight, int maxStarts) {

    /** Whether the quota covers a request that is sent to an engine. */
    public boolean covers(RequestReceived request, String engineId) {
        return (classIndex < 0 || classIndex == request.classIndex())
                && (tenant < 0 || tenant == request.tenant())
                && (engine == null || engine.equals(engineId));
    }
}
