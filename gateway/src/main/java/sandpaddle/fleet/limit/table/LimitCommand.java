package sandpaddle.fleet.limit.table;

import java.util.List;
import sandpaddle.fleet.limit.LimitScope;
import sandpaddle.fleet.limit.LimitSpec;

/** A replicated command on the {@link QuotaTable}. */
public sealed interface LimitCommand {
    /** A command that only the leader of {@code term} may have decided; refused once another term has begun. */
    sealed interface OfTerm extends LimitCommand {
        /** The term that the command was decided in. */
        long term();
    }

    /** The first command of a leader: from here on commands of other terms are refused. */
    record BeginTerm(long term) implements LimitCommand {}

    /** Adds a gateway of this zone to the fleet, or moves it there. */
    record Join(String member, String zone) implements LimitCommand {}

    /** Marks a gateway as leaving: it is removed by a {@link Reclaim} once its quotas are certainly unused. */
    record Leave(String member) implements LimitCommand {}

    /** Replaces all limits; refused if the epoch is not newer. */
    record SetLimits(long epoch, List<LimitSpec> limits) implements LimitCommand {}

    /** Creates the instance of a limit with wildcards for these names. */
    record Instantiate(String limit, LimitScope names) implements LimitCommand {}

    /**
     * Registers a new process of a gateway, if {@code session} is still its session.
     *
     * @param validityUs how long the process uses its quotas after a confirmed heartbeat (us)
     */
    record BeginSession(long term, String member, long session, long incarnation, long validityUs) implements OfTerm {}

    /** Takes back a gateway's quotas above its floors, if {@code session} is still its session. */
    record Reclaim(long term, String member, long session) implements OfTerm {}

    /** Changes the quotas of slots; each change is applied or refused by itself. */
    record ChangeSlots(long term, List<SlotChange> changes) implements OfTerm {}
}
