package sandpaddle.fleet.limit.table;

import static sandpaddle.fleet.limit.table.LimitCommandCodec.readCount;
import static sandpaddle.fleet.limit.table.LimitCommandCodec.readIncarnation;
import static sandpaddle.fleet.limit.table.LimitCommandCodec.readName;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

/** Encodes the table as a snapshot. Equal tables give equal bytes, so that voters can compare them. */
final class TableCodec {
    private static final long FORMAT = 1;

    private TableCodec() {}

    static byte[] write(QuotaTable table) {
        CborOut out = new CborOut()
                .number(FORMAT)
                .number(table.term)
                .number(table.epoch)
                .number(table.version);
        out.list(table.specs.values(), LimitCommandCodec::writeSpec);
        out.list(table.members.values(), TableCodec::writeGateway);
        out.list(table.limits.values(), TableCodec::writeLimit);
        return out.done();
    }

    private static void writeGateway(CborOut out, GatewayRow row) {
        out.text(row.name())
                .text(row.zone())
                .number(row.incarnation())
                .number(row.formerIncarnation())
                .number(row.session())
                .flag(row.leaving())
                .number(row.validityUs());
    }

    private static void writeLimit(CborOut out, LimitRow row) {
        LimitCommandCodec.writeSpec(out, row.spec);
        out.text(row.parentId).flag(row.dropped);
        out.list(row.slots.entrySet(), TableCodec::writeSlot);
    }

    private static void writeSlot(CborOut out, Map.Entry<SlotName, SlotAllocation> slot) {
        out.text(slot.getKey().member())
                .text(slot.getKey().tenant())
                .number(slot.getValue().amount())
                .number(slot.getValue().floor())
                .number(slot.getValue().version());
    }

    /** Replaces the content of the table; if the bytes cannot be read, the table is unchanged. */
    static void read(QuotaTable table, byte[] bytes) throws FaultyMessageException {
        CborIn in = new CborIn(bytes);
        in.number(FORMAT, FORMAT);
        long term = readCount(in);
        long epoch = readCount(in);
        long version = readCount(in);
        List<LimitSpec> specs = in.list(LimitCommandCodec.MAX_LIMITS, LimitCommandCodec::readSpec);
        List<GatewayRow> members = in.list(QuotaTable.MAX_MEMBERS, TableCodec::readGateway);
        List<LimitRow> rows = in.list(QuotaTable.MAX_LIMITS, TableCodec::readLimit);
        in.end();
        table.term = term;
        table.epoch = epoch;
        table.version = version;
        replaceAll(table.specs, specs, LimitSpec::id);
        replaceAll(table.members, members, GatewayRow::name);
        replaceAll(table.limits, rows, row -> row.spec.id());
        table.slotCount = rows.stream().mapToLong(row -> row.slots.size()).sum();
        table.membershipRevision++;
    }

    private static <T> void replaceAll(Map<String, T> map, List<T> values, Function<T, String> key) {
        Map<String, T> next = new TreeMap<>();
        values.forEach(value -> next.put(key.apply(value), value));
        map.clear();
        map.putAll(next);
    }

    private static GatewayRow readGateway(CborIn in) throws FaultyMessageException {
        return new GatewayRow(
                readName(in),
                readName(in),
                readIncarnation(in),
                readIncarnation(in),
                readCount(in),
                in.flag(),
                readCount(in));
    }

    private record NamedSlot(SlotName name, SlotAllocation slot) {}

    private static LimitRow readLimit(CborIn in) throws FaultyMessageException {
        LimitSpec spec = LimitCommandCodec.readSpec(in);
        LimitRow row = new LimitRow(spec, readName(in));
        row.dropped = in.flag();
        for (NamedSlot named : in.list(QuotaTable.MAX_SLOTS, TableCodec::readSlot)) {
            row.put(named.name, named.slot);
        }
        return row;
    }

    private static NamedSlot readSlot(CborIn in) throws FaultyMessageException {
        return new NamedSlot(
                new SlotName(readName(in), readName(in)),
                new SlotAllocation(readCount(in), readCount(in), readCount(in)));
    }
}
