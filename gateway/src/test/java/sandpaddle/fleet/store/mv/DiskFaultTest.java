package sandpaddle.fleet.store.mv;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.EnumSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.store.RecoveredState;
import sandpaddle.fleet.store.StoreException;
import sandpaddle.fleet.store.StoreState.Condition;
import sandpaddle.fleet.store.VoterIdentity;
import sandpaddle.fleet.store.disk.SimulatedDisk;
import sandpaddle.fleet.store.disk.SimulatedDisk.Kind;

/**
 * Fails each write, sync and directory change in turn. Acknowledged data must not be lost, and the store must open
 * again once the disk works.
 */
class DiskFaultTest {
    private static final Set<Kind> WRITES =
            EnumSet.of(Kind.OPEN, Kind.WRITE, Kind.TRUNCATE, Kind.RENAME, Kind.DELETE, Kind.SYNC_NAMES);
    private static final int FLUSHES = 4;
    private static final long LONG_DELAY_US = 100_000_000;

    private long nowUs;

    private MvVoterStore open(SimulatedDisk disk) throws StoreException {
        return MvVoterStore.open(disk, "c", "m", PowerLossTest.SMALL_STORE, () -> nowUs);
    }

    /**
     * Runs a random workload on a disk that fails.
     *
     * @param firstFailing index of the first operation of these kinds that fails; all later ones fail too
     * @param kinds kinds of operations that fail
     * @param error message of the failure
     * @param expected condition of the store after the failure
     * @return number of operations of these kinds if none failed, otherwise -1
     */
    private int runWithFault(int firstFailing, Set<Kind> kinds, String error, Condition expected)
            throws StoreException {
        SimulatedDisk disk = new SimulatedDisk();
        MvVoterStore store = open(disk);
        store.setIdentity(new VoterIdentity("c", "m", "m#1"));
        int[] operations = {0};
        disk.setFaultInjector((kind, name) -> {
            if (kinds.contains(kind) && operations[0]++ >= firstFailing) {
                throw new IOException(error);
            }
        });
        Random random = new Random(5);
        VoterStoreModel model = new VoterStoreModel();
        String previous = "";
        boolean failed = false;
        for (int i = 0; i < FLUSHES && !failed; i++) {
            previous = model.toString();
            try {
                model.drawChange(random).applyTo(store);
                if (i == FLUSHES / 2) {
                    store.close();
                    store = open(disk);
                }
                failed = !store.state().isWritable();
            } catch (StoreException e) {
                failed = true;
            }
        }
        int operationCount = operations[0];
        if (failed) {
            assertEquals(expected, store.state().condition(), store.state().reason());
            assertTrue(store.state().reason().contains(error), store.state().reason());
            long generation = generation(store);
            MvVoterStore closedStore = store;
            assertThrows(StoreException.class, () -> closedStore.append(999, 1, new byte[1]));
            nowUs += LONG_DELAY_US;
            assertFalse(store.probe(nowUs).isWritable(), "the disk still fails");
            disk.setFaultInjector((kind, name) -> {});
            nowUs += LONG_DELAY_US;
            assertEquals(Condition.WORKING, store.probe(nowUs).condition());
            assertTrue(store.recover().generation() > generation);
        }
        assertTrue(store.recover().isTrusted(), store.recover().faults().toString());
        String recovered = VoterStoreModel.describe(store);
        assertTrue(
                recovered.equals(model.toString()) || recovered.equals(previous),
                "first failing operation " + firstFailing + ", recovered " + recovered);
        store.close();
        return failed ? -1 : operationCount;
    }

    private static long generation(MvVoterStore store) throws StoreException {
        return store.recover().generation();
    }

    private void failEachOperation(Set<Kind> kinds, String error, Condition expected) throws StoreException {
        int operationCount = runWithFault(Integer.MAX_VALUE, kinds, error, expected);
        assertTrue(operationCount > FLUSHES, "only " + operationCount);
        for (int firstFailing = 0; firstFailing < operationCount; firstFailing++) {
            assertEquals(-1, runWithFault(firstFailing, kinds, error, expected));
        }
    }

    @Test
    void recoversFromAFullDiskAtAnyWrite() throws StoreException {
        failEachOperation(WRITES, "No space left on device", Condition.FULL);
    }

    @Test
    void recoversFromAReadOnlyDiskAtAnyWrite() throws StoreException {
        failEachOperation(WRITES, "Read-only file system", Condition.READ_ONLY);
    }

    @Test
    void recoversFromAnIoErrorAtAnySync() throws StoreException {
        failEachOperation(EnumSet.of(Kind.SYNC), "Input/output error", Condition.FAILING);
    }

    /** After a failed sync the page cache is not trusted, so the old file gets no more writes. */
    @Test
    void rewritesTheContentToANewFileAfterAFailedSync() throws StoreException {
        SimulatedDisk disk = new SimulatedDisk();
        MvVoterStore store = open(disk);
        store.append(1, 1, new byte[10]);
        store.flush();
        boolean[] failing = {true};
        disk.setFaultInjector((kind, name) -> {
            if (failing[0] && kind == Kind.SYNC) {
                throw new IOException("Input/output error");
            }
        });
        store.append(2, 1, new byte[10]);
        assertEquals(
                StoreException.Kind.IO,
                assertThrows(StoreException.class, store::flush).kind());
        failing[0] = false;
        nowUs += LONG_DELAY_US;
        assertTrue(store.probe(nowUs).isWritable());
        assertTrue(disk.bytes("voter-2.mv").length > 0);
        assertFalse(disk.fileNames().contains("voter-1.mv"));
        assertTrue(store.recover().lastIndex() >= 1);
    }

    @Test
    void opensOnlyWithEnoughFreeSpace() throws StoreException {
        SimulatedDisk disk = new SimulatedDisk();
        disk.setFreeBytes(PowerLossTest.SMALL_STORE.minFreeBytes() - 1);
        MvVoterStore store = open(disk);
        assertEquals(Condition.FULL, store.state().condition());
        assertEquals(RecoveredState.NOTHING, store.recover());
        disk.setFreeBytes(PowerLossTest.SMALL_STORE.minFreeBytes());
        assertFalse(store.probe(nowUs).isWritable(), "the probe is not due yet");
        nowUs += LONG_DELAY_US;
        assertTrue(store.probe(nowUs).isWritable());
    }

    @Test
    void exceedingTheSizeLimitFailsAsFull() throws StoreException {
        MvVoterStore store = open(new SimulatedDisk());
        store.append(1, 1, new byte[100 << 10]);
        StoreException full = assertThrows(StoreException.class, () -> store.append(2, 1, new byte[100 << 10]));
        assertEquals(StoreException.Kind.FULL, full.kind());
    }

    @Test
    void aSlowSyncMakesTheStoreSlowUntilItRecovers() throws StoreException {
        SimulatedDisk disk = new SimulatedDisk();
        MvVoterStore store = open(disk);
        disk.setFaultInjector((kind, name) -> nowUs += kind == Kind.SYNC ? 600_000 : 0);
        store.setTerm(1, null);
        assertEquals(Condition.SLOW, store.state().condition());
        assertTrue(store.state().reason().contains("600 ms"), store.state().reason());
        nowUs += LONG_DELAY_US;
        assertEquals(Condition.WORKING, store.probe(nowUs).condition());
    }
}
