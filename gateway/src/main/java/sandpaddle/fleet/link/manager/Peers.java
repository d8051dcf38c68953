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

/** The other gateways by name: those to which links are wanted, and known ones that hold or open one. */
final class Peers {
    private final LinkSettings settings;
    private final SplittableRandom random;
    private final Map<String, Peer> byName = new TreeMap<>();

    Peers(LinkSettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    Peer get(String name) {
        return byName.get(name);
    }

    Peer of(String name) {
        return byName.computeIfAbsent(name, n -> new Peer(n, settings.times(), random.split()));
    }

    void forget(Peer p) {
        if (p.isNeedless()) {
            byName.remove(p.name);
        }
    }

    /** Sets whom to keep links to, and returns those to whom none is wanted. */
    List<Peer> want(Set<Member> members) {
        Map<String, Member> wanted = new HashMap<>();
        members.forEach(m -> wanted.put(m.name(), m));
        wanted.remove(settings.self().name());
        wanted.keySet().forEach(this::of);
        byName.values().forEach(p -> p.wanted = wanted.get(p.name));
        return byName.values().stream().filter(p -> p.wanted == null).toList();
    }

    /** Those to dial now. */
    List<Peer> due(long now) {
        List<Peer> due = new ArrayList<>();
        for (Peer p : byName.values()) {
            if (p.isDue(now)) {
                due.add(p);
            }
        }
        return due;
    }

    void clear() {
        byName.clear();
    }
}
