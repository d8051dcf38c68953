package sandpaddle.fleet.link.tcp;

/**
 * Traffic of all links of one gateway since its start.
 *
 * @param bytesIn bytes received, including handshakes and pings
 * @param bytesOut bytes sent, including handshakes and pings
 * @param messagesIn messages of the fleet received
 * @param messagesOut messages of the fleet queued
 */
public record LinkTraffic(long bytesIn, long bytesOut, long messagesIn, long messagesOut) {}
