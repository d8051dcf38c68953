package sandpaddle.fleet.content.copy;

/** A message to send to a neighbour. */
public record OutgoingMessage(String to, ReplicationMessage message) { }
