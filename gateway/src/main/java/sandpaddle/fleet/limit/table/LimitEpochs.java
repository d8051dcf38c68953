package sandpaddle.fleet.limit.table;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import sandpaddle.fleet.limit.LimitSpec;

/**
 * Applies the commands that replace the limits of a table, and those that create an instance of a limit. An instance of
 * a limit with wildcards is a limit of its own, with the names of a query in place of the wildcards.
 */
final class LimitEpochs {
    private LimitEpochs() {}

    static LimitCommandOutcome replaceLimits(QuotaTable table, LimitCommand.SetLimits command) {
        if (command.epoch() <= table.epoch) {
            return LimitCommandOutcome.refused("epoch " + command.epoch() + " is not newer than " + table.epoch);
        }
        Set<String> ids = new HashSet<>();
        for (LimitSpec spec : command.limits()) {
            Optional<String> fault = spec.fault();
            if (fault.isPresent() || !ids.add(spec.id())) {
                return LimitCommandOutcome.refused(fault.orElse("limit " + spec.id() + " stands twice"));
            }
        }
        LimitCommandOutcome tooLow = refusalBelowFloors(table, command);
        if (tooLow != null) {
            return tooLow;
        }
        table.specs.clear();
        command.limits().forEach(spec -> table.specs.put(spec.id(), spec));
        for (LimitRow row : table.limits.values()) {
            row.revision++;
            LimitSpec spec = table.specs.get(row.parentId);
            row.dropped = !isDefinedBy(row, spec);
            if (!row.dropped) {
                row.spec = new LimitSpec(row.spec.id(), row.spec.scope(), spec.unit(), spec.amount(), spec.burst());
            }
        }
        table.limits.values().stream()
                .filter(row -> row.dropped && row.allocated == 0)
                .toList()
                .forEach(table::discard);
        // the outcome is "done" even if a limit gets no new row here: if there are MAX_LIMITS rows already, or if a
        // dropped row with its id still has quotas; only a later SetLimits or Instantiate command can create the row
        for (LimitSpec spec : command.limits()) {
            if (!spec.scope().hasWildcard() && table.limits.size() < QuotaTable.MAX_LIMITS) {
                table.limits.putIfAbsent(spec.id(), new LimitRow(spec, spec.id()));
            }
        }
        table.epoch = command.epoch();
        return LimitCommandOutcome.done();
    }

    /**
     * Whether the new file still defines the limit of a row.
     *
     * @param row row of a limit or of an instance
     * @param spec limit of the new file with the row's parent id, or null if there is none
     */
    private static boolean isDefinedBy(LimitRow row, LimitSpec spec) {
        return spec != null
                && spec.unit() == row.spec.unit()
                && (spec.scope().hasWildcard()
                        ? spec.instanceFor(row.spec.scope())
                                .map(LimitSpec::id)
                                .orElse("")
                                .equals(row.spec.id())
                        : spec.scope().equals(row.spec.scope()));
    }

    /**
     * Returns the refusal of the first limit whose amount is below the sum of the gateways' floors, or null if there is
     * none. Gateways use their floors without a lease, so such an amount could not be enforced.
     */
    private static LimitCommandOutcome refusalBelowFloors(QuotaTable table, LimitCommand.SetLimits command) {
        for (LimitSpec spec : command.limits()) {
            for (LimitRow row : table.limits.values()) {
                if (row.parentId.equals(spec.id()) && row.floorSum > spec.amount()) {
                    return LimitCommandOutcome.amountTooLow(
                            "limit " + row.spec.id() + ": amount " + spec.amount()
                                    + " is below the floors of the gateways; the least now is " + row.floorSum,
                            row.floorSum);
                }
            }
        }
        return null;
    }

    static LimitCommandOutcome instantiate(QuotaTable table, LimitCommand.Instantiate command) {
        LimitSpec spec = table.specs.get(command.limit());
        if (spec == null) {
            return LimitCommandOutcome.refused("no limit " + command.limit());
        }
        Optional<LimitSpec> instance = spec.instanceFor(command.names());
        if (instance.isEmpty()
                || instance.get().scope().hasWildcard()
                || instance.get().id().length() > LimitSpec.MAX_ID_BYTES) {
            return LimitCommandOutcome.refused("limit " + command.limit() + " does not cover these names");
        }
        if (!table.limits.containsKey(instance.get().id())) {
            if (table.limits.size() >= QuotaTable.MAX_LIMITS) {
                return LimitCommandOutcome.refused("there are " + QuotaTable.MAX_LIMITS + " limits, the most");
            }
            table.limits.put(instance.get().id(), new LimitRow(instance.get(), spec.id()));
        }
        return LimitCommandOutcome.done();
    }
}
