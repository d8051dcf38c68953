package sandpaddle.fleet.content.replication;

/**
 * A message to send.
 *
 * @param to name of the receiving gateway
 * @param message the message
 */
public record OutgoingMessage(String to, ReplicationMessage message) {}
