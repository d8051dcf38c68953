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
import sandpaddle.fleet.content.ContentId;
import sandpaddle.fleet.content.Stored;
import sandpaddle.fleet.content.StoredAnswer;
import sandpaddle.fleet.outage.plan.ReplicaOwners;

/** Gateways of a zone over links that lose, repeat and reorder messages, in virtual time. */
class AnswerReplicationProperties {
    private static final ReplicationSettings SETTINGS = new ReplicationSettings(4, 1000, 3, 2_000_000, 1_000_000, 3);

    /** One gateway: its shelf and its copies. */
    private static final class Node implements ReplicaStore {
        private final Map<ContentId, StoredAnswer> held = new HashMap<>();
        private final AnswerReplication copies = new AnswerReplication(SETTINGS, this, a -> 100, (from, want) -> {});
        private int taken;
        private long ageTold;

        @Override
        public long askedAt(ContentId id) {
            return held.containsKey(id) ? held.get(id).meta().askedWall() : -1;
        }

        @Override
        public Optional<StoredAnswer> find(ContentId id) {
            return Optional.ofNullable(held.get(id));
        }

        @Override
        public boolean take(StoredAnswer answer, long ageMs) {
            held.put(answer.meta().key().id(), answer);
            taken++;
            ageTold = ageMs;
            return true;
        }

        void store(StoredAnswer a) {
            held.put(a.meta().key().id(), a);
        }
    }

    private record Flight(String from, String to, ReplicationMessage message) {}

    private final Map<String, Node> nodes = new TreeMap<>();
    private final List<Flight> flights = new ArrayList<>();
    private Random random = new Random(1);
    private double loss;
    private long now;

    private void start(String... names) {
        for (String n : names) {
            nodes.put(n, new Node());
        }
        nodes.forEach(
                (n, node) -> nodes.keySet().stream().filter(o -> !o.equals(n)).forEach(node.copies::up));
    }

    private void send(String from, List<OutgoingMessage> out) {
        for (OutgoingMessage o : out) {
            for (int copies = random.nextDouble() < loss ? random.nextInt(3) : 1; copies > 0; copies--) {
                flights.add(random.nextInt(flights.size() + 1), new Flight(from, o.to(), o.message()));
            }
        }
    }

    private void step() {
        now += 50_000;
        nodes.forEach((n, node) -> send(n, node.copies.tick(now)));
        for (int i = flights.size(); i > 0 && !flights.isEmpty(); i--) {
            Flight f = flights.remove(0);
            if (nodes.containsKey(f.to)) {
                send(f.to, nodes.get(f.to).copies.received(f.from, f.message, now));
            }
        }
        nodes.values().forEach(n -> assertTrue(n.copies.incomingBytes() <= SETTINGS.maxBytes()));
    }

    private void offer(String from, String to, int count, int rows) {
        for (int i = 0; i < count; i++) {
            StoredAnswer a = Stored.answer(i, 50, 1, rows);
            nodes.get(from).store(a);
            nodes.get(from).copies.offer(to, a.meta().key().id());
        }
    }

    @Property(tries = 60, seed = "5")
    void allCopiesArriveWhateverTheLinksDo(@ForAll long seed) {
        random = new Random(seed);
        nodes.clear();
        flights.clear();
        start("a", "b");
        loss = 0.4;
        offer("a", "b", 20, 1 + random.nextInt(200));
        offer("a", "b", 1, 100_000); // four parts: a stray first one would fit elsewhere
        for (int i = 0; i < 400 && nodes.get("a").copies.open("b") > 0; i++) {
            if (random.nextInt(40) == 0) {
                nodes.get("a").copies.down("b");
                flights.clear();
                nodes.get("a").copies.up("b");
            }
            step();
        }
        loss = 0;
        for (int i = 0; i < 400; i++) {
            step();
        }
        assertEquals(0, nodes.get("a").copies.open("b"));
        assertEquals(20, nodes.get("b").held.size());
        nodes.get("a")
                .held
                .forEach(
                        (id, a) -> assertTrue(Stored.same(a, nodes.get("b").held.get(id))));
        assertEquals(0, nodes.get("b").copies.incomingBytes());
        assertEquals(0, nodes.get("b").copies.broken(), "a part that came twice, or late, was put elsewhere");
        assertTrue(flights.isEmpty(), "messages go on for ever");
    }

    @Example
    void aCopyGoesOnWhereItStood() {
        start("a", "b");
        offer("a", "b", 1, 150_000); // about six parts
        step();
        step();
        long before = nodes.get("b").copies.incomingBytes();
        assertTrue(before > 1_000_000 && nodes.get("b").taken == 0);
        nodes.get("a").copies.down("b");
        flights.clear();
        int parts = 0;
        nodes.get("a").copies.up("b");
        while (nodes.get("b").taken == 0) {
            now += 50_000;
            send("a", nodes.get("a").copies.tick(now));
            while (!flights.isEmpty()) {
                Flight f = flights.remove(0);
                parts += f.message instanceof ReplicationMessage.Chunk ? 1 : 0;
                send(f.to, nodes.get(f.to).copies.received(f.from, f.message, now));
            }
        }
        assertTrue(parts < 6, "all of " + parts + " parts were sent again");
        assertEquals(100 + (now - 50_000) / 1000, nodes.get("b").ageTold, "the time on the way counts");
    }

    @Example
    void whatIsAskedForIsOfferedOrNotThere() {
        start("a", "b");
        nodes.get("a").store(Stored.answer(1, 50, 1, 10));
        send(
                "b",
                List.of(
                        nodes.get("b").copies.ask("a", Stored.key(1).id()),
                        nodes.get("b").copies.ask("a", Stored.key(2).id())));
        for (int i = 0; i < 5; i++) {
            step();
        }
        assertEquals(1, nodes.get("b").taken);
    }

    @Example
    void bytesThatAreNotWhatWasOfferedAreNotTaken() {
        start("b");
        Node b = nodes.get("b");
        byte[] body = Stored.answer(1, 50, 1, 1).body();
        ContentId other = Stored.key(2).id();
        for (int crc : new int[] {0, StoredAnswer.crc(body)}) { // a wrong checksum, then a wrong name
            ContentId id = crc == 0 ? Stored.key(1).id() : other;
            b.copies.received("x", new ReplicationMessage.Offer(id, 50, 0, body.length, crc), now);
            assertEquals(List.of(), b.copies.received("x", new ReplicationMessage.Chunk(id, crc, 0, body), now));
        }
        assertEquals(0, b.taken);
        assertEquals(2, b.copies.broken());
    }

    /** The asker stores, the other holder copies; then either dies, and the rest hold everything twice again. */
    @Example
    void theDeathOfOneGatewayLosesNothing() {
        for (String dead : List.of("a", "b", "c", "d")) {
            nodes.clear();
            flights.clear();
            start("a", "b", "c", "d");
            List<String> live = List.copyOf(nodes.keySet());
            for (int i = 0; i < 100; i++) {
                StoredAnswer a = Stored.answer(i, 50, 1, 5);
                ContentId id = a.meta().key().id();
                String asker = ReplicaOwners.of(id, live).get(0);
                nodes.get(asker).store(a);
                nodes.get(asker)
                        .copies
                        .offer(ReplicaOwners.replicationTarget(id, live, asker).orElseThrow(), id);
            }
            for (int i = 0; i < 100; i++) {
                step();
            }
            nodes.remove(dead);
            List<String> left = List.copyOf(nodes.keySet());
            nodes.forEach((name, node) -> {
                node.copies.down(dead);
                node.copies.forget(dead);
                List.copyOf(node.held.keySet())
                        .forEach(id -> ReplicaOwners.replicationTargetsAfterChange(id, live, left, name)
                                .forEach(to -> node.copies.offer(to, id)));
            });
            for (int i = 0; i < 100; i++) {
                step();
            }
            for (int i = 0; i < 100; i++) {
                ContentId id = Stored.key(i).id();
                ReplicaOwners.of(id, left)
                        .forEach(o -> assertTrue(
                                nodes.get(o).held.containsKey(id),
                                "after the death of " + dead + " " + o + " lacks " + id));
            }
        }
    }
}
