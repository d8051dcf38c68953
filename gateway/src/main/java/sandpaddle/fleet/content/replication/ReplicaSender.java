package sandpaddle.fleet.content.replication;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import sandpaddle.fleet.content.ContentId;
import sandpaddle.fleet.content.StoredAnswer;

/**
 * Transfers going out: ids queue for each neighbour, some of them are offered, and parts are sent on request. Apart
 * from ids nothing is kept but the body last read, since its parts are requested one after the other.
 */
final class ReplicaSender {
    private static final int MAX_NEIGHBOURS = 256;

    private static final class Offered {
        private long at;
        private int tries;
    }

    private static final class Neighbour {
        private final Set<ContentId> waiting = new LinkedHashSet<>();
        private final Map<ContentId, Offered> offered = new LinkedHashMap<>();
        private boolean up;
    }

    private record Body(ContentId id, byte[] bytes, int crc, long askedWall) {}

    private final ReplicationSettings settings;
    private final ReplicaStore store;
    private final ToLongFunction<StoredAnswer> age;
    private final Map<String, Neighbour> neighbours = new TreeMap<>();
    private Body last;

    ReplicaSender(ReplicationSettings settings, ReplicaStore store, ToLongFunction<StoredAnswer> age) {
        this.settings = settings;
        this.store = store;
        this.age = age;
    }

    /** Puts a copy in line for a neighbour; false where its line is full. */
    boolean offer(String to, ContentId id) {
        Neighbour n = neighbour(to);
        if (n == null || n.waiting.size() >= settings.maxQueued()) {
            return false;
        }
        if (!n.offered.containsKey(id)) {
            n.waiting.add(id);
        }
        return true;
    }

    private Neighbour neighbour(String name) {
        return neighbours.size() < MAX_NEIGHBOURS
                ? neighbours.computeIfAbsent(name, p -> new Neighbour())
                : neighbours.get(name);
    }

    void up(String peer, boolean isUp) {
        Neighbour n = neighbour(peer);
        if (n == null) {
            return;
        }
        n.up = isUp;
        if (!isUp) { // what was on its way is offered again once it is back
            Set<ContentId> again = new LinkedHashSet<>(n.offered.keySet());
            again.addAll(n.waiting);
            n.waiting.clear();
            n.waiting.addAll(again);
            n.offered.clear();
        }
    }

    /** A gateway that left the zone for good. */
    void forget(String peer) {
        neighbours.remove(peer);
    }

    ReplicationMessage asked(ContentId id) {
        return body(id, true).map(this::offerOf).orElse(new ReplicationMessage.Not(id));
    }

    private ReplicationMessage offerOf(Body b) {
        long ageMs = store.find(b.id).map(age::applyAsLong).orElse(0L);
        return new ReplicationMessage.Offer(b.id, b.askedWall, Math.max(0, ageMs), b.bytes.length, b.crc);
    }

    private Optional<Body> body(ContentId id, boolean fresh) {
        if (last == null || !last.id.equals(id) || fresh && last.askedWall != store.askedAt(id)) {
            last = store.find(id)
                    .map(a -> {
                        byte[] bytes = a.body();
                        return new Body(
                                id, bytes, StoredAnswer.crc(bytes), a.meta().askedWall());
                    })
                    .orElse(null);
        }
        return Optional.ofNullable(last);
    }

    ReplicationMessage needed(String from, ReplicationMessage.Need n, long now) {
        Neighbour who = neighbours.get(from);
        Offered o = who == null ? null : who.offered.get(n.id());
        if (o != null) {
            o.at = now; // it goes on: the offer is not to be sent again
            o.tries = 1;
        }
        Body b = body(n.id(), false).orElse(null);
        if (b == null || b.crc != n.crc() || n.from() >= b.bytes.length) {
            return new ReplicationMessage.Not(n.id());
        }
        int length = Math.min(Math.min(n.max(), ReplicationMessageCodec.MAX_CHUNK), b.bytes.length - n.from());
        byte[] part = new byte[length];
        System.arraycopy(b.bytes, n.from(), part, 0, length);
        return new ReplicationMessage.Chunk(n.id(), b.crc, n.from(), part);
    }

    void had(String from, ContentId id) {
        Neighbour n = neighbours.get(from);
        if (n != null) {
            n.offered.remove(id);
            n.waiting.remove(id);
        }
    }

    List<OutgoingMessage> tick(long now) {
        List<OutgoingMessage> out = new ArrayList<>();
        neighbours.forEach((name, n) -> {
            if (n.up) {
                again(name, n, now, out);
                first(name, n, now, out);
            }
        });
        return out;
    }

    private void again(String name, Neighbour n, long now, List<OutgoingMessage> out) {
        List<ContentId> behind = new ArrayList<>();
        for (Iterator<Map.Entry<ContentId, Offered>> i = n.offered.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<ContentId, Offered> e = i.next();
            if (now - e.getValue().at >= settings.answerUs()) {
                if (e.getValue().tries >= settings.tries()) {
                    behind.add(e.getKey()); // others first: it may be busy with larger ones
                    i.remove();
                } else {
                    send(name, e.getKey(), e.getValue(), now, out);
                }
            }
        }
        behind.forEach(id -> offer(name, id));
    }

    private void first(String name, Neighbour n, long now, List<OutgoingMessage> out) {
        for (Iterator<ContentId> i = n.waiting.iterator(); i.hasNext() && n.offered.size() < settings.maxOffers(); ) {
            ContentId id = i.next();
            i.remove();
            Offered o = new Offered();
            if (send(name, id, o, now, out)) {
                n.offered.put(id, o);
            }
        }
    }

    private boolean send(String name, ContentId id, Offered o, long now, List<OutgoingMessage> out) {
        Optional<Body> b = body(id, true);
        o.at = now;
        o.tries++;
        b.ifPresent(body -> out.add(new OutgoingMessage(name, offerOf(body))));
        return b.isPresent();
    }

    /** Copies that a neighbour has not yet said to have. */
    int open(String peer) {
        Neighbour n = neighbours.get(peer);
        return n == null ? 0 : n.waiting.size() + n.offered.size();
    }
}
