package sandpaddle.fleet.state.sim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import sandpaddle.fleet.state.sim.SimFleet.Gateway;
import sandpaddle.fleet.state.voter.GroupBootstrap;
import sandpaddle.fleet.state.voter.Voter.VoterPhase;
import sandpaddle.fleet.store.StoreException;

/**
 * One run of a simulated fleet with random, overlapping faults and clients that propose numbers. At the end the
 * invariants are checked: every acknowledged number is applied, in one order, and once.
 */
public final class RandomFaultRun {
    private static final long SECOND = SimFleet.SECOND;
    private static final int FAULTS = 40;

    private final SimFleet fleet;
    private final Random random;
    private final List<String> founders;
    private final List<String> violations = new ArrayList<>();
    private Optional<SimDisk> diskCopy = Optional.empty();
    private String copiedName = "";
    private int restoredCopies;

    public RandomFaultRun(long seed, int voters) throws StoreException {
        founders = List.of("a", "b", "c", "d", "e").subList(0, voters);
        fleet = new SimFleet(seed, founders, List.of("x"));
        random = fleet.random();
    }

    public SimFleet fleet() {
        return fleet;
    }

    public int restoredCopies() {
        return restoredCopies;
    }

    /** Runs it. Returns the violated invariants. */
    public List<String> run() throws StoreException {
        for (int i = 0; i < FAULTS; i++) {
            injectFault();
            long until = fleet.now() + (long) (random.nextDouble() * 2.5 * SECOND);
            while (fleet.now() < until) {
                runClients();
                fleet.run(50_000 + random.nextInt(300_000));
            }
        }
        awaitRecovery();
        checkInvariants();
        return violations;
    }

    private Gateway randomFounder() {
        return fleet.gateway(founders.get(random.nextInt(founders.size())));
    }

    private void injectFault() throws StoreException {
        Gateway g = randomFounder();
        Gateway other = randomFounder();
        switch (random.nextInt(14)) {
            case 0, 1 -> g.crash();
            case 2, 3, 4 -> startAll();
            case 5 -> g.disk().health(random.nextBoolean() ? SimDisk.Health.FULL : SimDisk.Health.FAILING);
            case 6 -> fleet.all().forEach(gateway -> gateway.disk().health(SimDisk.Health.GOOD));
            case 7 -> fleet.net().cut(g.name(), other.name());
            case 8 -> {
                fleet.net().cut(g.name(), other.name());
                fleet.net().cut(other.name(), g.name());
            }
            case 9 ->
                fleet.net()
                        .conditions(new SimNetwork.NetworkConditions(
                                500,
                                random.nextBoolean() ? 2_000_000 : 200_000,
                                random.nextDouble() * 0.2,
                                random.nextDouble() * 0.3));
            case 10 -> fleet.net().heal();
            case 11 -> g.stall(fleet.now() + (long) (random.nextDouble() * 8 * SECOND));
            case 12 -> {
                diskCopy = Optional.of(g.disk().copy());
                copiedName = g.name();
            }
            default -> loseData();
        }
    }

    private void startAll() {
        fleet.all().stream().filter(g -> g.voter() == null).forEach(Gateway::start);
    }

    /**
     * Empties one disk or restores it from an old copy, while all other voters are up: losing a second disk at the same
     * time can lose committed entries, which Raft does not tolerate.
     */
    private void loseData() throws StoreException {
        fleet.net().heal();
        startAll();
        fleet.all().forEach(gateway -> gateway.disk().health(SimDisk.Health.GOOD));
        if (!fleet.runUntil(this::allFoundersVote, 90 * SECOND)) {
            violations.add("not all founders vote 90 s after the last fault");
            return;
        }
        // an old copy of the same incarnation is detected only by the progress that peers saw since they were opened
        fleet.run(3 * SECOND);
        Gateway g = diskCopy.isPresent() && random.nextInt(3) > 0 ? fleet.gateway(copiedName) : randomFounder();
        g.crash();
        if (g.name().equals(copiedName) && diskCopy.isPresent()) {
            g.disk(diskCopy.get().copy());
            restoredCopies++;
        } else {
            g.disk(new SimDisk());
            if (random.nextBoolean()) {
                GroupBootstrap.format(g.disk().open(), "c", g.name(), founders);
            }
        }
        g.start();
        fleet.run(5 * SECOND);
    }

    /** Whether each founder votes, and no other gateway is a member. */
    private boolean allFoundersVote() {
        return fleet.leader()
                        .map(leader -> leader.voter().voters().equals(founders))
                        .orElse(false)
                && founders.stream()
                        .allMatch(name -> fleet.gateway(name).voter() != null
                                && fleet.gateway(name).voter().phase() == VoterPhase.VOTING
                                && fleet.gateway(name).voter().members().size() == founders.size()
                                && fleet.gateway(name).voter().voters().equals(founders));
    }

    private void runClients() {
        for (Gateway g : fleet.all()) {
            if (g.voter() != null && g.voter().isLeader()) {
                fleet.propose(g);
                long at = fleet.now();
                long term = g.voter().term();
                g.voter().confirmLeadership(leads -> {
                    if (leads && fleet.wasElected(term, at)) {
                        violations.add(
                                g.name() + " was confirmed in term " + term + " after a later leader was elected");
                    }
                });
            }
        }
    }

    private void awaitRecovery() {
        fleet.net().heal();
        fleet.all().forEach(gateway -> gateway.disk().health(SimDisk.Health.GOOD));
        startAll();
        if (!fleet.runUntil(this::allFoundersVote, 120 * SECOND)) {
            violations.add("not all founders vote 120 s after the last fault of the run");
        }
        int before = fleet.acknowledged().size();
        for (int i = 0; i < 30 && fleet.acknowledged().size() == before; i++) {
            runClients();
            fleet.run(SECOND);
        }
        if (fleet.acknowledged().size() == before) {
            violations.add("no proposal is acknowledged at the end");
        }
        fleet.run(5 * SECOND);
    }

    private void checkInvariants() {
        List<Long> longestValues = List.of();
        for (String name : founders) {
            Gateway g = fleet.gateway(name);
            List<Long> values = g.voter() == null ? List.of() : g.numberLog().values();
            if (new HashSet<>(values).size() != values.size()) {
                violations.add(name + " applied a number twice");
            }
            List<Long> shorterValues = values.size() < longestValues.size() ? values : longestValues;
            if (!shorterValues.equals(
                    (values.size() < longestValues.size() ? longestValues : values).subList(0, shorterValues.size()))) {
                violations.add(name + " applied the numbers in another order");
            }
            longestValues = shorterValues == longestValues ? values : longestValues;
        }
        HashSet<Long> lost = new HashSet<>(fleet.acknowledged());
        longestValues.forEach(lost::remove);
        if (!lost.isEmpty()) {
            violations.add("acknowledged numbers that were lost: " + lost.size());
        }
    }

    @Override
    public String toString() {
        StringBuilder all = new StringBuilder(String.join("\n", fleet.logLines()));
        for (Gateway g : fleet.all()) {
            all.append('\n').append(g.name()).append(": ");
            if (g.voter() != null) {
                all.append(g.voter());
            }
        }
        return all.toString();
    }
}
