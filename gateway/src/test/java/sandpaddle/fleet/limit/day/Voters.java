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
 * Voters in virtual time, with consensus as what it promises: one log; one true leader; a former one that does not know
 * it yet goes on deciding with what it knew. Its proposals may still get into the log late.
 */
final class Voters {
    /** One that may lead. */
    static final class Voter {
        final QuotaTable table;
        final QuotaAllocator allocator;
        final double rate;
        final List<long[]> asked = new ArrayList<>(); // confirmations: its clock then, whether it led, when it hears
        int applied;
        long term; // that it believes to lead, 0 for none

        Voter(LimitSettings settings, TargetPolicy targets, double rate) {
            table = new QuotaTable(settings);
            allocator = new QuotaAllocator(settings, table, targets);
            this.rate = rate;
        }

        long clock(long now) {
            return 77_000_000 + (long) (now * rate);
        }
    }

    private record Proposal(long at, LimitCommand command) {}

    final List<Voter> voters = new ArrayList<>();
    final QuotaTable truth; // what is agreed on
    private final List<LimitCommand> log = new ArrayList<>();
    private final List<Proposal> proposals = new ArrayList<>();
    private final Random random;
    private long term;
    int leader;
    long agreeUs = 60_000;

    Voters(LimitSettings settings, TargetPolicy targets, Random random, double drift) {
        this.random = random;
        truth = new QuotaTable(settings);
        for (int i = 0; i < 3; i++) {
            voters.add(new Voter(settings, targets, 1 + drift * (2 * random.nextDouble() - 1)));
        }
        elect(0);
    }

    /** An operator's command, agreed on at once. */
    LimitCommandOutcome agree(LimitCommand command) {
        log.add(command);
        return truth.apply(command);
    }

    /** Another leads; the former may not hear of it for a while. */
    void elect(int next) {
        leader = next;
        term++;
        Voter voter = voters.get(next);
        catchUp(voter);
        voter.term = term;
        voter.asked.clear();
        voter.allocator.elected(term);
    }

    private void catchUp(Voter voter) {
        while (voter.applied < log.size()) {
            voter.table.apply(log.get(voter.applied++));
        }
    }

    /** Each one that believes to lead decides. */
    Map<Integer, AllocatorOutput> turn(long now) {
        proposals.removeIf(p -> {
            if (p.at <= now) {
                log.add(p.command);
                truth.apply(p.command);
            }
            return p.at <= now;
        });
        Map<Integer, AllocatorOutput> turns = new TreeMap<>();
        for (Voter voter : voters) {
            boolean leads = voter.term == term;
            if (leads || random.nextInt(30) == 0) {
                catchUp(voter); // a cut off voter is late
            }
            if (voter.term == 0 || !leads && random.nextInt(60) == 0) {
                voter.term = 0;
                voter.allocator.deposed();
                continue;
            }
            voter.asked.removeIf(a -> {
                if (a[2] <= now && a[1] == 1) {
                    voter.allocator.onLeadershipConfirmed(a[0]);
                }
                return a[2] <= now;
            });
            voter.asked.add(new long[] {voter.clock(now), leads ? 1 : 0, now + agreeUs});
            AllocatorOutput turn = voter.allocator.tick(voter.clock(now));
            for (LimitCommand command : turn.proposals()) {
                boolean late = random.nextInt(20) == 0;
                if (leads || late) {
                    proposals.add(new Proposal(now + agreeUs + (late ? random.nextInt(3_000_000) : 0), command));
                }
            }
            turns.put(voters.indexOf(voter), turn);
        }
        return turns;
    }
}
