package sandpaddle.fleet.link;

/** Kind of a message between gateways. The ordinal is the number on the wire: never reorder or remove a constant. */
public enum MessageKind {
    /** Consensus between voters. */
    RAFT,
    /** A gateway's demand and usage of quotas, to each voter. */
    HEARTBEAT,
    /** Quotas for one gateway, from the leader. */
    GRANT,
    /** A batch of evidence, between gateways and hubs. */
    EVIDENCE,
    /** A configuration that a gateway asks the leader to commit. */
    PROPOSAL,
    /** Stored answers and their requests, between gateways of a zone. */
    CONTENT,
    /** Voters, leader and configuration in force, from a voter to followers. */
    STATUS
}
