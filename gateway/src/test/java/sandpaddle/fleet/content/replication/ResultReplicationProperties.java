package sandpaddle.fleet.content.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import sandpaddle.fleet.content.CachedResult;
import sandpaddle.fleet.content.ResultId;
import sandpaddle.fleet.content.SampleResults;
import sandpaddle.fleet.outage.plan.ReplicaOwners;

/** Gateways of a zone over links that lose, repeat and reorder messages, in virtual time. */
class ResultReplicationProperties {
    private static final ReplicationSettings SETTINGS = new ReplicationSettings(4, 1000, 3, 2_000_000, 1_000_000, 3);

    /** One gateway: its shelf and its copies. */
    private static final class Gateway implements ReplicaStore {
        private final Map<ResultId, CachedResult> results = new HashMap<>();
        private final ResultReplication replication =
                new ResultReplication(SETTINGS, this, a -> 100, (from, demand) -> {});
        private int receivedCount;
        private long receivedAgeMs;

        @Override
        public long requestedAtMs(ResultId id) {
            return results.containsKey(id) ? results.get(id).metadata().requestedAtWallMs() : -1;
        }

        @Override
        public Optional<CachedResult> find(ResultId id) {
            return Optional.ofNullable(results.get(id));
        }

        @Override
        public boolean put(CachedResult result, long ageMs) {
            results.put(result.metadata().key().id(), result);
            receivedCount++;
            receivedAgeMs = ageMs;
            return true;
        }

        void store(CachedResult result) {
            results.put(result.metadata().key().id(), result);
        }
    }

    private record InFlight(String from, String to, ReplicationMessage message) {}

    private final Map<String, Gateway> gateways = new TreeMap<>();
    private final List<InFlight> inFlight = new ArrayList<>();
    private Random random = new Random(1);
    private double lossRate;
    private long nowUs;

    private void startGateways(String... names) {
        for (String n : names) {
            gateways.put(n, new Gateway());
        }
        gateways.forEach((n, gateway) ->
                gateways.keySet().stream().filter(o -> !o.equals(n)).forEach(gateway.replication::connected));
    }

    private void send(String from, List<OutgoingMessage> out) {
        for (OutgoingMessage o : out) {
            for (int count = random.nextDouble() < lossRate ? random.nextInt(3) : 1; count > 0; count--) {
                inFlight.add(random.nextInt(inFlight.size() + 1), new InFlight(from, o.to(), o.message()));
            }
        }
    }

    private void step() {
        nowUs += 50_000;
        gateways.forEach((n, gateway) -> send(n, gateway.replication.tick(nowUs)));
        for (int i = inFlight.size(); i > 0 && !inFlight.isEmpty(); i--) {
            InFlight next = inFlight.remove(0);
            if (gateways.containsKey(next.to)) {
                send(next.to, gateways.get(next.to).replication.received(next.from, next.message, nowUs));
            }
        }
        gateways.values().forEach(n -> assertTrue(n.replication.incomingBytes() <= SETTINGS.maxIncomingBytes()));
    }

    private void offer(String from, String to, int count, int rows) {
        for (int i = 0; i < count; i++) {
            CachedResult result = SampleResults.result(i, 50, 1, rows);
            gateways.get(from).store(result);
            gateways.get(from).replication.offer(to, result.metadata().key().id());
        }
    }

    @Property(tries = 60, seed = "5")
    void transfersAllResultsOverUnreliableLinks(@ForAll long seed) {
        random = new Random(seed);
        gateways.clear();
        inFlight.clear();
        startGateways("a", "b");
        lossRate = 0.4;
        offer("a", "b", 20, 1 + random.nextInt(200));
        offer("a", "b", 1, 100_000); // four parts: a stray first one would fit elsewhere
        for (int i = 0; i < 400 && gateways.get("a").replication.pendingCount("b") > 0; i++) {
            if (random.nextInt(40) == 0) {
                gateways.get("a").replication.disconnected("b");
                inFlight.clear();
                gateways.get("a").replication.connected("b");
            }
            step();
        }
        lossRate = 0;
        for (int i = 0; i < 400; i++) {
            step();
        }
        assertEquals(0, gateways.get("a").replication.pendingCount("b"));
        assertEquals(20, gateways.get("b").results.size());
        gateways.get("a")
                .results
                .forEach((id, a) -> assertTrue(
                        SampleResults.areEqual(a, gateways.get("b").results.get(id))));
        assertEquals(0, gateways.get("b").replication.incomingBytes());
        assertEquals(
                0,
                gateways.get("b").replication.corruptCount(),
                "a duplicate or late chunk was stored at a wrong offset");
        assertTrue(inFlight.isEmpty(), "messages are still sent after all transfers ended");
    }

    @Example
    void resumesTransferAfterLostLink() {
        startGateways("a", "b");
        offer("a", "b", 1, 150_000); // about six parts
        step();
        step();
        long before = gateways.get("b").replication.incomingBytes();
        assertTrue(before > 1_000_000 && gateways.get("b").receivedCount == 0);
        gateways.get("a").replication.disconnected("b");
        inFlight.clear();
        int chunks = 0;
        gateways.get("a").replication.connected("b");
        while (gateways.get("b").receivedCount == 0) {
            nowUs += 50_000;
            send("a", gateways.get("a").replication.tick(nowUs));
            while (!inFlight.isEmpty()) {
                InFlight next = inFlight.remove(0);
                chunks += next.message instanceof ReplicationMessage.Chunk ? 1 : 0;
                send(next.to, gateways.get(next.to).replication.received(next.from, next.message, nowUs));
            }
        }
        assertTrue(chunks < 6, "all " + chunks + " chunks were sent again");
        assertEquals(
                100 + (nowUs - 50_000) / 1000, gateways.get("b").receivedAgeMs, "the age includes the transfer time");
    }

    @Example
    void repliesToRequestWithOfferOrNotFound() {
        startGateways("a", "b");
        gateways.get("a").store(SampleResults.result(1, 50, 1, 10));
        send(
                "b",
                List.of(
                        gateways.get("b")
                                .replication
                                .request("a", SampleResults.key(1).id()),
                        gateways.get("b")
                                .replication
                                .request("a", SampleResults.key(2).id())));
        for (int i = 0; i < 5; i++) {
            step();
        }
        assertEquals(1, gateways.get("b").receivedCount);
    }

    @Example
    void rejectsTransferWithWrongChecksumOrKey() {
        startGateways("b");
        Gateway b = gateways.get("b");
        byte[] encoded = SampleResults.result(1, 50, 1, 1).encode();
        ResultId other = SampleResults.key(2).id();
        for (int crc32c : new int[] {0, CachedResult.crc32c(encoded)}) { // a wrong checksum, then a wrong name
            ResultId id = crc32c == 0 ? SampleResults.key(1).id() : other;
            b.replication.received("x", new ReplicationMessage.Offer(id, 50, 0, encoded.length, crc32c), nowUs);
            assertEquals(
                    List.of(),
                    b.replication.received("x", new ReplicationMessage.Chunk(id, crc32c, 0, encoded), nowUs));
        }
        assertEquals(0, b.receivedCount);
        assertEquals(2, b.replication.corruptCount());
    }

    /** The asker stores, the other holder copies; then either dies, and the rest hold everything twice again. */
    @Example
    void restoresReplicasAfterLossOfAnyGateway() {
        for (String lost : List.of("a", "b", "c", "d")) {
            gateways.clear();
            inFlight.clear();
            startGateways("a", "b", "c", "d");
            List<String> live = List.copyOf(gateways.keySet());
            for (int i = 0; i < 100; i++) {
                CachedResult result = SampleResults.result(i, 50, 1, 5);
                ResultId id = result.metadata().key().id();
                String requester = ReplicaOwners.of(id, live).get(0);
                gateways.get(requester).store(result);
                gateways.get(requester)
                        .replication
                        .offer(
                                ReplicaOwners.replicationTarget(id, live, requester)
                                        .orElseThrow(),
                                id);
            }
            for (int i = 0; i < 100; i++) {
                step();
            }
            gateways.remove(lost);
            List<String> left = List.copyOf(gateways.keySet());
            gateways.forEach((name, gateway) -> {
                gateway.replication.disconnected(lost);
                gateway.replication.forget(lost);
                List.copyOf(gateway.results.keySet())
                        .forEach(id -> ReplicaOwners.replicationTargetsAfterChange(id, live, left, name)
                                .forEach(to -> gateway.replication.offer(to, id)));
            });
            for (int i = 0; i < 100; i++) {
                step();
            }
            for (int i = 0; i < 100; i++) {
                ResultId id = SampleResults.key(i).id();
                ReplicaOwners.of(id, left)
                        .forEach(o -> assertTrue(
                                gateways.get(o).results.containsKey(id),
                                "after the loss of " + lost + " " + o + " lacks " + id));
            }
        }
    }
}
