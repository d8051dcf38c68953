package sandpaddle.fleet.state.raft;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.RaftMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

class RaftMessageCodecTest {
    private static final RaftEndpoint A = new VoterEndpoint("a", 1);
    private static final List<RaftEndpoint> MEMBERS = List.of(A, new VoterEndpoint("b", 2));

    static byte[] write(RaftMessage message) {
        CborOut out = new CborOut();
        RaftMessageWriter.write(out, message);
        return out.done();
    }

    static RaftMessage read(byte[] bytes) throws FaultyMessageException {
        return RaftMessageReader.read("c", A, new CborIn(bytes));
    }

    private static LogEntry entry(long index, int term, Object operation) {
        return RaftCodec.MODEL
                .createLogEntryBuilder()
                .setIndex(index)
                .setTerm(term)
                .setOperation(operation)
                .build();
    }

    private static AppendEntriesRequest append(List<LogEntry> entries) {
        return RaftCodec.MODEL
                .createAppendEntriesRequestBuilder()
                .setGroupId("c")
                .setSender(A)
                .setTerm(5)
                .setPreviousLogTerm(2)
                .setPreviousLogIndex(7)
                .setCommitIndex(6)
                .setQuerySequenceNumber(3)
                .setFlowControlSequenceNumber(4)
                .setLogEntries(entries)
                .build();
    }

    static List<RaftMessage> oneOfEach() {
        Object change = RaftCodec.MODEL
                .createUpdateRaftGroupMembersOpBuilder()
                .setMembers(MEMBERS)
                .setVotingMembers(List.of(A))
                .setEndpoint(A)
                .setMode(MembershipChangeMode.ADD_LEARNER)
                .build();
        SnapshotChunk chunk = RaftCodec.MODEL
                .createSnapshotChunkBuilder()
                .setIndex(9)
                .setTerm(2)
                .setSnapshotChunkIndex(0)
                .setSnapshotChunkCount(2)
                .setOperation(new byte[] {1, 2})
                .setGroupMembersView(RaftCodec.view(3, MEMBERS, List.of(A)))
                .build();
        return List.of(
                append(List.of(
                        entry(8, 2, new LogOperation.NewTerm()),
                        entry(9, 5, new LogOperation.Command(new byte[] {1})),
                        entry(10, 5, change))),
                RaftCodec.MODEL
                        .createAppendEntriesSuccessResponseBuilder()
                        .setGroupId("c")
                        .setSender(A)
                        .setTerm(5)
                        .setLastLogIndex(9)
                        .setQuerySequenceNumber(3)
                        .setFlowControlSequenceNumber(4)
                        .build(),
                RaftCodec.MODEL
                        .createAppendEntriesFailureResponseBuilder()
                        .setGroupId("c")
                        .setSender(A)
                        .setTerm(5)
                        .setExpectedNextIndex(9)
                        .setQuerySequenceNumber(3)
                        .setFlowControlSequenceNumber(4)
                        .build(),
                RaftCodec.MODEL
                        .createInstallSnapshotRequestBuilder()
                        .setGroupId("c")
                        .setSender(A)
                        .setTerm(5)
                        .setSenderLeader(true)
                        .setSnapshotTerm(2)
                        .setSnapshotIndex(9)
                        .setTotalSnapshotChunkCount(2)
                        .setSnapshotChunk(chunk)
                        .setSnapshottedMembers(MEMBERS)
                        .setGroupMembersView(RaftCodec.view(3, MEMBERS, MEMBERS))
                        .setQuerySequenceNumber(1)
                        .setFlowControlSequenceNumber(2)
                        .build(),
                RaftCodec.MODEL
                        .createInstallSnapshotResponseBuilder()
                        .setGroupId("c")
                        .setSender(A)
                        .setTerm(5)
                        .setSnapshotIndex(9)
                        .setRequestedSnapshotChunkIndex(1)
                        .setQuerySequenceNumber(1)
                        .setFlowControlSequenceNumber(2)
                        .build(),
                RaftCodec.MODEL
                        .createVoteRequestBuilder()
                        .setGroupId("c")
                        .setSender(A)
                        .setTerm(5)
                        .setLastLogTerm(2)
                        .setLastLogIndex(9)
                        .setSticky(true)
                        .build(),
                RaftCodec.MODEL
                        .createVoteResponseBuilder()
                        .setGroupId("c")
                        .setSender(A)
                        .setTerm(5)
                        .setGranted(true)
                        .build(),
                RaftCodec.MODEL
                        .createPreVoteRequestBuilder()
                        .setGroupId("c")
                        .setSender(A)
                        .setTerm(5)
                        .setLastLogTerm(2)
                        .setLastLogIndex(9)
                        .build(),
                RaftCodec.MODEL
                        .createPreVoteResponseBuilder()
                        .setGroupId("c")
                        .setSender(A)
                        .setTerm(5)
                        .setGranted(false)
                        .build(),
                RaftCodec.MODEL
                        .createTriggerLeaderElectionRequestBuilder()
                        .setGroupId("c")
                        .setSender(A)
                        .setTerm(5)
                        .setLastLogTerm(2)
                        .setLastLogIndex(9)
                        .build());
    }

    @Test
    void decodedMessagesEncodeToTheSameBytes() throws Exception {
        for (RaftMessage message : oneOfEach()) {
            RaftMessage decoded = read(write(message));
            assertEquals(message.getClass(), decoded.getClass());
            assertEquals(5, decoded.getTerm());
            assertArrayEquals(write(message), write(decoded), message::toString);
        }
    }

    @Test
    void corruptedMessagesAreRefusedOrDecoded() {
        Random random = new Random(1);
        int refused = 0;
        for (RaftMessage message : oneOfEach()) {
            byte[] valid = write(message);
            for (int i = 0; i < 400; i++) {
                byte[] corrupted = valid.clone();
                for (int flips = 1 + random.nextInt(3); flips > 0; flips--) {
                    corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt(256);
                }
                try {
                    read(
                            random.nextBoolean()
                                    ? corrupted
                                    : java.util.Arrays.copyOf(corrupted, random.nextInt(corrupted.length)));
                } catch (FaultyMessageException e) {
                    refused++;
                }
            }
        }
        assertTrue(refused > 2000, refused + " refused of 4000");
    }

    @Test
    void entriesOutOfOrderAreRefused() {
        byte[] gap = write(append(List.of(entry(9, 5, new LogOperation.NewTerm()))));
        assertTrue(assertThrows(FaultyMessageException.class, () -> read(gap))
                .getMessage()
                .endsWith("ends entries out of order at 9 of term 5"));
        byte[] laterTerm = write(append(List.of(entry(8, 6, new LogOperation.NewTerm()))));
        assertThrows(FaultyMessageException.class, () -> read(laterTerm));
    }

    @Test
    void entriesOfAMessageFitIntoAFrame() throws Exception {
        List<LogEntry> entries = new ArrayList<>();
        for (int i = 8; i < 40; i++) {
            entries.add(entry(i, 5, new LogOperation.Command(new byte[100 << 10])));
        }
        byte[] bytes = write(append(entries));
        assertTrue(bytes.length < 512 << 10, bytes.length + " bytes");
        assertEquals(2, ((AppendEntriesRequest) read(bytes)).getLogEntries().size());
    }
}
