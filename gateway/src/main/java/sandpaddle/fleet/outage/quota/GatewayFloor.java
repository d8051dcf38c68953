package sandpaddle.fleet.outage.quota;

/**
 * Guaranteed minimum of one gateway in a limit.
 *
 * @param gateway name of the gateway
 * @param zone zone of the gateway
 * @param floor floor without an outage
 * @param demand expected concurrent demand while the zone is isolated; 0 if no outage is near
 */
public record GatewayFloor(String gateway, String zone, long floor, long demand) {}
