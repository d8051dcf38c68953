package sandpaddle.fleet.state.machine;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.state.ReplicatedState;

class FleetStateMachineTest {
    private final FleetMembership members = new FleetMembership();
    private final VersionedDocuments documents = new VersionedDocuments();
    private final List<String> faults = new ArrayList<>();
    private final FleetStateMachine.ApplyListener listener = new FleetStateMachine.ApplyListener() {
        @Override
        public void onApplied(long index, StateMachinePart part, byte[] result) {}

        @Override
        public void onInstalled() {}

        @Override
        public void onPartFailed(long index, StateMachinePart part, RuntimeException exception) {
            faults.add(index + " " + part.name());
        }
    };
    private final StateMachinePart membership = new StateMachinePart(FleetMembership.TAG, "membership", members);
    private final StateMachinePart documentsPart = new StateMachinePart(VersionedDocuments.TAG, "policy", documents);
    private final FleetStateMachine machine = new FleetStateMachine(List.of(membership, documentsPart), listener);
    private long index;

    private CommandResult apply(StateMachinePart part, byte[] body) {
        return CommandResult.parse(machine.apply(++index, part.command(body)));
    }

    private static Member member(String name, int port) {
        return new Member(name, "h", "10.0.0.1", port);
    }

    @Test
    void nameBelongsToOneAddressUntilItLeaves() {
        assertTrue(
                apply(membership, FleetMembership.joinCommand(member("a", 1))).isAccepted());
        CommandResult other = apply(membership, FleetMembership.joinCommand(member("a", 2)));
        assertEquals("the name a belongs to the gateway at 10.0.0.1:1 in hall h", other.reason());
        assertTrue(
                apply(membership, FleetMembership.joinCommand(member("a", 1))).isAccepted());
        assertEquals(1, members.epoch());
        assertTrue(apply(membership, FleetMembership.leaveCommand("a")).isAccepted());
        assertTrue(
                apply(membership, FleetMembership.joinCommand(member("a", 2))).isAccepted());
        assertEquals(
                "no member has the name b",
                apply(membership, FleetMembership.leaveCommand("b")).reason());
    }

    @Test
    void membersAreBounded() {
        for (int i = 0; i < FleetMembership.MAX_MEMBERS; i++) {
            assertTrue(apply(membership, FleetMembership.joinCommand(member("m" + i, 1 + i)))
                    .isAccepted());
        }
        assertEquals(
                "the fleet has 1024 members already",
                apply(membership, FleetMembership.joinCommand(member("z", 1))).reason());
        assertTrue(machine.snapshot().length < 256 << 10, "a full membership must fit into one chunk");
    }

    @Test
    void noNumberIsIssuedTwice() {
        assertEquals(new FleetMembership.EndpointNumbers(1, 0), members.numbers("a"));
        assertFalse(apply(membership, FleetMembership.issueCommand("a", 1)).isAccepted());
        assertTrue(apply(membership, FleetMembership.issueCommand("a", 2)).isAccepted());
        assertEquals(
                "number 2 of a is not above 2, handed out before",
                apply(membership, FleetMembership.issueCommand("a", 2)).reason());
        assertTrue(apply(membership, FleetMembership.retireCommand("a", 2)).isAccepted());
        assertEquals(new FleetMembership.EndpointNumbers(2, 2), members.numbers("a"));
    }

    @Test
    void documentIsReplacedOnlyFromItsCurrentEpoch() {
        assertTrue(apply(documentsPart, VersionedDocuments.putCommand("pool", 0, "one"))
                .isAccepted());
        assertEquals(
                "the text pool has epoch 1 now, not 0",
                apply(documentsPart, VersionedDocuments.putCommand("pool", 0, "two"))
                        .reason());
        assertTrue(apply(documentsPart, VersionedDocuments.putCommand("pool", 1, "two"))
                .isAccepted());
        assertEquals(Optional.of(new VersionedDocuments.VersionedDocument(2, "two")), documents.document("pool"));
        assertFalse(apply(
                        documentsPart,
                        VersionedDocuments.putCommand("pool", 2, "x".repeat(VersionedDocuments.MAX_TEXT_BYTES + 1)))
                .isAccepted());
        assertEquals(2, documents.document("pool").orElseThrow().epoch());
    }

    @Test
    void commandsWithUnknownTagsAreRefused() {
        assertEquals(
                "no part has the tag 99 in this version",
                CommandResult.parse(machine.apply(1, new byte[] {99, 1})).reason());
        assertEquals(
                "an empty command",
                CommandResult.parse(machine.apply(2, new byte[0])).reason());
        assertFalse(CommandResult.parse(machine.apply(3, new byte[] {FleetMembership.TAG, 1, 2, 3}))
                .isAccepted());
        assertEquals(3, machine.appliedIndex());
    }

    @Test
    void exceptionOfAPartIsRefusedAndReported() {
        ReplicatedState broken = new ReplicatedState() {
            @Override
            public byte[] apply(long at, byte[] command) {
                throw new IllegalStateException("broken");
            }

            @Override
            public byte[] snapshot() {
                return new byte[0];
            }

            @Override
            public void install(byte[] snapshot) {}
        };
        StateMachinePart part = new StateMachinePart((byte) 7, "broken", broken);
        assertFalse(
                CommandResult.parse(new FleetStateMachine(List.of(part), listener).apply(5, part.command(new byte[1])))
                        .isAccepted());
        assertEquals(List.of("5 broken"), faults);
    }

    @Test
    void snapshotRestoresTheState() {
        apply(membership, FleetMembership.joinCommand(member("a", 1)));
        apply(membership, FleetMembership.issueCommand("a", 2));
        apply(documentsPart, VersionedDocuments.putCommand("pool", 0, "one"));
        byte[] snapshot = machine.snapshot();
        FleetMembership otherMembers = new FleetMembership();
        FleetStateMachine other = new FleetStateMachine(
                List.of(new StateMachinePart(FleetMembership.TAG, "membership", otherMembers)), listener);
        other.install(snapshot);
        assertEquals(members.numbers("a"), otherMembers.numbers("a"));
        assertEquals(3, other.appliedIndex());
        assertArrayEquals(snapshot, other.snapshot(), "snapshots of unknown parts are retained");
        assertThrows(IllegalArgumentException.class, () -> other.install(new byte[] {1, 2, 3}));
        assertEquals(1, otherMembers.members().size());
    }
}
