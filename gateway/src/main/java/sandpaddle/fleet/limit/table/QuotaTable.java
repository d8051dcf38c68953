package sandpaddle.fleet.limit.table;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import sandpaddle.fleet.limit.Guard;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.LimitUnit;
import sandpaddle.fleet.state.ReplicatedState;
import sandpaddle.fleet.state.SnapshotException;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;

/**
 * The quotas of all gateways under all limits, as the voters agree on them. After O'Neil's escrow method (1986) and
 * bounded counters (Balegas et al. 2015): for every limit the sum of the allocations is at most its amount, and a
 * command that would break this is refused, whoever decided it. A slot changes only if its version is still the one
 * that the decision was made on (compare and set), and commands of a former term are refused, so a decision that
 * commits late does no harm.
 *
 * <p>Deterministic: no clock, no randomness. Commands are applied on the thread of the consensus; others read it under
 * the lock of {@code FleetStateMachine}. Bounds: {@link #MAX_LIMITS} limits with their instances, {@link #MAX_MEMBERS}
 * gateways, {@link #MAX_SLOTS} slots. Cost: O(log slots) a change.
 */
public final class QuotaTable implements ReplicatedState {
    /** Max number of limits, including instances of limits with wildcards. */
    public static final int MAX_LIMITS = 4096;

    /** Max number of gateways. */
    public static final int MAX_MEMBERS = 2048;
    /** Max number of slots of all limits: twice 1,024 limits of 1,024 gateways. */
    public static final int MAX_SLOTS = 1 << 21;

    final Map<String, LimitRow> limits = new TreeMap<>();
    final Map<String, LimitSpec> specs = new TreeMap<>();
    final Map<String, GatewayRow> members = new TreeMap<>();
    long term;
    long epoch;
    long version; // version of the slot that was changed last; no version is used twice
    long slotCount; // over all limits
    long membershipRevision; // counts joins, leaves and removals
    private final LimitSettings settings;

    /** Creates a table without limits and gateways. */
    public QuotaTable(LimitSettings settings) {
        this.settings = settings;
    }

    /** The term of the leader whose commands are accepted. */
    public long term() {
        return term;
    }

    /** Epoch of the limits in force. */
    public long epoch() {
        return epoch;
    }

    /** The limits by id, including instances; a read-only view. */
    public Map<String, LimitRow> limits() {
        return Collections.unmodifiableMap(limits);
    }

    /** The limits of the operator's file by id, without instances; a read-only view. */
    public Map<String, LimitSpec> specs() {
        return Collections.unmodifiableMap(specs);
    }

    /** The gateways by name; a read-only view. */
    public Map<String, GatewayRow> members() {
        return Collections.unmodifiableMap(members);
    }

    /** Incremented when a gateway joins, leaves or is removed. */
    public long membershipRevision() {
        return membershipRevision;
    }

    void discard(LimitRow row) {
        slotCount -= row.slots.size();
        limits.remove(row.spec.id());
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        try {
            return LimitCommandCodec.write(apply(LimitCommandCodec.read(command)));
        } catch (FaultyMessageException e) {
            return LimitCommandCodec.write(LimitCommandOutcome.refused("command " + index + ": " + e.getMessage()));
        }
    }

    /** Applies a decoded command. */
    public LimitCommandOutcome apply(LimitCommand command) {
        if (command instanceof LimitCommand.OfTerm ofTerm && ofTerm.term() != term) {
            return LimitCommandOutcome.refused("of leader " + ofTerm.term() + "; it is " + term);
        }
        if (command instanceof LimitCommand.BeginTerm beginTerm) {
            return beginTerm(beginTerm);
        } else if (command instanceof LimitCommand.Join join) {
            return join(join);
        } else if (command instanceof LimitCommand.Leave leave) {
            return leave(leave);
        } else if (command instanceof LimitCommand.SetLimits setLimits) {
            return LimitEpochs.replaceLimits(this, setLimits);
        } else if (command instanceof LimitCommand.Instantiate instantiate) {
            return LimitEpochs.instantiate(this, instantiate);
        } else if (command instanceof LimitCommand.BeginSession beginSession) {
            return beginSession(beginSession);
        } else if (command instanceof LimitCommand.Reclaim reclaim) {
            return reclaim(reclaim);
        } else {
            return changeSlots((LimitCommand.ChangeSlots) command);
        }
    }

    private LimitCommandOutcome beginTerm(LimitCommand.BeginTerm command) {
        if (command.term() <= term) {
            return LimitCommandOutcome.refused("leader " + command.term() + " is not newer than " + term);
        }
        term = command.term();
        return LimitCommandOutcome.done();
    }

    private LimitCommandOutcome join(LimitCommand.Join command) {
        GatewayRow row = members.get(command.member());
        if (row == null && members.size() >= MAX_MEMBERS) {
            return LimitCommandOutcome.refused("the fleet has " + MAX_MEMBERS + " gateways, the most");
        }
        membershipRevision++;
        members.put(
                command.member(),
                row == null ? GatewayRow.joined(command.member(), command.zone()) : row.rejoined(command.zone()));
        return LimitCommandOutcome.done();
    }

    private LimitCommandOutcome leave(LimitCommand.Leave command) {
        GatewayRow row = members.get(command.member());
        if (row == null) {
            return LimitCommandOutcome.refused("no gateway " + command.member());
        }
        membershipRevision++;
        members.put(row.name(), row.markedLeaving());
        return LimitCommandOutcome.done();
    }

    private LimitCommandOutcome beginSession(LimitCommand.BeginSession command) {
        GatewayRow row = members.get(command.member());
        if (row == null || row.session() != command.session()) {
            return refuseSession(command.member(), command.session());
        }
        members.put(row.name(), row.restarted(command.incarnation(), command.validityUs()));
        renumberSlots(row.name(), false);
        return LimitCommandOutcome.done();
    }

    private LimitCommandOutcome reclaim(LimitCommand.Reclaim command) {
        GatewayRow row = members.get(command.member());
        if (row == null || row.session() != command.session()) {
            return refuseSession(command.member(), command.session());
        }
        if (row.leaving()) {
            removeSlots(row.name());
            membershipRevision++;
            members.remove(row.name());
        } else {
            renumberSlots(row.name(), true);
            members.put(row.name(), row.reclaimed());
        }
        return LimitCommandOutcome.done();
    }

    private static LimitCommandOutcome refuseSession(String member, long session) {
        return LimitCommandOutcome.refused("gateway " + member + " is not in session " + session);
    }

    /** Gives each slot of a gateway a new version, so that decisions on the old ones are void. */
    private void renumberSlots(String member, boolean toFloor) {
        for (LimitRow row : List.copyOf(limits.values())) {
            for (SlotName name : List.copyOf(slotsOf(row, member).keySet())) {
                SlotAllocation slot = row.slot(name);
                long amount = toFloor ? slot.floor() : slot.amount();
                row.put(name, new SlotAllocation(amount, slot.floor(), ++version));
            }
            discardIfUnused(row);
        }
    }

    private void removeSlots(String member) {
        for (LimitRow row : List.copyOf(limits.values())) {
            for (SlotName name : List.copyOf(slotsOf(row, member).keySet())) {
                row.remove(name);
                slotCount--;
            }
            discardIfUnused(row);
        }
    }

    /** Removes a limit that is no longer in the operator's file once no gateway has a quota under it. */
    private void discardIfUnused(LimitRow row) {
        if (row.dropped && row.allocated == 0) {
            discard(row);
        }
    }

    /** The slots of a gateway under one limit. */
    public static Map<SlotName, SlotAllocation> slotsOf(LimitRow row, String member) {
        return row.slots.subMap(new SlotName(member, ""), new SlotName(member + "\0", ""));
    }

    private LimitCommandOutcome changeSlots(LimitCommand.ChangeSlots command) {
        int applied = 0;
        String firstFault = "";
        for (SlotChange change : command.changes()) {
            Optional<String> fault = findFault(change);
            if (fault.isEmpty()) {
                changeSlot(change);
                applied++;
            } else if (firstFault.isEmpty()) {
                firstFault = fault.get();
            }
        }
        return LimitCommandOutcome.ofChanges(applied, command.changes().size() - applied, firstFault);
    }

    /** Why a change must be refused. */
    private Optional<String> findFault(SlotChange change) {
        LimitRow row = limits.get(change.limit());
        String member = change.slot().member();
        if (row == null || !members.containsKey(member)) {
            return Optional.of("no limit " + change.limit() + " or gateway " + member);
        }
        SlotAllocation slot = row.slot(change.slot());
        if (slot.version() != change.version() && settings.enforces(Guard.VERSION)) {
            return Optional.of(
                    change.limit() + ": " + member + " has version " + slot.version() + ", not " + change.version());
        }
        if (change.floor() > change.amount()) {
            return Optional.of(change.limit() + ": floor " + change.floor() + " above " + change.amount());
        }
        long allocated = row.allocated - slot.amount() + change.amount();
        if (change.amount() > slot.amount() && allocated > row.amount() && settings.enforces(Guard.SHRINK_FIRST)) {
            return Optional.of(change.limit() + ": " + allocated + " would be held of " + row.amount());
        }
        if (slot == SlotAllocation.NONE && slotCount >= MAX_SLOTS) {
            return Optional.of("there are " + MAX_SLOTS + " slots, the most");
        }
        return Optional.empty();
    }

    private void changeSlot(SlotChange change) {
        LimitRow row = limits.get(change.limit());
        slotCount += row.slots.containsKey(change.slot()) ? 0 : 1;
        row.put(change.slot(), new SlotAllocation(change.amount(), change.floor(), ++version));
        discardIfUnused(row);
    }

    /** Whether a limit counts what is in use at one time, not a rate. */
    public static boolean isConcurrent(LimitSpec spec) {
        return spec.unit() != LimitUnit.RATE;
    }

    @Override
    public byte[] snapshot() {
        return TableCodec.write(this);
    }

    /**
     * Replaces the whole state.
     *
     * @throws SnapshotException if the snapshot cannot be read; the state is unchanged
     */
    @Override
    public void install(byte[] snapshot) {
        try {
            TableCodec.read(this, snapshot);
        } catch (FaultyMessageException e) {
            throw new SnapshotException("quota table snapshot: " + e.getMessage(), e);
        }
    }
}
