package sandpaddle.fleet.content.disk;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class SavedStateTest {
    private final FaultInjectingDirectory files = new FaultInjectingDirectory();
    private final SavedState state = new SavedState(files, "margins");

    @Test
    void keepsPreviousStateIfSavingFails() {
        assertEquals(Optional.empty(), state.load().state());
        assertEquals(Optional.empty(), state.save(new byte[] {1, 2}));
        for (int at = 0; at < 4; at++) {
            files.failingOperation = files.operations + at;
            files.failsWithDiskFull = at % 2 == 0;
            assertTrue(state.save(new byte[] {3, (byte) at}).isPresent());
            files.crash();
            assertArrayEquals(
                    new byte[] {1, 2}, state.load().state().orElseThrow(), "after a fault at operation " + at);
        }
        files.failingOperation = -1;
        assertEquals(Optional.empty(), state.save(new byte[] {4}));
        files.crash();
        assertArrayEquals(new byte[] {4}, state.load().state().orElseThrow());
        assertTrue(state.save(new byte[SavedState.MAX_BYTES + 1]).isPresent());
    }

    @Test
    void reportsFlippedBitAsCorrupt() {
        state.save(new byte[] {1, 2, 3});
        byte[] complete = files.files.get("margins").clone();
        for (int i = 0; i < complete.length; i++) {
            byte[] flipped = complete.clone();
            flipped[i] ^= 4;
            files.files.put("margins", flipped);
            assertEquals(
                    DiskFault.Kind.CORRUPT, state.load().fault().orElseThrow().kind());
        }
    }
}
