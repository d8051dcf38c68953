package sandpaddle.fleet.store.mv;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.store.StoreException;
import sandpaddle.fleet.store.StoreSettings;
import sandpaddle.fleet.store.VoterIdentity;
import sandpaddle.fleet.store.disk.SimulatedDisk;

/**
 * Simulates a power loss after each disk operation of a random history; a random part of the operations that were not
 * synced is lost. Before a sync, where most operations are not synced, several such parts are tried.
 */
class PowerLossTest {
    static final StoreSettings SMALL_STORE = new StoreSettings(128 << 10, 256 << 10, 500_000, 1_000_000);
    private static final int FLUSHES = 18;
    private static final int FLUSHES_PER_OPENING = 7;

    /**
     * What a voter had acknowledged.
     *
     * @param operations number of disk operations when it was acknowledged
     * @param state acknowledged content
     * @param nextState content after the change in progress from then on
     */
    private record Acknowledgement(int operations, String state, String nextState) {}

    private record History(SimulatedDisk disk, List<Acknowledgement> acknowledged) {}

    private static MvVoterStore open(SimulatedDisk disk) throws StoreException {
        return MvVoterStore.open(disk, "c", "m", SMALL_STORE, () -> 0);
    }

    private static History runHistory(long seed, boolean ignoreSyncs, boolean acknowledgeEarly) throws StoreException {
        Random random = new Random(seed);
        SimulatedDisk disk = new SimulatedDisk();
        MvVoterStore store = open(disk);
        store.setIdentity(new VoterIdentity("c", "m", "m#1"));
        if (ignoreSyncs) {
            disk.ignoreSyncs();
        }
        VoterStoreModel model = new VoterStoreModel();
        List<Acknowledgement> acknowledgements = new ArrayList<>();
        for (int i = 1; i <= FLUSHES; i++) {
            String previous = model.toString();
            VoterStoreModel.Change change = model.drawChange(random);
            acknowledgements.add(new Acknowledgement(
                    disk.operationCount(), acknowledgeEarly ? model.toString() : previous, model.toString()));
            change.applyTo(store);
            if (i % FLUSHES_PER_OPENING == 0) {
                acknowledgements.add(new Acknowledgement(disk.operationCount(), model.toString(), model.toString()));
                store.close();
                store = open(disk);
            }
        }
        acknowledgements.add(new Acknowledgement(disk.operationCount(), model.toString(), model.toString()));
        assertEquals(model.toString(), VoterStoreModel.describe(store));
        return new History(disk, acknowledgements);
    }

    /** The first crash after which the recovered content is neither the acknowledged nor the next one; null if none. */
    private static String findLoss(History history, long seed, int draws) throws StoreException {
        Random random = new Random(seed);
        int acknowledgedIndex = 0;
        for (int operations = history.acknowledged.get(0).operations;
                operations <= history.disk.operationCount();
                operations++) {
            while (acknowledgedIndex + 1 < history.acknowledged.size()
                    && history.acknowledged.get(acknowledgedIndex + 1).operations <= operations) {
                acknowledgedIndex++;
            }
            Acknowledgement expected = history.acknowledged.get(acknowledgedIndex);
            boolean beforeSync = history.disk.isSync(operations);
            for (int draw = beforeSync ? 0 : operations % draws;
                    draw < (beforeSync ? draws : operations % draws + 1);
                    draw++) {
                SimulatedDisk after = history.disk.afterCrash(operations, survivors(draw, random));
                try (MvVoterStore store = open(after)) {
                    String recovered = VoterStoreModel.describe(store);
                    if (!store.recover().isTrusted()
                            || !recovered.equals(expected.state) && !recovered.equals(expected.nextState)) {
                        return "crash after operation " + operations + ", draw " + draw + ": "
                                + store.recover().faults()
                                + store.state()
                                + "\n recovered " + recovered + "\n acknowledged " + expected.state + "\n or "
                                + expected.nextState;
                    }
                }
            }
        }
        return null;
    }

    private static IntPredicate survivors(int draw, Random random) {
        if (draw < 2) {
            return i -> draw == 0; // everything survives, then nothing
        }
        double survivalProbability = draw % 2 == 0 ? 0.5 : 0.9;
        return i -> random.nextDouble() < survivalProbability;
    }

    @Test
    void acknowledgedDataSurvivesAPowerLossAtAnyOperation() throws StoreException {
        History history = runHistory(1, false, false);
        assertEquals(null, findLoss(history, 2, 6));
    }

    @Test
    void findsALossIfSyncsHaveNoEffect() throws StoreException {
        assertTrue(findLoss(runHistory(1, true, false), 2, 6) != null);
    }

    @Test
    void findsALossIfChangesAreAcknowledgedBeforeTheFlush() throws StoreException {
        assertTrue(findLoss(runHistory(1, false, true), 2, 6) != null);
    }
}
