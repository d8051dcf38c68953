package sandpaddle.fleet.store;

import java.util.Optional;

/**
 * Detects by the records of its peers that a voter's directory was restored from an older copy (a rollback). Each
 * opening of a store durably increments its generation first, and a voter sends its generation, its number of flushes
 * and a random number drawn at its start to its peers. A peer that has recorded an equal or higher generation with
 * another start number knows of an opening that this directory does not contain. A disk cannot detect a rollback
 * alone; the idea is that of restart counters in virtual synchrony and of generation IDs of virtual machines. The cost
 * is constant. A directory that was not rolled back is never rejected; a rollback goes undetected if no peer received
 * the later generations and flushes.
 */
public final class GenerationCheck {
    /**
     * A peer's latest record of a voter.
     *
     * @param start random number drawn at the voter's start
     * @param generation generation of the voter's store
     * @param flushes number of its flushes over all openings
     */
    public record PeerRecord(long start, long generation, long flushes) {}

    private final long startNumber;
    private final long generation;
    private final long flushesAtOpening;

    /**
     * Creates a check for one opening of a store.
     *
     * @param start random number drawn at this start
     * @param generation generation of this opening
     * @param flushes number of flushes when it was opened
     */
    public GenerationCheck(long start, long generation, long flushes) {
        this.startNumber = start;
        this.generation = generation;
        this.flushesAtOpening = flushes;
    }

    /** Why a peer's record shows that this directory is an old copy; empty if it does not. */
    public Optional<String> findFault(String peer, PeerRecord peerRecord) {
        if (peerRecord.start() == startNumber && peerRecord.generation() <= generation) {
            return Optional.empty(); // of this opening, or of an earlier one in this process
        }
        if (peerRecord.generation() >= generation) {
            return Optional.of("directory has generation " + generation + ", but " + peer + " recorded generation "
                    + peerRecord.generation() + ": it was restored from an older copy");
        }
        if (peerRecord.flushes() > flushesAtOpening) {
            return Optional.of("directory had " + flushesAtOpening + " flushes when it was opened, but " + peer
                    + " recorded " + peerRecord.flushes() + ": it was restored from an older copy");
        }
        return Optional.empty();
    }
}
