package sandpaddle.decision.settings;

/**
 * Costs of health checks and handshakes, in points of the platform's score.
 *
 * @param healthCheck cost of one health check per query
 * @param handshake cost of one new connection per query
 */
public record ServiceCosts(double healthCheck, double handshake) {}
