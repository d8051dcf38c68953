package sandpaddle.fleet.node.agree;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tinylog.Logger;
import sandpaddle.fleet.node.MonotonicClock;
import sandpaddle.fleet.state.Consensus;
import sandpaddle.fleet.state.machine.FleetStateMachine;
import sandpaddle.fleet.state.voter.Voter;
import sandpaddle.fleet.store.StoreException;
import sandpaddle.fleet.store.VoterStore;

/**
 * Runs the {@link Voter} on its own thread, so that a slow disk sync delays neither queries nor heartbeats. The thread
 * is named {@code fleet-raft}; comments call it the consensus thread. Calls are accepted on any thread and queued for
 * it. Their outcomes are passed to the fleet executor, whose thread ({@code fleet}, "the fleet's thread") runs this
 * gateway's other fleet code. If the voter's directory cannot be opened, for example because another process has locked
 * it, opening it is retried every 2 s, and until then this gateway does not vote.
 */
public final class VoterThread implements AutoCloseable {
    /**
     * State of this gateway in the consensus group after the last step.
     *
     * @param phase name of the {@link Voter.VoterPhase}, or {@code NO_STORE} before the directory was opened
     * @param isLeader whether this gateway is the leader as far as it knows; another may have been elected since
     * @param term highest known term
     * @param leader name of the leader, if one is known
     * @param voters names of the gateways that vote
     * @param store state of the store, for logs
     */
    public record Status(
            String phase, boolean isLeader, long term, Optional<String> leader, List<String> voters, String store) {
        static final Status NONE = new Status("NO_STORE", false, 0, Optional.empty(), List.of(), "closed");
    }

    /** Opens the voter's store. */
    public interface StoreOpener {
        /**
         * Opens the store and locks its directory.
         *
         * @throws StoreException if it cannot be opened, for example while another process holds the lock
         */
        VoterStore open() throws StoreException;
    }

    private static final int MAX_QUEUED = 1 << 16;
    private static final long MAX_STEP_INTERVAL_US = 50_000;
    private static final long REOPEN_INTERVAL_US = 2_000_000;
    private static final long MAX_CLOSE_WAIT_MS = 2000;

    private final Voter.VoterSettings settings;
    private final StoreOpener storeOpener;
    private final FleetStateMachine machine;
    private final Voter.VoterCallbacks callbacks;
    private final MonotonicClock clock;
    private final Executor fleetExecutor;
    private final Random random;
    private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>(MAX_QUEUED);
    private final Thread thread;
    private Voter voter; // null until the directory is opened and locked
    private VoterStore store;
    private long nextOpenAtUs;
    private String lastOpenFailure = "";
    private volatile Status status = Status.NONE;
    private volatile boolean closed;

    /**
     * Starts the consensus thread.
     *
     * @param settings settings of the voter
     * @param storeOpener opens the store, on the consensus thread
     * @param machine the replicated state machine
     * @param callbacks sends messages and writes log lines, on the consensus thread
     * @param clock the monotonic clock
     * @param fleetExecutor runs the outcomes of calls, on the fleet's thread
     * @param seed seed of the random decisions of Raft
     */
    public VoterThread(
            Voter.VoterSettings settings,
            StoreOpener storeOpener,
            FleetStateMachine machine,
            Voter.VoterCallbacks callbacks,
            MonotonicClock clock,
            Executor fleetExecutor,
            long seed) {
        this.settings = settings;
        this.storeOpener = storeOpener;
        this.machine = machine;
        this.callbacks = callbacks;
        this.clock = clock;
        this.fleetExecutor = fleetExecutor;
        random = new Random(seed);
        thread = new Thread(this::run, "fleet-raft");
        thread.setDaemon(true);
        thread.start();
    }

    /** The state after the last step; from any thread. */
    public Status status() {
        return status;
    }

    private void run() {
        while (!closed) {
            try {
                runStep();
            } catch (InterruptedException e) {
                closed = true;
            } catch (RuntimeException e) {
                Logger.error(e, "fleet: a step of the consensus thread failed");
            }
        }
        if (voter != null) {
            voter.close();
            store.close();
        }
    }

    private void runStep() throws InterruptedException {
        long nowUs = clock.now();
        if (voter == null && nowUs >= nextOpenAtUs) {
            open(nowUs);
        }
        long next = voter == null ? nextOpenAtUs : Math.min(voter.nextRunAtUs(), nowUs + MAX_STEP_INTERVAL_US);
        Runnable task = queue.poll(Math.max(0, next - nowUs), TimeUnit.MICROSECONDS);
        for (int i = 0; task != null && i < MAX_QUEUED; i++) {
            task.run();
            task = queue.poll();
        }
        if (voter != null) {
            voter.step(clock.now());
            status = new Status(
                    voter.phase().name(),
                    voter.isLeader(),
                    voter.term(),
                    voter.leader(),
                    voter.voters(),
                    store.state().toString());
        }
    }

    private void open(long nowUs) {
        nextOpenAtUs = nowUs + REOPEN_INTERVAL_US;
        try {
            store = storeOpener.open();
            voter = new Voter(settings, store, machine, callbacks, random, nowUs);
        } catch (StoreException e) {
            String failure = e.kind() + ": " + e.getMessage();
            if (!failure.equals(lastOpenFailure)) {
                lastOpenFailure = failure;
                Logger.error("fleet: cannot open the voter directory, so this gateway does not vote: {}", failure);
            }
        }
    }

    private boolean enqueue(Runnable task) {
        return !closed && queue.offer(task);
    }

    /**
     * Queues a proposal, see {@link Consensus#propose}; from any thread. {@code outcome} is called on the fleet's
     * thread: with {@code NotLeader} also if the store is not open, with {@code Unknown} also if the queue is full or
     * this object is closed. A proposal that is still queued when this object is closed gets no outcome.
     */
    public void propose(byte[] command, Consumer<Consensus.ProposalOutcome> outcome) {
        Consumer<Consensus.ProposalOutcome> onFleetThread =
                result -> fleetExecutor.execute(() -> outcome.accept(result));
        if (!enqueue(() -> {
            if (voter == null) {
                onFleetThread.accept(new Consensus.ProposalOutcome.NotLeader(Optional.empty()));
            } else {
                voter.propose(command, onFleetThread);
            }
        })) {
            onFleetThread.accept(new Consensus.ProposalOutcome.Unknown("the queue of the consensus thread is full"));
        }
    }

    /**
     * Queues a check of the leadership, see {@link Consensus#confirmLeadership}; from any thread. {@code outcome} is
     * called on the fleet's thread: with false also if the store is not open, the queue is full or this object is
     * closed. A check that is still queued when this object is closed gets no outcome.
     */
    public void confirmLeadership(Consumer<Boolean> outcome) {
        Consumer<Boolean> onFleetThread = isLeader -> fleetExecutor.execute(() -> outcome.accept(isLeader));
        if (!enqueue(() -> {
            if (voter == null) {
                onFleetThread.accept(false);
            } else {
                voter.confirmLeadership(onFleetThread);
            }
        })) {
            onFleetThread.accept(false);
        }
    }

    /**
     * Queues a change of the voters, see {@link Consensus#changeVoters}; from any thread. If the queue is full, the
     * store is not open or this object is closed, the change is dropped and {@code outcome} is never called. Otherwise
     * {@code outcome} is called on the fleet's thread.
     */
    public void changeVoters(List<String> names, Consumer<Consensus.ProposalOutcome> outcome) {
        Consumer<Consensus.ProposalOutcome> onFleetThread =
                result -> fleetExecutor.execute(() -> outcome.accept(result));
        enqueue(() -> {
            if (voter != null) {
                voter.changeVoters(names, onFleetThread);
            }
        });
    }

    /**
     * Queues a consensus message of a peer; from any thread. It is dropped if the queue is full or the store is not
     * open, as Raft tolerates lost messages.
     */
    public void receive(String from, byte[] message) {
        enqueue(() -> {
            if (voter != null) {
                voter.receive(from, message, clock.now());
            }
        });
    }

    /**
     * Queues a task for the consensus thread, where it may wait for the disk; from any thread. It is dropped if the
     * queue is full.
     */
    public void execute(Runnable task) {
        enqueue(task);
    }

    /**
     * Reads the replicated state, see {@link FleetStateMachine#read}; from any thread. Commands are not applied until
     * {@code reader} returns, so it must be short and must not block.
     */
    public <T> T read(Supplier<T> reader) {
        return machine.read(reader);
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
        try {
            thread.join(MAX_CLOSE_WAIT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
