package sandpaddle.fleet.state.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import sandpaddle.fleet.state.Consensus.ProposalOutcome;
import sandpaddle.fleet.state.admit.JoinRequest;
import sandpaddle.fleet.state.admit.LocalVoterState;
import sandpaddle.fleet.state.admit.PeerIncarnations;
import sandpaddle.fleet.state.machine.FleetMembership;
import sandpaddle.fleet.state.machine.FleetStateMachine;
import sandpaddle.fleet.state.machine.StateMachinePart;
import sandpaddle.fleet.state.raft.RaftSettings;
import sandpaddle.fleet.state.voter.GroupBootstrap;
import sandpaddle.fleet.state.voter.Voter;
import sandpaddle.fleet.store.StoreException;
import sandpaddle.fleet.store.VoterStore;

/** Simulates the voters of one fleet in virtual time (us), and records what was acknowledged to their clients. */
public final class SimFleet {
    public static final long SECOND = 1_000_000;
    private static final byte NUMBER_LOG_TAG = 9;

    /** One gateway; its disk survives a crash of its process. */
    public final class Gateway {
        private final String name;
        private SimDisk disk = new SimDisk();
        private Voter voter; // null while the process is down
        private NumberLog numberLog;
        private long stalledUntil;

        Gateway(String name) {
            this.name = name;
        }

        public SimDisk disk() {
            return disk;
        }

        public String name() {
            return name;
        }

        public Voter voter() {
            return voter;
        }

        public NumberLog numberLog() {
            return numberLog;
        }

        /** Ends the process; writes that were not flushed are lost. */
        public void crash() {
            voter = null;
        }

        public void disk(SimDisk other) {
            disk = other;
        }

        /** Blocks its thread until then, as a write that takes long does. */
        public void stall(long until) {
            stalledUntil = until;
        }

        public void start() {
            VoterStore store = disk.open();
            numberLog = new NumberLog();
            StateMachinePart membership =
                    new StateMachinePart(FleetMembership.TAG, "membership", new FleetMembership());
            FleetStateMachine machine = new FleetStateMachine(
                    List.of(membership, new StateMachinePart(NUMBER_LOG_TAG, "register", numberLog)),
                    NumberLog.FAIL_ON_EXCEPTION);
            LocalVoterState localState =
                    acceptsAll ? new AcceptingVoterState(store, name) : new LocalVoterState(store, "c", name);
            Voter.VoterSettings settings = new Voter.VoterSettings("c", name, RAFT, membership);
            voter = new Voter(
                    settings,
                    store,
                    localState,
                    machine,
                    new Voter.VoterCallbacks() {
                        @Override
                        public void send(String to, byte[] message) {
                            net.send(name, to, message, now);
                        }

                        @Override
                        public void log(String message) {
                            logLines.add(now / 1000 + " ms " + name + ": " + message);
                        }
                    },
                    new Random(random.nextLong()),
                    now);
        }
    }

    /** Accepts all join requests: removes the check for disks that lost data. */
    private static final class AcceptingVoterState extends LocalVoterState {
        AcceptingVoterState(VoterStore store, String name) {
            super(store, "c", name);
        }

        @Override
        public PeerIncarnations peerIncarnations() {
            return new PeerIncarnations() {
                @Override
                public Optional<JoinRefusal> check(JoinRequest request) {
                    accept(request);
                    return Optional.empty();
                }
            };
        }
    }

    private static final RaftSettings RAFT = new RaftSettings(1, 3, 1000, 50);

    private final Random random;
    private final SimNetwork net;
    private final Map<String, Gateway> gateways = new TreeMap<>();
    private final List<String> logLines = new ArrayList<>();
    private final TreeSet<Long> acknowledged = new TreeSet<>();
    private final TreeMap<Long, Long> firstSeenLeadingAt = new TreeMap<>();
    private final boolean acceptsAll;
    private long now;
    private long nextValue = 1;
    private int unknownOutcomes;

    public SimFleet(long seed, List<String> founders, List<String> others) throws StoreException {
        this(seed, founders, others, false);
    }

    /**
     * Creates and starts a fleet.
     *
     * @param seed seed of all random decisions
     * @param founders names of the initial voters
     * @param others names of gateways with empty stores
     * @param acceptsAll whether voters accept all join requests, without the check for lost data
     */
    public SimFleet(long seed, List<String> founders, List<String> others, boolean acceptsAll) throws StoreException {
        this.acceptsAll = acceptsAll;
        random = new Random(seed);
        net = new SimNetwork(random);
        for (String name : founders) {
            Gateway g = add(name);
            VoterStore store = g.disk.open();
            Optional<String> problem = GroupBootstrap.format(store, "c", name, founders);
            if (problem.isPresent()) {
                throw new IllegalStateException(problem.get());
            }
            store.close();
            g.start();
        }
        others.forEach(name -> add(name).start());
    }

    private Gateway add(String name) {
        Gateway g = new Gateway(name);
        gateways.put(name, g);
        return g;
    }

    public Gateway gateway(String name) {
        return gateways.get(name);
    }

    public List<Gateway> all() {
        return List.copyOf(gateways.values());
    }

    public SimNetwork net() {
        return net;
    }

    public long now() {
        return now;
    }

    public Random random() {
        return random;
    }

    public List<String> logLines() {
        return logLines;
    }

    public TreeSet<Long> acknowledged() {
        return acknowledged;
    }

    /** Advances the time. */
    public void run(long us) {
        runUntil(() -> false, us);
    }

    /** Advances the time until a condition holds, but at most so long; returns whether it holds. */
    public boolean runUntil(BooleanSupplier condition, long us) {
        long end = now + us;
        while (!condition.getAsBoolean()) {
            long next = Math.min(end, net.nextArrivalAtUs());
            for (Gateway g : gateways.values()) {
                if (g.voter != null) {
                    next = Math.min(next, Math.max(g.stalledUntil, g.voter.nextRunAtUs()));
                }
            }
            now = Math.max(now, next);
            if (now >= end) {
                return condition.getAsBoolean();
            }
            step();
        }
        return true;
    }

    private void step() {
        while (net.nextArrivalAtUs() <= now) {
            SimNetwork.InFlightMessage message = net.take();
            Gateway g = gateways.get(message.to());
            if (g != null && g.voter != null && g.stalledUntil <= now && !net.isCut(message.from(), message.to())) {
                g.voter.receive(message.from(), message.message(), now);
            }
        }
        for (Gateway g : gateways.values()) {
            if (g.voter != null && g.stalledUntil <= now && g.voter.nextRunAtUs() <= now) {
                g.voter.step(now);
            }
            if (g.voter != null && g.voter.isLeader()) {
                firstSeenLeadingAt.putIfAbsent(g.voter.term(), now);
            }
        }
    }

    public Optional<Gateway> leader() {
        return gateways.values().stream()
                .filter(g -> g.voter != null && g.stalledUntil <= now && g.voter.isLeader())
                .max((left, right) -> Long.compare(left.voter.term(), right.voter.term()));
    }

    /** Whether a leader of a later term was seen before a time. */
    public boolean wasElected(long afterTerm, long before) {
        return firstSeenLeadingAt.tailMap(afterTerm, false).values().stream().anyMatch(time -> time < before);
    }

    /** Proposes the next number at a gateway; records whether it was acknowledged. */
    public long propose(Gateway g) {
        long value = nextValue++;
        g.voter.propose(
                new StateMachinePart(NUMBER_LOG_TAG, "register", g.numberLog).command(NumberLog.add(value)),
                outcome -> {
                    if (outcome instanceof ProposalOutcome.Committed) {
                        acknowledged.add(value);
                    } else if (outcome instanceof ProposalOutcome.Unknown) {
                        unknownOutcomes++;
                    }
                });
        return value;
    }

    public int unknownOutcomes() {
        return unknownOutcomes;
    }
}
