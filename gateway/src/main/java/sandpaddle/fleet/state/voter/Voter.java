package sandpaddle.fleet.state.voter;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import sandpaddle.fleet.state.Consensus;
import sandpaddle.fleet.state.Replicated;
import sandpaddle.fleet.state.admit.LocalVoterState;
import sandpaddle.fleet.state.machine.MachinePart;
import sandpaddle.fleet.state.raft.Commands;
import sandpaddle.fleet.state.raft.Endpoint;
import sandpaddle.fleet.state.raft.RaftIncarnation;
import sandpaddle.fleet.state.raft.RaftSettings;
import sandpaddle.fleet.store.VoterStore;

/**
 * One gateway's part in the agreement: Raft (Ongaro and Ousterhout, 2014) by MicroRaft on our store and links.
 * Around it stands what Raft takes for granted: that a voter's disk never forgets. A gateway whose disk is empty,
 * old or failing does not vote; a failing one votes again once it takes writes, another comes back under a new
 * number when the leader invites it. It has no thread and no clock: the caller brings messages and time (us,
 * monotonic), one call at a time; writes to the store are made in these calls. Cost of a command: one message to and
 * from each voter, one flush each. Bounds: 512 entries under way, snapshots of 16 MiB.
 */
public final class Voter implements Consensus {
    /** What this gateway is to the group. */
    public enum Phase {
        /** Its store is empty or was given up: it follows, and votes when it is invited. */
        IDLE,
        /** Its store fails: it neither votes nor acknowledges until it takes writes again. */
        FAILED,
        /** It asks the other voters whether its disk forgot anything. */
        ASKING,
        /** It takes part, as a voter or as a learner that is to be one. */
        VOTING,
        /** Its endpoint is out of use; it waits for the leader to invite it under a new number. */
        RETIRED
    }

    /** Where messages and log lines go. */
    public interface Callbacks {
        void send(String to, byte[] message);

        /** A line for the log; at most a few for each event. */
        void said(String what);
    }

    /** {@code numbers}: the part that hands out endpoint numbers, one of the machine's. */
    public record Settings(String cluster, String name, RaftSettings raft, MachinePart membership) { }

    private static final long PROBE_EVERY_US = 100_000;

    private final VoterState standing;
    private boolean led;
    private long now;
    private long probeAt;
    private long membersAt = -1; // log index of the members that were looked at last
    private long highestTerm;

    /** Opens the store; {@code machine} is in its first state and changed only by this from now on. */
    public Voter(Settings settings, VoterStore store, Replicated machine, Callbacks around, Random random, long now) {
        this(settings, store, new LocalVoterState(store, settings.cluster(), settings.name()), machine, around, random,
                now);
    }

    /** The same with another memory of who was met; tests show with one what happens without it. */
    public Voter(Settings settings, VoterStore store, LocalVoterState disk, Replicated machine, Callbacks around,
            Random random,
            long now) {
        this.now = now;
        this.standing = new VoterState(settings, store, disk, machine, around, random);
        standing.open(now);
    }

    /** Runs what is due at {@code at}. */
    public void step(long at) {
        now = Math.max(now, at);
        if (now >= probeAt) {
            probeAt = now + PROBE_EVERY_US;
            if (standing.store().retry(now).writable() && standing.phase() == Phase.FAILED) {
                standing.open(now);
            }
        }
        standing.step(now);
        standing.life().ifPresent(l -> l.run(now));
        settle();
    }

    /** Takes a message that came from the gateway {@code from}. */
    public void received(String from, byte[] message, long at) {
        now = Math.max(now, at);
        standing.door().received(from, message, now);
        settle();
    }

    /** Looks at what a step changed. */
    private void settle() {
        if (!standing.lives()) {
            led = false;
            membersAt = -1;
            return;
        }
        RaftIncarnation life = standing.life().orElseThrow();
        highestTerm = Math.max(highestTerm, life.term());
        if (life.effectiveIndex() != membersAt) {
            membersAt = life.effectiveIndex();
            standing.admission().orElseThrow().members(life.effective());
        }
        MembershipChanger changer = standing.changer().orElseThrow();
        if (life.isLeader()) {
            changer.step(life, now);
            life.run(now);
        } else if (led) {
            changer.end(leader());
        }
        led = life.isLeader();
    }

    /** When to call {@link #step} again (us). */
    public long next() {
        long next = Math.min(probeAt, standing.admission().map(Admission::next).orElse(Long.MAX_VALUE));
        return Math.min(next, standing.life().map(RaftIncarnation::next).orElse(Long.MAX_VALUE));
    }

    /** Ends it for good: leaves the store as it is. */
    public void close() {
        standing.stop("this gateway ends");
    }

    public Phase phase() {
        return standing.phase();
    }

    /** Under which this gateway votes, or did last. */
    public Optional<Endpoint> endpoint() {
        return standing.self();
    }

    /** The committed members, learners too; empty where this gateway takes no part. */
    public List<Endpoint> members() {
        return standing.life().map(l -> l.committed().all()).orElse(List.of());
    }

    /** Messages that were dropped because they cannot be read. */
    public long malformed() {
        return standing.door().malformed();
    }

    Optional<RaftIncarnation> life() {
        return standing.life();
    }

    /** For the log: phase, endpoint, term, and the members as committed. */
    @Override
    public String toString() {
        return phase() + " " + endpoint().map(Endpoint::toString).orElse("") + " term " + highestTerm + " leader "
            + leader().orElse("none") + life().map(l -> " committed " + l.committed() + " newest " + l.effective())
            .orElse("") + standing.admission().map(a -> " " + a).orElse("");
    }

    @Override
    public void propose(byte[] command, Consumer<Outcome> outcome) {
        if (command.length > Commands.MAX_BYTES) {
            throw new IllegalArgumentException("a command of " + command.length + " bytes, more than "
                + Commands.MAX_BYTES);
        }
        if (!isLeader()) {
            outcome.accept(new Outcome.NotLeader(leader()));
            return;
        }
        standing.proposals().propose(standing.life().orElseThrow(), command, outcome);
    }

    @Override
    public void confirm(Consumer<Boolean> leads) {
        if (standing.life().isEmpty()) {
            leads.accept(false);
            return;
        }
        standing.rounds().ask(standing.life().get(), leads);
    }

    @Override
    public boolean isLeader() {
        return standing.life().map(RaftIncarnation::isLeader).orElse(false);
    }

    @Override
    public long term() {
        return highestTerm;
    }

    @Override
    public Optional<String> leader() {
        return standing.life().flatMap(RaftIncarnation::leader).map(Endpoint::name);
    }

    @Override
    public List<String> voters() {
        return standing.life().map(l -> l.committed().voting().stream().map(Endpoint::name).distinct().toList())
            .orElse(List.of());
    }

    @Override
    public void changeVoters(List<String> names, Consumer<Outcome> outcome) {
        if (!isLeader()) {
            outcome.accept(new Outcome.NotLeader(leader()));
            return;
        }
        standing.changer().orElseThrow().change(names, now, outcome);
    }
}
