package sandpaddle.fleet.store.mv;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sandpaddle.fleet.store.GenerationCheck;
import sandpaddle.fleet.store.RecoveredState;
import sandpaddle.fleet.store.StoreException;
import sandpaddle.fleet.store.VoterIdentity;
import sandpaddle.fleet.store.disk.Disk;
import sandpaddle.fleet.store.disk.NioDisk;
import sandpaddle.fleet.store.disk.SimulatedDisk;

/** Reopens a directory whose files were lost, corrupted, restored from a copy, or belong to another member. */
class VoterDirectoryTest {
    private static final VoterIdentity ID = new VoterIdentity("c", "m", "m#1");

    private final SimulatedDisk disk = new SimulatedDisk();

    private static MvVoterStore open(Disk disk) throws StoreException {
        return MvVoterStore.open(disk, "c", "m", PowerLossTest.SMALL_STORE, () -> 0);
    }

    @BeforeEach
    void createDirectory() throws StoreException {
        try (MvVoterStore store = open(disk)) {
            store.setIdentity(ID);
            store.setTerm(7, "x#1");
            for (int i = 1; i <= 20; i++) {
                store.append(i, 7, new byte[500]);
            }
            store.flush();
            store.put("floor", new byte[] {1, 2});
        }
    }

    private void assertUntrustedUntilNewEndpoint(String fault) throws StoreException {
        for (int i = 0; i < 2; i++) { // it stays untrusted over openings
            try (MvVoterStore store = open(disk)) {
                RecoveredState recovered = store.recover();
                assertFalse(recovered.isTrusted());
                assertTrue(
                        recovered.faults().get(0).contains(fault),
                        recovered.faults().toString());
                assertEquals(0, recovered.lastIndex());
                assertThrows(StoreException.class, () -> store.setTerm(8, null));
                if (recovered.identity().isPresent()) {
                    assertThrows(
                            StoreException.class, () -> store.setIdentity(ID), "the old endpoint may not vote again");
                }
            }
        }
        try (MvVoterStore store = open(disk)) {
            store.setIdentity(new VoterIdentity("c", "m", "m#2"));
            store.setTerm(1, null);
        }
        try (MvVoterStore store = open(disk)) {
            assertTrue(store.recover().isTrusted());
            assertEquals("m#2", store.recover().identity().orElseThrow().endpoint());
            assertEquals(1, store.recover().term());
        }
    }

    @Test
    void recoversAllContentWhenReopened() throws StoreException {
        try (MvVoterStore store = open(disk)) {
            RecoveredState recovered = store.recover();
            assertEquals(
                    List.of(ID, 2L, 7, "x#1", 20, 20L),
                    List.of(
                            recovered.identity().orElseThrow(),
                            recovered.generation(),
                            recovered.term(),
                            recovered.vote().orElseThrow(),
                            recovered.entries().size(),
                            recovered.lastIndex()));
            assertEquals(2, store.get("floor").orElseThrow()[1]);
        }
    }

    @Test
    void corruptionAtAnyPositionIsDetectedOrHarmless() throws StoreException {
        byte[] content = disk.bytes("voter-1.mv");
        int faults = 0;
        for (int at = 0; at < content.length; at += 512) {
            SimulatedDisk damaged = disk.copy();
            damaged.corrupt("voter-1.mv", at, 16);
            try (MvVoterStore store = open(damaged)) {
                RecoveredState recovered = store.recover();
                faults += recovered.isTrusted() ? 0 : 1;
                boolean complete = recovered.term() == 7
                        && recovered.entries().size() == 20
                        && store.get("floor").isPresent();
                assertEquals(recovered.isTrusted(), complete, "corrupt at " + at + " " + recovered.faults());
                assertEquals(!recovered.isTrusted(), damaged.fileNames().contains("voter-1.bad"));
            }
        }
        assertTrue(faults > 10, "only " + faults + " corruptions detected");
    }

    @Test
    void aCorruptFileIsReportedAndNotTrusted() throws StoreException {
        disk.corrupt("voter-1.mv", 8192, disk.bytes("voter-1.mv").length - 8192);
        assertUntrustedUntilNewEndpoint("voter-1.mv is corrupt");
    }

    @Test
    void aMissingFileIsReportedAndNotTrusted() throws Exception {
        disk.delete("voter-1.mv");
        assertUntrustedUntilNewEndpoint("voter-1.mv is missing");
    }

    @Test
    void aDirectoryWithAnUnreadableHeaderIsNotTreatedAsNew() throws StoreException {
        disk.corrupt("voter.id", 0, 8192);
        assertUntrustedUntilNewEndpoint("voter.id cannot be read");
    }

    @Test
    void oneIntactHeaderSlotIsSufficient() throws StoreException {
        disk.corrupt("voter.id", 0, 4096);
        try (MvVoterStore store = open(disk)) {
            assertTrue(store.recover().isTrusted());
        }
    }

    @Test
    void anEmptyDirectoryIsNew() throws StoreException {
        try (MvVoterStore store = open(new SimulatedDisk())) {
            assertTrue(store.recover().identity().isEmpty());
            assertEquals(1, store.recover().generation());
            assertTrue(store.recover().isTrusted());
        }
    }

    @Test
    void aRestoredOldCopyIsDetectedByThePeersRecord() throws StoreException {
        SimulatedDisk copy = disk.copy();
        GenerationCheck.PeerRecord peerRecord;
        try (MvVoterStore store = open(disk)) {
            RecoveredState recovered = store.recover();
            store.setTerm(9, "y#1");
            peerRecord = new GenerationCheck.PeerRecord(
                    11, recovered.generation(), store.recover().flushes());
            assertTrue(new GenerationCheck(11, recovered.generation(), recovered.flushes())
                    .findFault("p", peerRecord)
                    .isEmpty());
        }
        try (MvVoterStore store = open(copy)) {
            RecoveredState recovered = store.recover();
            String reason = new GenerationCheck(12, recovered.generation(), recovered.flushes())
                    .findFault("p", peerRecord)
                    .orElseThrow();
            store.distrust(reason);
            assertThrows(StoreException.class, () -> store.setTerm(9, "z#1"));
            assertEquals(List.of(reason), store.recover().faults());
        }
        try (MvVoterStore store = open(disk)) {
            RecoveredState recovered = store.recover();
            assertTrue(new GenerationCheck(13, recovered.generation(), recovered.flushes())
                    .findFault("p", peerRecord)
                    .isEmpty());
        }
    }

    @Test
    void theDirectoryOfAnotherMemberIsRejected() {
        StoreException e = assertThrows(
                StoreException.class, () -> MvVoterStore.open(disk, "c", "other", PowerLossTest.SMALL_STORE, () -> 0));
        assertEquals(StoreException.Kind.FOREIGN, e.kind());
        assertTrue(e.getMessage().contains("belongs to m of cluster c, not to other of cluster c"), e.getMessage());
    }

    @Test
    void aSecondStoreInTheSameDirectoryIsRejected(@TempDir Path directory) throws StoreException {
        MvVoterStore store = open(new NioDisk(directory));
        store.setTerm(3, null);
        StoreException e = assertThrows(StoreException.class, () -> open(new NioDisk(directory)));
        assertEquals(StoreException.Kind.LOCKED, e.kind());
        assertTrue(e.getMessage().contains(directory.toString()), e.getMessage());
        store.close();
        try (MvVoterStore next = open(new NioDisk(directory))) {
            assertEquals(3, next.recover().term());
        }
    }

    @Test
    void fileSizeStaysBoundedUnderALongLog() throws StoreException {
        try (MvVoterStore store = open(disk)) {
            long maxFileBytes = 0;
            for (int i = 21; i < 1500; i++) {
                store.append(i, 7, new byte[300]);
                store.truncateUntil(i - 40);
                store.flush();
                for (String name : disk.fileNames()) {
                    maxFileBytes = Math.max(maxFileBytes, disk.bytes(name).length);
                }
            }
            assertEquals(40, store.recover().entries().size());
            assertTrue(maxFileBytes <= 4 * PowerLossTest.SMALL_STORE.maxBytes(), "file grew to " + maxFileBytes);
        }
    }
}
