package sandpaddle.fleet.limit.allocator;

import java.util.List;
import sandpaddle.fleet.limit.table.LimitCommand;
import sandpaddle.fleet.limit.wire.QuotaGrant;

/**
 * The output of one tick of the allocator. Any of it may be lost without harm: it is produced again.
 *
 * @param proposals commands to propose to the consensus, in order
 * @param grants grants to send to their gateways
 */
public record AllocatorOutput(List<LimitCommand> proposals, List<QuotaGrant> grants) {}
