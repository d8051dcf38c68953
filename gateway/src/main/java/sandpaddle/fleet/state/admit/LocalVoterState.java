package sandpaddle.fleet.state.admit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import sandpaddle.fleet.state.raft.StateRestorer;
import sandpaddle.fleet.state.raft.VoterEndpoint;
import sandpaddle.fleet.store.RecoveredState;
import sandpaddle.fleet.store.StoreException;
import sandpaddle.fleet.store.VoterIdentity;
import sandpaddle.fleet.store.VoterStore;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

/**
 * The stored state of a gateway as a voter besides its Raft state: its endpoint, its incarnations, and the incarnations
 * of the other voters. Owned by the consensus thread. Not final: a test replaces it to show what happens
 * without the stored state.
 */
public class LocalVoterState {
    private static final String INCARNATIONS_KEY = "raft.lives";
    private static final String RETIRED_KEY = "raft.retired";
    private static final String FAULTS_KEY = "raft.faults";
    private static final String PEERS_KEY = "raft.seen";
    private static final int MAX_TEXT_BYTES = 1000;

    private final VoterStore store;
    private final String cluster;
    private final String name;
    private PeerIncarnations peerIncarnations;

    /**
     * Creates the state of a voter.
     *
     * @param store the open store
     * @param cluster name of the fleet
     * @param name name of this gateway
     */
    public LocalVoterState(VoterStore store, String cluster, String name) {
        this.store = store;
        this.cluster = cluster;
        this.name = name;
    }

    /**
     * The endpoint that this store belongs to; empty for an empty store.
     *
     * @throws StoreException of kind FOREIGN if the store belongs to another gateway or cluster
     */
    public Optional<VoterEndpoint> endpoint(RecoveredState recovered) throws StoreException {
        if (recovered.identity().isEmpty()) {
            return Optional.empty();
        }
        VoterIdentity id = recovered.identity().get();
        if (!id.cluster().equals(cluster) || !id.member().equals(name)) {
            throw new StoreException(
                    StoreException.Kind.FOREIGN,
                    "the store belongs to " + id.member() + " of the cluster " + id.cluster() + ", not to " + name
                            + " of " + cluster);
        }
        try {
            return Optional.of(VoterEndpoint.parse(id.endpoint()));
        } catch (IllegalArgumentException e) {
            throw new StoreException(StoreException.Kind.CORRUPT, "the store's " + e.getMessage(), e);
        }
    }

    /** Why this endpoint may not vote any more according to its own store; empty if it may. */
    public Optional<String> disqualification(VoterEndpoint self, RecoveredState recovered) throws StoreException {
        if (text(RETIRED_KEY).equals(self.toString())) {
            return Optional.of("it was refused by a peer or removed from the group before");
        }
        if (recovered.isTrusted() && !StateRestorer.isPrepared(store)) {
            return Optional.of("the process was interrupted while it adopted this number");
        }
        String faults = faults(recovered);
        return faults.isEmpty() || faults.equals(text(FAULTS_KEY)) ? Optional.empty() : Optional.of(faults);
    }

    private static String faults(RecoveredState recovered) {
        String all = String.join("; ", recovered.faults());
        return all.substring(0, Math.min(MAX_TEXT_BYTES / 4, all.length()));
    }

    private String text(String key) throws StoreException {
        Optional<byte[]> stored = store.get(key);
        try {
            return stored.isEmpty() ? "" : new CborIn(stored.get()).text(MAX_TEXT_BYTES);
        } catch (FaultyMessageException e) {
            throw new StoreException(StoreException.Kind.CORRUPT, key + ": " + e.getMessage(), e);
        }
    }

    /** Marks the endpoint as never voting again; durable when it returns. */
    public void retire(VoterEndpoint self) throws StoreException {
        if (!store.recover().isTrusted()) {
            return; // reports its faults at each opening, and accepts no writes before it has a new endpoint
        }
        store.put(RETIRED_KEY, new CborOut().text(self.toString()).done());
    }

    /**
     * Draws a random incarnation for this opening of the store; durable when it returns, so that a later opening knows
     * it as a former one.
     */
    public JoinRequest beginIncarnation(VoterEndpoint self, RecoveredState recovered, Random random)
            throws StoreException {
        List<Long> former = incarnations();
        long incarnation = random.nextLong();
        List<Long> all = new ArrayList<>(former);
        all.add(incarnation);
        int evicted = Math.max(0, all.size() - JoinRequest.MAX_FORMER);
        store.put(
                INCARNATIONS_KEY,
                new CborOut()
                        .list(all.subList(evicted, all.size()), CborOut::number)
                        .done());
        return new JoinRequest(self, incarnation, former, recovered.term(), recovered.lastIndex());
    }

    private List<Long> incarnations() throws StoreException {
        Optional<byte[]> stored = store.get(INCARNATIONS_KEY);
        try {
            return stored.isEmpty()
                    ? List.of()
                    : new CborIn(stored.get())
                            .list(JoinRequest.MAX_FORMER, item -> item.number(Long.MIN_VALUE, Long.MAX_VALUE));
        } catch (FaultyMessageException e) {
            throw new StoreException(StoreException.Kind.CORRUPT, INCARNATIONS_KEY + ": " + e.getMessage(), e);
        }
    }

    /**
     * Adopts a new endpoint in a group. The log is retained: each of its entries was committed or is replaced by a
     * later leader, as with any slow voter. The identity is written last, so that a crash before leaves the old
     * endpoint, which is retired.
     *
     * @param self the new endpoint
     * @param initialVoters the voters that the group was bootstrapped with
     * @param recovered the content of the store
     */
    public void adoptEndpoint(VoterEndpoint self, List<VoterEndpoint> initialVoters, RecoveredState recovered)
            throws StoreException {
        VoterIdentity id = new VoterIdentity(cluster, name, self.toString());
        if (!recovered.isTrusted()) {
            store.setIdentity(id); // erases the store, which accepts writes again then
        }
        StateRestorer.prepare(store, initialVoters, false);
        store.put(
                INCARNATIONS_KEY,
                new CborOut().list(List.<Long>of(), CborOut::number).done());
        store.put(FAULTS_KEY, new CborOut().text(faults(recovered)).done());
        if (recovered.isTrusted()) {
            store.setIdentity(id);
        }
    }

    /**
     * The accepted incarnations of the peers. They are cached in memory, so that they survive a failure of the store.
     */
    public PeerIncarnations peerIncarnations() throws StoreException {
        Optional<byte[]> stored = peerIncarnations == null ? store.get(PEERS_KEY) : Optional.empty();
        try {
            if (peerIncarnations == null) {
                peerIncarnations = stored.isEmpty() ? new PeerIncarnations() : PeerIncarnations.read(stored.get());
            }
            return peerIncarnations;
        } catch (FaultyMessageException e) {
            throw new StoreException(StoreException.Kind.CORRUPT, PEERS_KEY + ": " + e.getMessage(), e);
        }
    }

    /** Stores the accepted incarnations of the peers; durable when it returns. */
    public void savePeerIncarnations(PeerIncarnations peerIncarnations) throws StoreException {
        store.put(PEERS_KEY, peerIncarnations.write());
    }
}
