package sandpaddle.fleet.node.agree;

import java.util.Optional;
import sandpaddle.fleet.FleetSettings;
import sandpaddle.fleet.node.MonotonicClock;
import sandpaddle.fleet.state.voter.GroupBootstrap;
import sandpaddle.fleet.store.StoreException;
import sandpaddle.fleet.store.StoreState;
import sandpaddle.fleet.store.VoterStore;
import sandpaddle.fleet.store.disk.NioDisk;
import sandpaddle.fleet.store.mv.MvVoterStore;

/** Opens and formats a voter's directory in the file system. */
public final class VoterDirectory {
    private VoterDirectory() {}

    static VoterStore open(FleetSettings settings, String name, MonotonicClock clock) throws StoreException {
        return MvVoterStore.open(
                new NioDisk(settings.directory()), settings.cluster(), name, settings.store(), clock::now);
    }

    /**
     * Writes the identity of the founder {@code name} into its empty directory; see {@link GroupBootstrap#format}.
     *
     * @return why nothing was written; empty on success
     * @throws StoreException if the directory cannot be opened or written
     */
    public static Optional<String> format(FleetSettings settings, String name) throws StoreException {
        try (VoterStore store = open(settings, name, new MonotonicClock())) {
            StoreState state = store.state();
            if (!state.isWritable()) {
                return Optional.of("the store is not writable: " + state);
            }
            return GroupBootstrap.format(store, settings.cluster(), name, settings.founders());
        }
    }
}
