package sandpaddle.fleet.limit.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.limit.LimitScope;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.LimitUnit;
import sandpaddle.fleet.limit.lease.FloorFile;
import sandpaddle.fleet.limit.lease.SavedFloor;
import sandpaddle.fleet.limit.table.LimitCommand;
import sandpaddle.fleet.limit.table.LimitCommandCodec;
import sandpaddle.fleet.limit.table.QuotaTable;
import sandpaddle.fleet.limit.table.SlotChange;
import sandpaddle.fleet.limit.table.SlotName;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborOut;
import sandpaddle.recorded.RecordedFile;

/** Compares the encoding of messages, commands, snapshots and floor files with bytes that an earlier version wrote. */
class RecordedLimitBytesTest {
    private static final RecordedFile MESSAGES = new RecordedFile("limit-messages.txt");
    private static final RecordedFile COMMANDS = new RecordedFile("limit-commands.txt");
    private static final RecordedFile OUTCOMES = new RecordedFile("limit-outcomes.txt");
    private static final RecordedFile SNAPSHOT = new RecordedFile("limit-snapshot.txt");
    private static final RecordedFile FLOORS = new RecordedFile("limit-floors.txt");
    private static final int RANDOM_MESSAGES = 10;

    private static byte[] bytes(QuotaGrant grant) {
        CborOut out = new CborOut();
        LimitCodec.write(out, grant);
        return out.done();
    }

    @Test
    void messagesAreWrittenAndReadAsRecorded() throws Exception {
        Map<String, byte[]> messages = new LinkedHashMap<>();
        for (int seed = 0; seed < RANDOM_MESSAGES; seed++) {
            messages.put(
                    "heartbeat " + seed, LimitCodecProperties.bytes(LimitCodecProperties.heartbeat(new Random(seed))));
            messages.put("grant " + seed, bytes(LimitCodecProperties.grant(new Random(seed))));
        }
        MESSAGES.checkBytes(messages);
        for (Map.Entry<String, byte[]> recorded : MESSAGES.bytes().entrySet()) {
            CborIn in = new CborIn(recorded.getValue());
            assertArrayEquals(
                    recorded.getValue(),
                    recorded.getKey().startsWith("grant")
                            ? bytes(LimitCodec.readGrant(in))
                            : LimitCodecProperties.bytes(LimitCodec.readHeartbeat(in)));
        }
    }

    private static List<LimitCommand> commands() {
        LimitScope each = new LimitScope(null, "lookup", "*", "");
        List<LimitSpec> limits = List.of(
                new LimitSpec("all", new LimitScope(null, null, null, null), LimitUnit.RUNNING, 40, 0),
                new LimitSpec("each", each, LimitUnit.CONNECTIONS, 8, 0),
                new LimitSpec("rate", new LimitScope("h", null, "t", null), LimitUnit.RATE, 25, 50));
        return List.of(
                new LimitCommand.BeginTerm(3),
                new LimitCommand.Join("g1", "h"),
                new LimitCommand.Join("g2", "h"),
                new LimitCommand.SetLimits(2, limits),
                new LimitCommand.Instantiate("each", new LimitScope(null, null, "t", null)),
                new LimitCommand.BeginSession(3, "g1", 1, -55, 7000),
                new LimitCommand.BeginSession(3, "g2", 1, 56, 7000),
                new LimitCommand.ChangeSlots(
                        3,
                        List.of(
                                new SlotChange("all", new SlotName("g1", ""), 0, 9, 2),
                                new SlotChange("all", new SlotName("g2", "t"), 0, 5, 0),
                                new SlotChange("rate", new SlotName("g1", ""), 0, 20, 1),
                                new SlotChange("none", new SlotName("g1", ""), 0, 1, 0))),
                new LimitCommand.Leave("g2"),
                new LimitCommand.Reclaim(3, "g2", 2),
                new LimitCommand.BeginTerm(2));
    }

    @Test
    void commandsAreWrittenAndReadAsRecorded() throws Exception {
        Map<String, byte[]> commands = new LinkedHashMap<>();
        commands().forEach(command -> commands.put("command " + commands.size(), LimitCommandCodec.write(command)));
        COMMANDS.checkBytes(commands);
        for (byte[] recorded : COMMANDS.bytes().values()) {
            assertArrayEquals(recorded, LimitCommandCodec.write(LimitCommandCodec.read(recorded)));
        }
    }

    @Test
    void outcomesAndSnapshotAreWrittenAndReadAsRecorded() throws Exception {
        QuotaTable table = new QuotaTable(LimitSettings.DEFAULTS);
        Map<String, byte[]> outcomes = new LinkedHashMap<>();
        for (byte[] command : COMMANDS.bytes().values()) {
            outcomes.put("outcome " + outcomes.size(), table.apply(outcomes.size() + 1, command));
        }
        OUTCOMES.checkBytes(outcomes);
        for (byte[] recorded : OUTCOMES.bytes().values()) {
            assertArrayEquals(recorded, LimitCommandCodec.write(LimitCommandCodec.readOutcome(recorded)));
        }
        SNAPSHOT.checkBytes(Map.of("snapshot", table.snapshot()));
        QuotaTable restored = new QuotaTable(LimitSettings.DEFAULTS);
        byte[] recorded = SNAPSHOT.bytes().get("snapshot");
        restored.install(recorded);
        assertArrayEquals(recorded, restored.snapshot());
    }

    @Test
    void floorFileIsWrittenAndReadAsRecorded() throws Exception {
        FloorFile file = new FloorFile(
                "boot-1", 123_456, 30_000_000, List.of(new SavedFloor("all", "", 4), new SavedFloor("each|t", "t", 1)));
        FLOORS.checkBytes(Map.of("floors", file.write()));
        byte[] recorded = FLOORS.bytes().get("floors");
        assertArrayEquals(recorded, FloorFile.read(recorded).write());
    }
}
