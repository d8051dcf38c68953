package sandpaddle.fleet.limit.wire;

import static sandpaddle.fleet.limit.table.LimitCommandCodec.readAmount;
import static sandpaddle.fleet.limit.table.LimitCommandCodec.readCount;
import static sandpaddle.fleet.limit.table.LimitCommandCodec.readId;
import static sandpaddle.fleet.limit.table.LimitCommandCodec.readIncarnation;
import static sandpaddle.fleet.limit.table.LimitCommandCodec.readName;

import sandpaddle.fleet.limit.table.LimitCommandCodec;
import sandpaddle.fleet.limit.table.QuotaTable;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

/** Encodes heartbeats and grants as CBOR, as parts of a message that may contain other parts. */
public final class LimitCodec {
    private LimitCodec() {}

    /** Appends a heartbeat to a message. */
    public static void write(CborOut out, Heartbeat heartbeat) {
        out.number(heartbeat.incarnation())
                .number(heartbeat.sequence())
                .number(heartbeat.session())
                .flag(heartbeat.leased())
                .number(heartbeat.validityUs())
                .number(heartbeat.epoch());
        out.list(heartbeat.reports(), LimitCodec::writeReport);
        out.list(heartbeat.instanceRequests(), LimitCodec::writeInstanceRequest);
    }

    private static void writeReport(CborOut out, SlotReport report) {
        out.text(report.limit())
                .text(report.tenant())
                .number(report.version())
                .number(report.ceiling())
                .number(report.floor())
                .number(report.used())
                .number(report.demand());
    }

    private static void writeInstanceRequest(CborOut out, InstanceRequest request) {
        LimitCommandCodec.writeScope(out.text(request.limit()), request.names());
    }

    /** Reads a heartbeat. */
    public static Heartbeat readHeartbeat(CborIn in) throws FaultyMessageException {
        return new Heartbeat(
                readIncarnation(in),
                readCount(in),
                readCount(in),
                in.flag(),
                in.number(0, Heartbeat.MAX_VALIDITY_US),
                readCount(in),
                in.list(Heartbeat.MAX_REPORTS, LimitCodec::readReport),
                in.list(Heartbeat.MAX_INSTANCE_REQUESTS, LimitCodec::readInstanceRequest));
    }

    private static SlotReport readReport(CborIn in) throws FaultyMessageException {
        return new SlotReport(
                readId(in),
                readName(in),
                readCount(in),
                readAmount(in),
                readAmount(in),
                readAmount(in),
                readAmount(in));
    }

    private static InstanceRequest readInstanceRequest(CborIn in) throws FaultyMessageException {
        return new InstanceRequest(readName(in), LimitCommandCodec.readScope(in));
    }

    /** Appends a grant to a message. */
    public static void write(CborOut out, QuotaGrant grant) {
        out.text(grant.member())
                .number(grant.incarnation())
                .number(grant.session())
                .number(grant.confirmedSequence())
                .number(grant.epoch())
                .flag(grant.includesLimits());
        out.list(grant.limits(), LimitCommandCodec::writeSpec);
        out.list(grant.slotGrants(), LimitCodec::writeSlotGrant);
    }

    private static void writeSlotGrant(CborOut out, SlotGrant grant) {
        out.text(grant.limit())
                .text(grant.tenant())
                .number(grant.version())
                .number(grant.ceiling())
                .number(grant.floor())
                .number(grant.targetCeiling())
                .number(grant.targetFloor());
    }

    /** Reads a grant. */
    public static QuotaGrant readGrant(CborIn in) throws FaultyMessageException {
        return new QuotaGrant(
                readName(in),
                readIncarnation(in),
                readCount(in),
                readCount(in),
                readCount(in),
                in.flag(),
                in.list(QuotaTable.MAX_LIMITS, LimitCommandCodec::readSpec),
                in.list(QuotaGrant.MAX_SLOTS, LimitCodec::readSlotGrant));
    }

    private static SlotGrant readSlotGrant(CborIn in) throws FaultyMessageException {
        return new SlotGrant(
                readId(in),
                readName(in),
                readCount(in),
                readAmount(in),
                readAmount(in),
                readAmount(in),
                readAmount(in));
    }
}
