package sandpaddle.fleet.state.machine;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.member.Member;
import sandpaddle.recorded.RecordedFile;

/** Commands, results and snapshots of the state machine have the bytes that an earlier version wrote. */
class RecordedMachineTest {
    private static final RecordedFile COMMANDS = new RecordedFile("machine-commands.txt");
    private static final RecordedFile RESULTS = new RecordedFile("machine-results.txt");
    private static final RecordedFile SNAPSHOT = new RecordedFile("machine-snapshot.txt");

    private static final class FailingListener implements FleetStateMachine.ApplyListener {
        @Override
        public void onApplied(long index, StateMachinePart part, byte[] result) {
            // not needed: the results are returned as well
        }

        @Override
        public void onInstalled() {
            // not needed
        }

        @Override
        public void onPartFailed(long index, StateMachinePart part, RuntimeException exception) {
            throw exception;
        }
    }

    private final StateMachinePart members =
            new StateMachinePart(FleetMembership.TAG, "members", new FleetMembership());
    private final StateMachinePart documents =
            new StateMachinePart(VersionedDocuments.TAG, "texts", new VersionedDocuments());

    private static FleetStateMachine machine() {
        return new FleetStateMachine(
                List.of(
                        new StateMachinePart(FleetMembership.TAG, "members", new FleetMembership()),
                        new StateMachinePart(VersionedDocuments.TAG, "texts", new VersionedDocuments())),
                new FailingListener());
    }

    @Test
    void commandsAreWrittenAsRecorded() {
        Map<String, byte[]> commands = new LinkedHashMap<>();
        commands.put("join a", members.command(FleetMembership.joinCommand(new Member("a", "east", "10.0.0.1", 7000))));
        commands.put("join b", members.command(FleetMembership.joinCommand(new Member("b", "west", "10.0.0.2", 7001))));
        commands.put(
                "join a elsewhere",
                members.command(FleetMembership.joinCommand(new Member("a", "east", "10.0.0.3", 7000))));
        commands.put("issue", members.command(FleetMembership.issueCommand("a", 2)));
        commands.put("issue again", members.command(FleetMembership.issueCommand("a", 2)));
        commands.put("retire", members.command(FleetMembership.retireCommand("b", 1)));
        commands.put("leave", members.command(FleetMembership.leaveCommand("b")));
        commands.put("put", documents.command(VersionedDocuments.putCommand("agreed", 0, "text \u6771")));
        commands.put("put stale", documents.command(VersionedDocuments.putCommand("agreed", 0, "other")));
        commands.put("unknown part", new byte[] {9, 1});
        commands.put("empty", new byte[0]);
        COMMANDS.checkBytes(commands);
    }

    @Test
    void resultsAndTheSnapshotAreWrittenAndReadAsRecorded() {
        FleetStateMachine machine = machine();
        Map<String, byte[]> results = new LinkedHashMap<>();
        COMMANDS.bytes().forEach((name, command) -> results.put(name, machine.apply(results.size() + 1, command)));
        RESULTS.checkBytes(results);
        SNAPSHOT.checkBytes(Map.of("snapshot", machine.snapshot()));
        FleetStateMachine restored = machine();
        byte[] recorded = SNAPSHOT.bytes().get("snapshot");
        restored.install(recorded);
        assertArrayEquals(recorded, restored.snapshot());
    }
}
