package sandpaddle.fleet.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sandpaddle.fleet.store.GenerationCheck.PeerRecord;

class GenerationCheckTest {
    private final GenerationCheck check = new GenerationCheck(7, 5, 100);

    private boolean isOldCopy(long start, long generation, long flushes) {
        return check.findFault("p", new PeerRecord(start, generation, flushes)).isPresent();
    }

    @Test
    void directoryThatWasNotRolledBackIsNeverRejected() {
        assertTrue(!isOldCopy(7, 5, 130), "the record is of this start, whatever the number of flushes");
        assertTrue(!isOldCopy(6, 4, 100));
        assertTrue(!isOldCopy(6, 2, 9));
    }

    @Test
    void restoredOldCopyIsRejected() {
        assertTrue(isOldCopy(6, 6, 0), "a later opening");
        assertTrue(isOldCopy(6, 5, 0), "the same generation, but another start");
        assertTrue(isOldCopy(6, 4, 101), "an earlier opening with more flushes");
    }

    @Test
    void reasonNamesThePeer() {
        assertEquals(
                "directory has generation 5, but hall2-a recorded generation 9: it was restored from an older copy",
                check.findFault("hall2-a", new PeerRecord(6, 9, 0)).orElseThrow());
    }
}
