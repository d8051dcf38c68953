package sandpaddle.fleet.state.voter;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.state.admit.JoinRequest;
import sandpaddle.fleet.state.admit.LocalVoterState;
import sandpaddle.fleet.state.admit.PeerIncarnations;
import sandpaddle.fleet.state.raft.VoterEndpoint;
import sandpaddle.fleet.store.StoreSettings;
import sandpaddle.fleet.store.VoterIdentity;
import sandpaddle.fleet.store.VoterStore;
import sandpaddle.fleet.store.disk.SimulatedDisk;
import sandpaddle.fleet.store.mv.MvVoterStore;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborOut;
import sandpaddle.recorded.RecordedFile;

/** The envelopes of voter messages and the values in the store have the bytes that an earlier version wrote. */
class RecordedVoterBytesTest {
    private static final RecordedFile ENVELOPES = new RecordedFile("voter-message-heads.txt");
    private static final RecordedFile VALUES = new RecordedFile("voter-values.txt");
    private static final List<String> KEYS =
            List.of("raft.lives", "raft.retired", "raft.faults", "raft.seen", "raft.initial", "raft.voting");
    private static final VoterEndpoint SELF = new VoterEndpoint("a", 2);
    private static final VoterEndpoint PEER = new VoterEndpoint("b", 1);

    @Test
    void envelopesAreWrittenAndReadAsRecorded() throws Exception {
        Map<String, byte[]> envelopes = new LinkedHashMap<>();
        for (VoterEnvelope.VoterMessageType type : VoterEnvelope.VoterMessageType.values()) {
            envelopes.put(
                    "head " + type.ordinal(),
                    new VoterEnvelope(type, Optional.of(SELF), -77, PEER)
                            .startMessage()
                            .done());
        }
        envelopes.put(
                "head without sender",
                new VoterEnvelope(VoterEnvelope.VoterMessageType.UNKNOWN_ENDPOINT, Optional.empty(), 0, PEER)
                        .startMessage()
                        .done());
        ENVELOPES.checkBytes(envelopes);
        for (byte[] recorded : ENVELOPES.bytes().values()) {
            assertArrayEquals(
                    recorded,
                    VoterEnvelope.read("a", new CborIn(recorded)).startMessage().done());
        }
    }

    @Test
    void joinRequestsAreWrittenAndReadAsRecorded() throws Exception {
        RecordedFile file = new RecordedFile("join-requests.txt");
        JoinRequest request = new JoinRequest(SELF, 5, List.of(1L, -9L), 7, 1234);
        CborOut out = new CborOut();
        request.write(out);
        file.checkBytes(Map.of("request", out.done()));
        assertEquals(request, JoinRequest.read(SELF, 5, new CborIn(file.bytes().get("request"))));
    }

    @Test
    void storedValuesAreWrittenAsRecorded() throws Exception {
        SimulatedDisk disk = new SimulatedDisk();
        StoreSettings settings = new StoreSettings(128 << 10, 256 << 10, 500_000, 1_000_000);
        Map<String, byte[]> values = new LinkedHashMap<>();
        try (VoterStore store = MvVoterStore.open(disk, "c", "a", settings, () -> 0)) {
            store.setIdentity(new VoterIdentity("c", "a", SELF.toString()));
            LocalVoterState local = new LocalVoterState(store, "c", "a");
            local.adoptEndpoint(SELF, List.of(SELF, PEER), store.recover());
            local.beginIncarnation(SELF, store.recover(), new Random(5));
            PeerIncarnations peers = local.peerIncarnations();
            peers.check(new JoinRequest(PEER, 99, List.of(98L), 3, 40));
            peers.recordProgress(PEER, 4, 41);
            local.savePeerIncarnations(peers);
            local.retire(SELF);
            for (String key : KEYS) {
                values.put(key, store.get(key).orElse(new byte[0]));
            }
        }
        VALUES.checkBytes(values);
        byte[] recordedPeers = VALUES.bytes().get("raft.seen");
        assertArrayEquals(recordedPeers, PeerIncarnations.read(recordedPeers).write());
    }
}
