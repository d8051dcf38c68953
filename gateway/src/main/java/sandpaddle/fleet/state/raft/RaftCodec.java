package sandpaddle.fleet.state.raft;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

/** Encodings that messages and the store share: members, log entries, snapshot chunks. */
final class RaftCodec {
    static final RaftModelFactory MODEL = new DefaultRaftModelFactory();

    /**
     * Max number of voters and learners of one group: five voters, those that replace them, and some reserve.
     */
    static final int MAX_MEMBERS = 16;
    /** Max size of a command; the largest is the text of a pool policy (bytes). */
    static final int MAX_COMMAND_BYTES = 384 << 10;
    /** Max size of a snapshot chunk, so that it fits into a frame with its envelope (bytes). */
    static final int MAX_CHUNK_BYTES = 256 << 10;
    /** Max number of chunks of one snapshot; the store has the same bound. */
    static final int MAX_CHUNKS = 64;

    /** Max log index that is accepted from a message. */
    static final long MAX_INDEX = Long.MAX_VALUE >> 2;

    // types of operations in the log; never changed
    private static final int NEW_TERM = 0;
    private static final int COMMAND = 1;
    private static final int MEMBERS = 2;

    private RaftCodec() {}

    static void members(CborOut out, Collection<RaftEndpoint> members) {
        out.list(members, (item, member) -> item.text(member.toString()));
    }

    static Collection<RaftEndpoint> members(CborIn in) throws FaultyMessageException {
        List<RaftEndpoint> members = in.list(MAX_MEMBERS, VoterEndpoint::read);
        Collection<RaftEndpoint> distinct = new LinkedHashSet<>(members);
        if (distinct.size() != members.size()) {
            throw in.wrong("repeats a member");
        }
        return distinct;
    }

    static void view(CborOut out, RaftGroupMembersView view) {
        out.number(view.getLogIndex());
        members(out, view.getMembers());
        members(out, view.getVotingMembers());
    }

    static RaftGroupMembersView view(CborIn in) throws FaultyMessageException {
        long index = in.number(0, MAX_INDEX);
        Collection<RaftEndpoint> members = members(in);
        Collection<RaftEndpoint> voting = members(in);
        if (!members.containsAll(voting)) {
            throw in.wrong("names a voter that is not a member");
        }
        return view(index, members, voting);
    }

    static RaftGroupMembersView view(long index, Collection<RaftEndpoint> members, Collection<RaftEndpoint> voting) {
        return MODEL.createRaftGroupMembersViewBuilder()
                .setLogIndex(index)
                .setMembers(members)
                .setVotingMembers(voting)
                .build();
    }

    static void entry(CborOut out, LogEntry entry) {
        out.number(entry.getIndex()).number(entry.getTerm());
        operation(out, entry.getOperation());
    }

    static LogEntry entry(CborIn in) throws FaultyMessageException {
        long index = in.number(1, MAX_INDEX);
        int term = (int) in.number(1, Integer.MAX_VALUE);
        return MODEL.createLogEntryBuilder()
                .setIndex(index)
                .setTerm(term)
                .setOperation(operation(in))
                .build();
    }

    static void operation(CborOut out, Object operation) {
        if (operation instanceof LogOperation.Command command) {
            out.number(COMMAND).bytes(command.bytes());
        } else if (operation instanceof UpdateRaftGroupMembersOp op) {
            out.number(MEMBERS);
            members(out, op.getMembers());
            members(out, op.getVotingMembers());
            out.text(op.getEndpoint().toString()).number(op.getMode().ordinal());
        } else if (operation instanceof LogOperation.NewTerm) {
            out.number(NEW_TERM);
        } else {
            throw new IllegalArgumentException("not an operation of this log: " + operation);
        }
    }

    static Object operation(CborIn in) throws FaultyMessageException {
        switch ((int) in.number(NEW_TERM, MEMBERS)) {
            case COMMAND:
                return new LogOperation.Command(in.bytes(MAX_COMMAND_BYTES));
            case MEMBERS:
                Collection<RaftEndpoint> members = members(in);
                Collection<RaftEndpoint> voting = members(in);
                RaftEndpoint changed = VoterEndpoint.read(in);
                MembershipChangeMode mode =
                        MembershipChangeMode.values()[(int) in.number(0, MembershipChangeMode.values().length - 1)];
                return MODEL.createUpdateRaftGroupMembersOpBuilder()
                        .setMembers(members)
                        .setVotingMembers(voting)
                        .setEndpoint(changed)
                        .setMode(mode)
                        .build();
            default:
                return new LogOperation.NewTerm();
        }
    }

    static void chunk(CborOut out, SnapshotChunk chunk) {
        out.number(chunk.getIndex())
                .number(chunk.getTerm())
                .number(chunk.getSnapshotChunkIndex())
                .number(chunk.getSnapshotChunkCount())
                .bytes((byte[]) chunk.getOperation());
        view(out, chunk.getGroupMembersView());
    }

    static SnapshotChunk chunk(CborIn in) throws FaultyMessageException {
        long index = in.number(1, MAX_INDEX);
        int term = (int) in.number(0, Integer.MAX_VALUE);
        int number = (int) in.number(0, MAX_CHUNKS - 1);
        int count = (int) in.number(number + 1, MAX_CHUNKS);
        byte[] data = in.bytes(MAX_CHUNK_BYTES);
        return MODEL.createSnapshotChunkBuilder()
                .setIndex(index)
                .setTerm(term)
                .setSnapshotChunkIndex(number)
                .setSnapshotChunkCount(count)
                .setOperation(data)
                .setGroupMembersView(view(in))
                .build();
    }
}
