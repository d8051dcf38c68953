package sandpaddle.fleet.member;

/**
 * A gateway of the fleet.
 *
 * @param name name of the gateway, the same after a restart
 * @param zone zone that it is in
 * @param host host name or IPv4 address at which its peers reach it
 * @param port TCP port at which its peers reach it
 */
public record Member(String name, String zone, String host, int port) {}
