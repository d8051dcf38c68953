package sandpaddle.fleet.limit.lease;

/**
 * The usage of this gateway's slots. An attempt counts from before it is sent until the engine can no longer run it:
 * its end was received, or it was cancelled and the engine's forget time has passed.
 */
public interface UsageSource {
    /** Attempts or connections at the engines now; not called for rates. */
    long used(String limit, String tenant);

    /** What would be in use without the limit; at least what is used. In thousandths per second for rates. */
    long demand(String limit, String tenant);
}
