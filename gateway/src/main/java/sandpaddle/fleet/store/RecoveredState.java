package sandpaddle.fleet.store;

import java.util.List;
import java.util.Optional;

/**
 * The durable state of a voter.
 *
 * @param identity owner of the store; empty for a new directory and for one whose header cannot be read
 * @param generation number of openings, incremented durably at each; 0 if the directory could not be opened yet
 * @param flushes number of flushes over all openings; never decreases
 * @param term the current term; 0 if none was stored
 * @param vote the endpoint voted for in {@code term}
 * @param snapshot the newest complete snapshot
 * @param entries the entries after the snapshot, in order and without gaps
 * @param faults what was corrupt and is not used, one sentence each; if not empty, acknowledged data may be missing,
 *     so the owner must not vote again as the same endpoint
 */
public record RecoveredState(
        Optional<VoterIdentity> identity,
        long generation,
        long flushes,
        int term,
        Optional<String> vote,
        Optional<StoredSnapshot> snapshot,
        List<StoredEntry> entries,
        List<String> faults) {
    /** The state of a directory that could not be opened yet. */
    public static final RecoveredState NOTHING =
            new RecoveredState(Optional.empty(), 0, 0, 0, Optional.empty(), Optional.empty(), List.of(), List.of());

    /** Whether the directory was opened and no acknowledged data is known to be missing. */
    public boolean isTrusted() {
        return generation > 0 && faults.isEmpty();
    }

    /** The index of the last entry, or of the snapshot if no entry follows it; 0 for an empty log. */
    public long lastIndex() {
        return entries.isEmpty()
                ? snapshot.map(StoredSnapshot::index).orElse(0L)
                : entries.get(entries.size() - 1).index();
    }
}
