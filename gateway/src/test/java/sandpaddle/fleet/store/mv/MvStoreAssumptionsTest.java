package sandpaddle.fleet.store.mv;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.store.disk.SimulatedDisk;

/** Behaviour of MVStore 2.3.232 that the store's own checks assume or compensate for. */
class MvStoreAssumptionsTest {
    private final SimulatedDisk disk = new SimulatedDisk();

    private MVStore open() throws IOException {
        String name = ChannelFilePath.registerChannel(new DiskFileChannel(disk.open("f")));
        try {
            return new MVStore.Builder()
                    .fileName(name)
                    .autoCommitDisabled()
                    .autoCommitBufferSize(0)
                    .open();
        } finally {
            ChannelFilePath.unregisterChannel(name);
        }
    }

    @Test
    void closesItselfAfterAFailedWrite() throws IOException {
        MVStore store = open();
        MVMap<Long, byte[]> map = store.openMap("m");
        map.put(1L, new byte[10]);
        store.commit();
        disk.setFaultInjector((kind, name) -> {
            if (kind == SimulatedDisk.Kind.WRITE) {
                throw new IOException("No space left on device");
            }
        });
        map.put(2L, new byte[10]);
        assertThrows(MVStoreException.class, store::commit);
        disk.setFaultInjector((kind, name) -> {});
        assertTrue(store.isClosed());
        assertThrows(MVStoreException.class, () -> map.put(3L, new byte[10]));
    }

    @Test
    void staysOpenAfterAFailedSyncAndTheNextSyncSucceeds() throws IOException {
        MVStore store = open();
        store.openMap("m").put(1L, new byte[10]);
        store.commit();
        disk.setFaultInjector((kind, name) -> {
            if (kind == SimulatedDisk.Kind.SYNC) {
                throw new IOException("Input/output error");
            }
        });
        assertThrows(MVStoreException.class, store::sync);
        disk.setFaultInjector((kind, name) -> {});
        assertFalse(store.isClosed());
        store.sync(); // a retry would wrongly report the data as durable
        assertEquals(1, store.openMap("m").size());
    }

    @Test
    void readsAChunkWithACorruptMiddleWithoutAnError() throws IOException {
        MVStore store = open();
        byte[] value = new byte[20_000];
        java.util.Arrays.fill(value, (byte) 1);
        store.<Long, byte[]>openMap("m").put(1L, value);
        store.commit();
        store.closeImmediately();
        disk.corrupt("f", 3 * 4096, 512);
        assertFalse(
                java.util.Arrays.equals(value, open().<Long, byte[]>openMap("m").get(1L)));
    }
}
