package sandpaddle.decision.settings;

/**
 * Limits and optional features of the platform. Durations are in microseconds.
 *
 * @param cancel whether attempts can be cancelled
 * @param healthChecks whether health checks, which return a load report, may be sent
 * @param retryAfter whether rejections may carry a Retry-After
 * @param hedgedRequests whether a second attempt may run concurrently with the first
 * @param maxAttempts limit on the attempts of a request
 * @param maxQueued limit on queued requests
 * @param maxRetryAfterUs greatest Retry-After
 * @param connectTimeoutUs timeout for establishing a connection
 * @param connectionIdleUs time after which engines close idle connections
 */
public record PlatformLimits(
        boolean cancel,
        boolean healthChecks,
        boolean retryAfter,
        boolean hedgedRequests,
        int maxAttempts,
        int maxQueued,
        long maxRetryAfterUs,
        long connectTimeoutUs,
        long connectionIdleUs) {}
