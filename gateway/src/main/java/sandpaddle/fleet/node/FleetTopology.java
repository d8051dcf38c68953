package sandpaddle.fleet.node;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.tinylog.Logger;
import sandpaddle.fleet.link.MessageKind;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.node.agree.FleetConfig;
import sandpaddle.fleet.node.agree.VoterThread;
import sandpaddle.fleet.node.wire.StatusMessage;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;

/**
 * The configuration in force, the members and the voters as known to this gateway, and the peers that it needs links
 * to. A voter reads them from the replicated log, others receive them by the voters' status messages. Owned by the
 * fleet's thread, except {@link #isMember}.
 */
final class FleetTopology {
    private static final int MAX_NEIGHBOURS = 8; // of the zone, linked for stored answers

    private final Map<String, Long> configVersionOf = new HashMap<>(); // version in force at each peer
    private final Set<String> linkedPeers = new HashSet<>();
    private volatile Set<String> memberNames; // names that may open links
    private NodeComponents components;
    private FleetConfig localConfig;
    private FleetConfig learnedConfig = FleetConfig.NONE; // in force according to the status of voters
    private StatusMessage lastStatus = new StatusMessage(0, "", List.of(), 0, "");
    private Map<String, String> zoneOf = Map.of();
    private Set<String> linkedVoters = Set.of();

    FleetTopology(FleetConfig localConfig) {
        this.localConfig = localConfig;
        memberNames = namesOf(localConfig, FleetConfig.NONE);
    }

    void start(NodeComponents all) {
        components = all;
        updateLinks();
    }

    private static Set<String> namesOf(FleetConfig first, FleetConfig second) {
        Set<String> all = new HashSet<>();
        first.members().forEach(member -> all.add(member.name()));
        second.members().forEach(member -> all.add(member.name()));
        return Set.copyOf(all);
    }

    /** Whether a name may open a link; from any thread. */
    boolean isMember(String name) {
        return memberNames.contains(name);
    }

    /** Takes over a changed operator's file. */
    void localConfigChanged(FleetConfig next) {
        localConfig = next;
        components.quotas().setLocalLimits(next.limits());
        components.committedConfig().offer(next.encode());
        updateLinks();
    }

    /** The configuration in force as far as known; this gateway's own file before the first status. */
    private FleetConfig effectiveConfig() {
        FleetConfig config = components.voter() != null
                        && components.committedConfig().current().version() >= learnedConfig.version()
                ? components.committedConfig().current()
                : learnedConfig;
        return config.version() == 0 ? localConfig : config;
    }

    long configVersion() {
        FleetConfig effectiveConfig = effectiveConfig();
        return effectiveConfig == localConfig ? 0 : effectiveConfig.version();
    }

    long fileVersion() {
        return localConfig.version();
    }

    private List<String> voters() {
        List<String> own = components.voter() == null
                ? List.of()
                : components.voter().status().voters();
        return !own.isEmpty()
                ? own
                : !lastStatus.voters().isEmpty()
                        ? lastStatus.voters()
                        : components.settings().founders();
    }

    /** The voters as of the last {@link #updateLinks}, which receive heartbeats. */
    Set<String> linkedVoters() {
        return linkedVoters;
    }

    boolean votersChanged() {
        return !Set.copyOf(voters()).equals(linkedVoters);
    }

    /** The zone of a member, null if the name is not a member. */
    String zoneOf(String name) {
        return zoneOf.get(name);
    }

    /** Applies a change of members, voters or file: who may open links, and which links this gateway keeps. */
    void updateLinks() {
        FleetConfig config = effectiveConfig();
        components.pools().applyConfig(config);
        memberNames = namesOf(config, localConfig);
        List<String> voters = voters();
        String zone = components.self().zone();
        Set<Member> peers = new HashSet<>();
        Map<String, String> zones = new HashMap<>(Map.of(components.self().name(), zone));
        config.members().forEach(member -> zones.put(member.name(), member.zone()));
        config.members().stream().filter(member -> isOtherVoter(member, voters)).forEach(peers::add);
        localConfig.members().stream()
                .filter(member -> isOtherVoter(member, voters)
                        && config.member(member.name()).isEmpty())
                .forEach(peers::add); // a founder must be reachable before it is committed as a member
        if (components.outage()
                != null) { // neighbours replicate stored answers, and stay in contact while the zone is isolated
            config.members().stream()
                    .filter(member -> member.zone().equals(zone) && !components.isSelf(member.name()))
                    .limit(MAX_NEIGHBOURS)
                    .forEach(peers::add);
            Set<String> neighbours = new TreeSet<>();
            peers.stream()
                    .filter(member -> member.zone().equals(zone))
                    .forEach(member -> neighbours.add(member.name()));
            components.outage().updateNeighbours(neighbours);
        }
        zoneOf = Map.copyOf(zones);
        components.links().setPeers(peers);
        linkedVoters = Set.copyOf(voters);
        components.evidence().updateRoster(zones, linkedVoters);
    }

    private boolean isOtherVoter(Member member, List<String> voters) {
        return voters.contains(member.name()) && !components.isSelf(member.name());
    }

    void peerUp(String peer) {
        linkedPeers.add(peer);
        configVersionOf.remove(peer);
    }

    /** Removes the peer from the linked ones; returns whether it was linked. */
    boolean peerDown(String peer) {
        return linkedPeers.remove(peer);
    }

    /** A heartbeat of a peer states the version in force there. */
    void configVersionReported(String peer, long version) {
        configVersionOf.put(peer, version);
    }

    void statusReceived(StatusMessage status) throws FaultyMessageException {
        if (status.term() < lastStatus.term()) {
            return;
        }
        boolean changed = !status.voters().equals(lastStatus.voters());
        lastStatus = status;
        FleetConfig config = status.configText().isEmpty() ? FleetConfig.NONE : status.config();
        if (config.version() > learnedConfig.version()) {
            learnedConfig = config;
            changed = true;
            Logger.info(
                    "fleet: version {} rules, {} gateways, {} limits",
                    config.version(),
                    config.members().size(),
                    config.limits().size());
        }
        if (changed) {
            updateLinks();
        }
    }

    /** Proposes this gateway's file to a voter if it is newer than the version in force. */
    void proposeLocalConfig(String voter) {
        if (localConfig.version() > lastStatus.configVersion()
                && localConfig.version()
                        > components.committedConfig().current().version()) {
            components
                    .links()
                    .send(voter, MessageKind.PROPOSAL, localConfig.encode().getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** Sends the status of this voter to all linked peers. */
    void broadcastStatus() {
        VoterThread.Status status = components.voter().status();
        FleetConfig config = components.committedConfig().current();
        for (String peer : linkedPeers) {
            boolean isUpToDate = configVersionOf.getOrDefault(peer, 0L) >= config.version();
            components
                    .links()
                    .send(
                            peer,
                            MessageKind.STATUS,
                            new StatusMessage(
                                            status.term(),
                                            status.leader().orElse(""),
                                            status.voters(),
                                            config.version(),
                                            isUpToDate || config.version() == 0 ? "" : config.encode())
                                    .encode());
        }
    }
}
