package sandpaddle.fleet.state.voter;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import sandpaddle.fleet.state.raft.StateRestorer;
import sandpaddle.fleet.state.raft.VoterEndpoint;
import sandpaddle.fleet.store.RecoveredState;
import sandpaddle.fleet.store.StoreException;
import sandpaddle.fleet.store.VoterIdentity;
import sandpaddle.fleet.store.VoterStore;

/**
 * Bootstraps a fleet's group of voters: run once by the operator on each founder's empty store, like Kafka's {@code
 * kafka-storage format}. A gateway with an empty store never bootstraps by itself: it cannot distinguish a first start
 * from a lost disk, and two groups under one name would each allocate the whole of a limit.
 */
public final class GroupBootstrap {
    private GroupBootstrap() {}

    /**
     * Writes the identity of the founder {@code name} into an empty store; durable when it returns.
     *
     * @param store the open store
     * @param cluster name of the fleet
     * @param name name of this gateway
     * @param founders one, three or five names, the same list in the same order at each founder
     * @return why nothing was written; empty on success
     * @throws StoreException if the store cannot be written
     */
    public static Optional<String> format(VoterStore store, String cluster, String name, List<String> founders)
            throws StoreException {
        if (founders.size() != 1 && founders.size() != 3 && founders.size() != 5
                || new LinkedHashSet<>(founders).size() != founders.size()) {
            return Optional.of("founders are " + founders + "; expected one, three or five different names");
        }
        if (!founders.contains(name)) {
            return Optional.of("gateway " + name + " is not one of the founders " + founders);
        }
        RecoveredState recovered = store.recover();
        if (recovered.identity().isPresent() || recovered.lastIndex() > 0 || recovered.term() > 0) {
            return Optional.of("the store is not empty: it belongs to "
                    + recovered.identity().map(VoterIdentity::endpoint).orElse("no endpoint") + ", with term "
                    + recovered.term()
                    + " and entries up to " + recovered.lastIndex());
        }
        if (!recovered.isTrusted()) {
            return Optional.of("the store cannot be trusted: " + String.join("; ", recovered.faults()));
        }
        List<VoterEndpoint> initialVoters;
        try {
            initialVoters = founders.stream()
                    .map(founder -> new VoterEndpoint(founder, 1))
                    .toList();
        } catch (IllegalArgumentException e) {
            return Optional.of(e.getMessage());
        }
        StateRestorer.prepare(store, initialVoters, true);
        store.setIdentity(new VoterIdentity(cluster, name, new VoterEndpoint(name, 1).toString()));
        return Optional.empty();
    }
}
