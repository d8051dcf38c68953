package sandpaddle.fleet.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sandpaddle.fleet.store.StoreState.Condition;

class DiskHealthTest {
    private static final long PROBE_INTERVAL_US = 1_000_000;

    private final DiskHealth health = new DiskHealth(StoreSettings.DEFAULTS, 0);

    @Test
    void firstProbeIsDueImmediately() {
        assertTrue(health.isProbeDue(0));
        assertFalse(health.state(0).isWritable());
        health.onOpened(5);
        assertFalse(health.isProbeDue(5));
        assertEquals(StoreState.WORKING, health.state(5));
    }

    @Test
    void probeIntervalDoublesWhileProbesFail() {
        health.onOpened(0);
        long nowUs = 100 * PROBE_INTERVAL_US;
        for (long step : new long[] {1, 2, 4, 8, 16, 16}) {
            health.onFailed(StoreException.Kind.FULL, "no space", nowUs);
            assertEquals(new StoreState(Condition.FULL, "no space"), health.state(nowUs));
            assertFalse(health.isProbeDue(nowUs + step * PROBE_INTERVAL_US - 1), "step " + step);
            nowUs += step * PROBE_INTERVAL_US;
            assertTrue(health.isProbeDue(nowUs), "step " + step);
        }
    }

    @Test
    void failureSoonAfterRecoveryKeepsTheBackoff() {
        health.onOpened(0);
        health.onFailed(StoreException.Kind.IO, "a", 100 * PROBE_INTERVAL_US);
        health.onOpened(101 * PROBE_INTERVAL_US);
        health.onFailed(StoreException.Kind.IO, "b", 102 * PROBE_INTERVAL_US);
        assertFalse(health.isProbeDue(103 * PROBE_INTERVAL_US));
        assertTrue(health.isProbeDue(104 * PROBE_INTERVAL_US));
        health.onOpened(104 * PROBE_INTERVAL_US);
        health.onFailed(StoreException.Kind.IO, "c", 120 * PROBE_INTERVAL_US);
        assertTrue(
                health.isProbeDue(121 * PROBE_INTERVAL_US),
                "it worked for 16 probe intervals, so the backoff is reset");
    }

    @Test
    void slowConditionEndsAfterTenProbeIntervalsWithoutASlowSync() {
        health.onOpened(0);
        health.onSynced(StoreSettings.DEFAULTS.slowFsyncUs(), 1);
        assertEquals(Condition.WORKING, health.state(1).condition());
        health.onSynced(StoreSettings.DEFAULTS.slowFsyncUs() + 1, 2);
        assertEquals(Condition.SLOW, health.state(10 * PROBE_INTERVAL_US + 1).condition());
        assertEquals(Condition.WORKING, health.state(10 * PROBE_INTERVAL_US + 2).condition());
    }

    @Test
    void freeSpaceForTwoCopiesIsRequired() {
        assertFalse(health.hasEnoughSpace(StoreSettings.DEFAULTS.minFreeBytes() - 1));
        assertTrue(health.hasEnoughSpace(StoreSettings.DEFAULTS.minFreeBytes()));
        assertThrows(IllegalArgumentException.class, () -> new StoreSettings(1 << 20, (2 << 20) - 1, 1, 1));
    }
}
