package sandpaddle.fleet.link.manager;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import sandpaddle.fleet.link.LinkSettings;
import sandpaddle.fleet.member.Member;

/**
 * The other gateways by name: those that need a link, and members that opened one. Guarded by the lock of the links.
 */
final class PeerTable {
    private final LinkSettings settings;
    private final SplittableRandom random;
    private final Map<String, Peer> byName = new TreeMap<>();

    PeerTable(LinkSettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    Peer get(String name) {
        return byName.get(name);
    }

    Peer getOrCreate(String name) {
        return byName.computeIfAbsent(name, key -> new Peer(key, settings.times(), random.split()));
    }

    void removeIfUnused(Peer peer) {
        if (peer.isUnused()) {
            byName.remove(peer.name);
        }
    }

    /** Sets the members to keep links to and returns the peers that need none. */
    List<Peer> setRequired(Set<Member> members) {
        Map<String, Member> requiredByName = new HashMap<>();
        members.forEach(member -> requiredByName.put(member.name(), member));
        requiredByName.remove(settings.self().name());
        requiredByName.keySet().forEach(this::getOrCreate);
        byName.values().forEach(peer -> peer.required = requiredByName.get(peer.name));
        return byName.values().stream().filter(peer -> peer.required == null).toList();
    }

    /** The peers to connect to now. */
    List<Peer> dueForAttempt(long nowUs) {
        List<Peer> due = new ArrayList<>();
        for (Peer peer : byName.values()) {
            if (peer.isAttemptDue(nowUs)) {
                due.add(peer);
            }
        }
        return due;
    }

    void clear() {
        byName.clear();
    }
}
