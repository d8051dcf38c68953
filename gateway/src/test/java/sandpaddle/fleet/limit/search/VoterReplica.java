package sandpaddle.fleet.limit.search;

import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.allocator.QuotaAllocator;
import sandpaddle.fleet.limit.allocator.TargetPolicy;
import sandpaddle.fleet.limit.table.QuotaTable;

/** A voter that may be the leader, with its copy of the table. Its clock has the maximum speed. */
final class VoterReplica {
    final QuotaTable table;
    final QuotaAllocator allocator;
    int appliedCommands;
    long term; // term that it believes to lead; 0 for none

    VoterReplica(LimitSettings settings) {
        table = new QuotaTable(settings);
        allocator = new QuotaAllocator(settings, table, TargetPolicy.NONE);
    }
}
