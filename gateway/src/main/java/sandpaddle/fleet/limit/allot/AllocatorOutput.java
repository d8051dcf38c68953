package sandpaddle.fleet.limit.allot;

import java.util.List;
import sandpaddle.fleet.limit.table.Command;
import sandpaddle.fleet.limit.wire.Grant;

/** What a leader does now: commands to propose, in order, and grants to send, each lost without harm. */
public record AllocatorOutput(List<Command> propose, List<Grant> grants) { }
