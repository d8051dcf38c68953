package sandpaddle.overload;

/**
 * Limits the rate of new connections during a retry storm and the recovery from it, by a token bucket that holds the
 * tokens of one second. Protects the event loop from a flood of reconnects, each of which costs a handshake and a login
 * before a query is read. The rate is a multiple of the usual rate, with a lower bound that the process can handle.
 *
 * <p>Confined to the event loop's thread; uses constant memory. Times are in microseconds and never decrease.
 */
final class ConnectionRateLimiter {
    private static final double US_PER_S = 1e6;
    private static final double BURST_S = 1;

    private OverloadSettings.ConnectionLimits settings;
    private double tokens;
    private long refilledAtUs;

    ConnectionRateLimiter(OverloadSettings.ConnectionLimits settings, long nowUs) {
        this.settings = settings;
        tokens = settings.minPerS() * BURST_S;
        refilledAtUs = nowUs;
    }

    void settings(OverloadSettings.ConnectionLimits newSettings) {
        settings = newSettings;
    }

    /** Whether to accept a connection, which takes a token; all connections are accepted in the phase CALM. */
    boolean tryAccept(long nowUs, OverloadPhase phase, double usualPerS) {
        double ratePerS = Math.max(settings.minPerS(), settings.usualMultiple() * usualPerS);
        tokens = Math.min(tokens + ratePerS * Math.max(0, nowUs - refilledAtUs) / US_PER_S, ratePerS * BURST_S);
        refilledAtUs = Math.max(refilledAtUs, nowUs);
        if (phase == OverloadPhase.CALM) {
            return true;
        }
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
