package sandpaddle.fleet.state.raft;

/** What a log entry of ours holds, besides changes of the members, which are MicroRaft's. */
public sealed interface LogOperation {
    /** A leader's first entry of its term: it commits what earlier terms left, and changes nothing. */
    record NewTerm() implements LogOperation { }

    /** A command for the replicated machine; the bytes are not copied. */
    record Command(byte[] bytes) implements LogOperation { }

    /** The question of a linearizable round: it is never in a log. */
    record Question() implements LogOperation { }
}
