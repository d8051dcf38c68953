package sandpaddle.fleet.limit.lease;

/**
 * This gateway's usage of a limit. A count holds an attempt from before it is sent until the engine cannot run it any
 * more: its end was heard, or it was given up and the engine's time to forget has passed.
 */
public interface UsageSource {
    /** Attempts or connections at the engines now; not asked for rates. */
    long used(String limit, String sub);

    /** What would be used if it could; at least what is used. In thousandths a second for rates. */
    long demand(String limit, String sub);
}
