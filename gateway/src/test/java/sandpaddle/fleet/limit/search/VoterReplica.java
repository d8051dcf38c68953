package sandpaddle.fleet.limit.search;

import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.allocator.RightsAllocator;
import sandpaddle.fleet.limit.allocator.TargetPolicy;
import sandpaddle.fleet.limit.table.RightsTable;

/** A voter that may lead, with its copy of the table. Its clock is as fast as clocks may be. */
final class VoterReplica {
    final RightsTable table;
    final RightsAllocator allocator;
    int applied;
    long term; // that it believes to lead, 0 for none

    VoterReplica(LimitSettings settings) {
        table = new RightsTable(settings);
        allocator = new RightsAllocator(settings, table, TargetPolicy.NONE);
    }
}
