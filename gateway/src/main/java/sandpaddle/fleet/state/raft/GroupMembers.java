package sandpaddle.fleet.state.raft;

import io.microraft.RaftEndpoint;
import io.microraft.report.RaftGroupMembers;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * The members of the Raft group, sorted.
 *
 * @param index index of the log entry that set them
 * @param all voters and learners
 * @param voting the voters
 */
public record GroupMembers(long index, List<VoterEndpoint> all, List<VoterEndpoint> voting) {
    static GroupMembers of(RaftGroupMembers members) {
        return new GroupMembers(
                members.getLogIndex(), sorted(members.getMembers()), sorted(members.getVotingMembers()));
    }

    private static List<VoterEndpoint> sorted(Collection<RaftEndpoint> members) {
        return members.stream()
                .map(VoterEndpoint.class::cast)
                .sorted(Comparator.comparing(VoterEndpoint::name).thenComparing(VoterEndpoint::number))
                .toList();
    }
}
