package sandpaddle.fleet.limit.day;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.allocator.AllocatorOutput;
import sandpaddle.fleet.limit.allocator.QuotaAllocator;
import sandpaddle.fleet.limit.allocator.TargetPolicy;
import sandpaddle.fleet.limit.table.LimitCommand;
import sandpaddle.fleet.limit.table.LimitCommandOutcome;
import sandpaddle.fleet.limit.table.QuotaTable;

/**
 * Voters in virtual time, with an idealized consensus: one log and one leader. A former leader that has not learned of
 * the election goes on deciding by the state that it knew. Its proposals may still be committed late.
 */
final class SimulatedVoters {
    private static final long CLOCK_OFFSET_US = 77_000_000;

    /** A voter, which may become the leader. */
    static final class Voter {
        final QuotaTable table;
        final QuotaAllocator allocator;
        final double clockRate; // speed of its clock relative to true time
        // leadership queries: local time when sent, 1 if it was the leader, true time of the response
        final List<long[]> pendingConfirmations = new ArrayList<>();
        int appliedCommands;
        long term; // term that it believes to lead; 0 for none

        Voter(LimitSettings settings, TargetPolicy targets, double clockRate) {
            table = new QuotaTable(settings);
            allocator = new QuotaAllocator(settings, table, targets);
            this.clockRate = clockRate;
        }

        long localTimeUs(long nowUs) {
            return CLOCK_OFFSET_US + (long) (nowUs * clockRate);
        }
    }

    private record Proposal(long commitAtUs, LimitCommand command) {}

    final List<Voter> voters = new ArrayList<>();
    final QuotaTable committedTable; // the table after all committed commands
    private final List<LimitCommand> log = new ArrayList<>();
    private final List<Proposal> proposals = new ArrayList<>();
    private final Random random;
    private long term;
    int leader;
    long commitDelayUs = 60_000;

    SimulatedVoters(LimitSettings settings, TargetPolicy targets, Random random, double drift) {
        this.random = random;
        committedTable = new QuotaTable(settings);
        for (int i = 0; i < 3; i++) {
            voters.add(new Voter(settings, targets, 1 + drift * (2 * random.nextDouble() - 1)));
        }
        elect(0);
    }

    /** Commits an operator's command at once. */
    LimitCommandOutcome commit(LimitCommand command) {
        log.add(command);
        return committedTable.apply(command);
    }

    /** Elects another leader; the former one may not learn of it for a while. */
    void elect(int next) {
        leader = next;
        term++;
        Voter voter = voters.get(next);
        catchUp(voter);
        voter.term = term;
        voter.pendingConfirmations.clear();
        voter.allocator.elected(term);
    }

    private void catchUp(Voter voter) {
        while (voter.appliedCommands < log.size()) {
            voter.table.apply(log.get(voter.appliedCommands++));
        }
    }

    /** Runs the allocator of each voter that is the leader as far as it knows. Returns the outputs by voter. */
    Map<Integer, AllocatorOutput> step(long nowUs) {
        proposals.removeIf(proposal -> {
            if (proposal.commitAtUs <= nowUs) {
                log.add(proposal.command);
                committedTable.apply(proposal.command);
            }
            return proposal.commitAtUs <= nowUs;
        });
        Map<Integer, AllocatorOutput> outputs = new TreeMap<>();
        for (Voter voter : voters) {
            boolean isLeader = voter.term == term;
            if (isLeader || random.nextInt(30) == 0) {
                catchUp(voter); // a former leader applies the log only from time to time
            }
            if (voter.term == 0 || !isLeader && random.nextInt(60) == 0) {
                voter.term = 0;
                voter.allocator.deposed();
                continue;
            }
            voter.pendingConfirmations.removeIf(query -> {
                if (query[2] <= nowUs && query[1] == 1) {
                    voter.allocator.onLeadershipConfirmed(query[0]);
                }
                return query[2] <= nowUs;
            });
            voter.pendingConfirmations.add(
                    new long[] {voter.localTimeUs(nowUs), isLeader ? 1 : 0, nowUs + commitDelayUs});
            AllocatorOutput output = voter.allocator.tick(voter.localTimeUs(nowUs));
            for (LimitCommand command : output.proposals()) {
                boolean isDelayed = random.nextInt(20) == 0;
                if (isLeader || isDelayed) {
                    proposals.add(
                            new Proposal(nowUs + commitDelayUs + (isDelayed ? random.nextInt(3_000_000) : 0), command));
                }
            }
            outputs.put(voters.indexOf(voter), output);
        }
        return outputs;
    }
}
