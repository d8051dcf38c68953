package sandpaddle.fleet.node;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.tinylog.Logger;
import sandpaddle.fleet.link.Kind;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.node.agree.FleetConfig;
import sandpaddle.fleet.node.agree.VoterThread;
import sandpaddle.fleet.node.wire.StatusMessage;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;

/**
 * By what this gateway goes: which file rules, who the members are, who votes; and so to whom it keeps links. A voter
 * reads it from what was agreed, all others hear it from the voters.
 */
final class FleetTopology {
    private static final int MAX_NEIGHBOURS = 8; // of the hall, to which links are kept for stored answers

    private final Map<String, Long> rulingOf = new HashMap<>(); // the version that a peer goes by
    private final Set<String> up = new HashSet<>();
    private volatile Set<String> known; // names that may link
    private NodeComponents parts;
    private FleetConfig ownFile;
    private FleetConfig followed = FleetConfig.NONE; // what rules, as a gateway without a vote has heard it
    private StatusMessage lastNews = new StatusMessage(0, "", List.of(), 0, "");
    private Map<String, String> hallOf = Map.of();
    private Set<String> votersSeen = Set.of();

    FleetTopology(FleetConfig ownFile) {
        this.ownFile = ownFile;
        known = names(ownFile, FleetConfig.NONE);
    }

    void begin(NodeComponents all) {
        parts = all;
        rewire();
    }

    private static Set<String> names(FleetConfig a, FleetConfig b) {
        Set<String> all = new HashSet<>();
        a.members().forEach(m -> all.add(m.name()));
        b.members().forEach(m -> all.add(m.name()));
        return Set.copyOf(all);
    }

    /** Whether a name may link; from any thread. */
    boolean knows(String name) {
        return known.contains(name);
    }

    /** A new operator's file. */
    void file(FleetConfig next) {
        ownFile = next;
        parts.rights().ownFile(next.limits());
        parts.ruling().offer(next.text());
        rewire();
    }

    /** What rules as far as known; this gateway's own file before anything was heard. */
    private FleetConfig ruled() {
        FleetConfig agreed = parts.voter() != null && parts.ruling().agreed().version() >= followed.version()
                ? parts.ruling().agreed() : followed;
        return agreed.version() == 0 ? ownFile : agreed;
    }

    long rulingVersion() {
        FleetConfig ruled = ruled();
        return ruled == ownFile ? 0 : ruled.version();
    }

    long fileVersion() {
        return ownFile.version();
    }

    private List<String> voters() {
        List<String> own = parts.voter() == null ? List.of() : parts.voter().status().voters();
        return !own.isEmpty() ? own : !lastNews.voters().isEmpty() ? lastNews.voters() : parts.settings().founders();
    }

    /** Who is told beats: the voters as of the last {@link #rewire}. */
    Set<String> votersSeen() {
        return votersSeen;
    }

    boolean votersChanged() {
        return !Set.copyOf(voters()).equals(votersSeen);
    }

    /** The hall of a member, null for a stranger. */
    String hallOf(String name) {
        return hallOf.get(name);
    }

    /** Members, voters or the file have changed: who may link, and to whom this gateway keeps links. */
    void rewire() {
        FleetConfig agreed = ruled();
        parts.pools().rules(agreed);
        known = names(agreed, ownFile);
        List<String> voting = voters();
        String hall = parts.self().hall();
        Set<Member> wanted = new HashSet<>();
        Map<String, String> halls = new HashMap<>(Map.of(parts.self().name(), hall));
        agreed.members().forEach(m -> halls.put(m.name(), m.hall()));
        agreed.members().stream().filter(m -> isOther(m, voting)).forEach(wanted::add);
        ownFile.members().stream().filter(m -> isOther(m, voting) && agreed.member(m.name()).isEmpty())
                .forEach(wanted::add); // a founder that is not agreed on yet has to be reached for that
        if (parts.outage() != null) { // neighbours hold copies for each other, and hear each other when cut off
            agreed.members().stream().filter(m -> m.hall().equals(hall) && !parts.isSelf(m.name()))
                    .limit(MAX_NEIGHBOURS).forEach(wanted::add);
            Set<String> near = new TreeSet<>();
            wanted.stream().filter(m -> m.hall().equals(hall)).forEach(m -> near.add(m.name()));
            parts.outage().neighbours(near);
        }
        hallOf = Map.copyOf(halls);
        parts.links().want(wanted);
        votersSeen = Set.copyOf(voting);
        parts.evidence().roster(halls, votersSeen);
    }

    private boolean isOther(Member m, List<String> voting) {
        return voting.contains(m.name()) && !parts.isSelf(m.name());
    }

    void up(String peer) {
        up.add(peer);
        rulingOf.remove(peer);
    }

    /** Whether it was up. */
    boolean down(String peer) {
        return up.remove(peer);
    }

    /** A peer's beat tells by which version it goes. */
    void goesBy(String peer, long version) {
        rulingOf.put(peer, version);
    }

    void heard(StatusMessage news) throws FaultyMessageException {
        if (news.term() < lastNews.term()) {
            return;
        }
        boolean changed = !news.voters().equals(lastNews.voters());
        lastNews = news;
        FleetConfig agreed = news.text().isEmpty() ? FleetConfig.NONE : news.agreed();
        if (agreed.version() > followed.version()) {
            followed = agreed;
            changed = true;
            Logger.info("fleet: version {} rules, {} gateways, {} limits", agreed.version(), agreed.members().size(),
                    agreed.limits().size());
        }
        if (changed) {
            rewire();
        }
    }

    /** Has the file of this gateway ruled, where it is newer than what does. */
    void offerFile(String voter) {
        if (ownFile.version() > lastNews.version() && ownFile.version() > parts.ruling().agreed().version()) {
            parts.links().send(voter, Kind.PROPOSAL, ownFile.text().getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** As a voter, tells all that are linked. */
    void tellNews() {
        VoterThread.Status status = parts.voter().status();
        FleetConfig agreed = parts.ruling().agreed();
        for (String peer : up) {
            boolean has = rulingOf.getOrDefault(peer, 0L) >= agreed.version();
            parts.links().send(peer, Kind.NEWS,
                    new StatusMessage(status.term(), status.leader().orElse(""), status.voters(),
                    agreed.version(), has || agreed.version() == 0 ? "" : agreed.text()).encode());
        }
    }
}
