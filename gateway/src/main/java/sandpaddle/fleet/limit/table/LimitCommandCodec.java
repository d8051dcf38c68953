package sandpaddle.fleet.limit.table;

import sandpaddle.fleet.limit.LimitScope;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.LimitUnit;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

/**
 * Encodes limit commands and their outcomes as CBOR. The first value of a command is its number, which never changes:
 * commands are stored in the replicated log.
 */
public final class LimitCommandCodec {
    /** Max number of changes in one command; a leader splits larger batches. */
    public static final int MAX_CHANGES = 512;
    /** Max number of limits in the operator's file. */
    public static final int MAX_LIMITS = 1024;

    private static final String NULL_NAME = "\u0000"; // no name is equal to it: names are printable
    private static final int MAX_REASON_BYTES = 512;
    private static final int MAX_BYTES_PER_CHAR = 4;

    private static final int BEGIN_TERM = 0;
    private static final int JOIN = 1;
    private static final int LEAVE = 2;
    private static final int SET_LIMITS = 3;
    private static final int INSTANTIATE = 4;
    private static final int BEGIN_SESSION = 5;
    private static final int RECLAIM = 6;
    private static final int CHANGE_SLOTS = 7;

    private LimitCommandCodec() {}

    /** Encodes a command. */
    public static byte[] write(LimitCommand command) {
        CborOut out = new CborOut();
        if (command instanceof LimitCommand.BeginTerm beginTerm) {
            out.number(BEGIN_TERM).number(beginTerm.term());
        } else if (command instanceof LimitCommand.Join join) {
            out.number(JOIN).text(join.member()).text(join.zone());
        } else if (command instanceof LimitCommand.Leave leave) {
            out.number(LEAVE).text(leave.member());
        } else if (command instanceof LimitCommand.SetLimits setLimits) {
            out.number(SET_LIMITS).number(setLimits.epoch()).list(setLimits.limits(), LimitCommandCodec::writeSpec);
        } else if (command instanceof LimitCommand.Instantiate instantiate) {
            writeScope(out.number(INSTANTIATE).text(instantiate.limit()), instantiate.names());
        } else if (command instanceof LimitCommand.BeginSession beginSession) {
            writeBeginSession(out.number(BEGIN_SESSION), beginSession);
        } else if (command instanceof LimitCommand.Reclaim reclaim) {
            out.number(RECLAIM).number(reclaim.term()).text(reclaim.member()).number(reclaim.session());
        } else if (command instanceof LimitCommand.ChangeSlots changeSlots) {
            out.number(CHANGE_SLOTS)
                    .number(changeSlots.term())
                    .list(changeSlots.changes(), LimitCommandCodec::writeChange);
        }
        return out.done();
    }

    private static void writeBeginSession(CborOut out, LimitCommand.BeginSession command) {
        out.number(command.term())
                .text(command.member())
                .number(command.session())
                .number(command.incarnation())
                .number(command.validityUs());
    }

    private static void writeChange(CborOut out, SlotChange change) {
        out.text(change.limit())
                .text(change.slot().member())
                .text(change.slot().tenant())
                .number(change.version())
                .number(change.amount())
                .number(change.floor());
    }

    /** Decodes a command. */
    public static LimitCommand read(byte[] bytes) throws FaultyMessageException {
        CborIn in = new CborIn(bytes);
        int type = (int) in.number(BEGIN_TERM, CHANGE_SLOTS);
        LimitCommand command = switch (type) {
            case BEGIN_TERM -> new LimitCommand.BeginTerm(readCount(in));
            case JOIN -> new LimitCommand.Join(readName(in), readName(in));
            case LEAVE -> new LimitCommand.Leave(readName(in));
            case SET_LIMITS ->
                new LimitCommand.SetLimits(readCount(in), in.list(MAX_LIMITS, LimitCommandCodec::readSpec));
            case INSTANTIATE -> new LimitCommand.Instantiate(readName(in), readScope(in));
            case BEGIN_SESSION ->
                new LimitCommand.BeginSession(
                        readCount(in), readName(in), readCount(in), readIncarnation(in), readCount(in));
            case RECLAIM -> new LimitCommand.Reclaim(readCount(in), readName(in), readCount(in));
            default -> new LimitCommand.ChangeSlots(readCount(in), in.list(MAX_CHANGES, LimitCommandCodec::readChange));
        };
        in.end();
        return command;
    }

    private static SlotChange readChange(CborIn in) throws FaultyMessageException {
        return new SlotChange(
                readId(in), new SlotName(readName(in), readName(in)), readCount(in), readAmount(in), readAmount(in));
    }

    /** Encodes an outcome; a long reason is cut. */
    public static byte[] write(LimitCommandOutcome outcome) {
        int maxChars = MAX_REASON_BYTES / MAX_BYTES_PER_CHAR;
        String reason = outcome.reason();
        String shortReason = reason.substring(0, Math.min(maxChars, reason.length()));
        return new CborOut()
                .number(outcome.applied())
                .number(outcome.refused())
                .text(shortReason)
                .number(outcome.minAmount())
                .done();
    }

    /** Decodes an outcome. */
    public static LimitCommandOutcome readOutcome(byte[] bytes) throws FaultyMessageException {
        CborIn in = new CborIn(bytes);
        LimitCommandOutcome outcome = new LimitCommandOutcome(
                (int) in.number(0, MAX_LIMITS),
                (int) in.number(0, MAX_LIMITS),
                in.text(MAX_REASON_BYTES),
                in.number(-1, Long.MAX_VALUE));
        in.end();
        return outcome;
    }

    /** Writes a limit as part of a command, snapshot or grant. */
    public static void writeSpec(CborOut out, LimitSpec spec) {
        writeScope(out.text(spec.id()), spec.scope());
        out.number(spec.unit().ordinal()).number(spec.amount()).number(spec.burst());
    }

    /** Reads a limit that {@link #writeSpec(CborOut, LimitSpec)} wrote. */
    public static LimitSpec readSpec(CborIn in) throws FaultyMessageException {
        String id = readId(in);
        LimitScope scope = readScope(in);
        LimitUnit unit = LimitUnit.values()[(int) in.number(0, LimitUnit.values().length - 1)];
        return new LimitSpec(id, scope, unit, readAmount(in), readAmount(in));
    }

    /** Writes a scope; a dimension without a name is distinguished from an empty name. */
    public static void writeScope(CborOut out, LimitScope scope) {
        scope.dimensions().forEach(name -> out.text(name == null ? NULL_NAME : name));
    }

    /** Reads a scope that {@link #writeScope(CborOut, LimitScope)} wrote. */
    public static LimitScope readScope(CborIn in) throws FaultyMessageException {
        return new LimitScope(readNullableName(in), readNullableName(in), readNullableName(in), readNullableName(in));
    }

    private static String readNullableName(CborIn in) throws FaultyMessageException {
        String name = readName(in);
        return name.equals(NULL_NAME) ? null : name;
    }

    /** Reads the name of a limit, gateway, tenant, engine, class or zone. */
    public static String readName(CborIn in) throws FaultyMessageException {
        return in.text(LimitSpec.MAX_NAME_BYTES);
    }

    /** Reads the id of a limit or of an instance. */
    public static String readId(CborIn in) throws FaultyMessageException {
        return in.text(LimitSpec.MAX_ID_BYTES);
    }

    /** Reads a number that is never negative, such as a term, an epoch or a version. */
    public static long readCount(CborIn in) throws FaultyMessageException {
        return in.number(0, Long.MAX_VALUE);
    }

    /** Reads an incarnation: any 64 bits. */
    public static long readIncarnation(CborIn in) throws FaultyMessageException {
        return in.number(Long.MIN_VALUE, Long.MAX_VALUE);
    }

    /** Reads an amount in a limit's unit. */
    public static long readAmount(CborIn in) throws FaultyMessageException {
        return in.number(0, LimitSpec.MAX_AMOUNT);
    }
}
