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
 * The configuration in force, the members and the voters as known to this gateway, and the peers that it keeps links
 * to. A voter reads them from the replicated log; other gateways receive them in the status messages of the voters.
 * Owned by the fleet's thread, except {@link #isMember}.
 */
final class FleetTopology {
    private static final int MAX_NEIGHBOURS = 8; // gateways of the zone that stored answers are replicated with

    private final Map<String, Long> configVersionOf = new HashMap<>(); // version in force at each peer
    private final Set<String> linkedPeers = new HashSet<>(); // peers whose link is up
    private volatile Set<String> memberNames; // names that may open links
    private NodeComponents components;
    private FleetConfig localConfig;
    private FleetConfig learnedConfig = FleetConfig.NONE; // in force according to the status messages of voters
    private StatusMessage lastStatus = new StatusMessage(0, "", List.of(), 0, "");
    private Map<String, String> zoneOf = Map.of();
    private Set<String> linkedVoters = Set.of();

    FleetTopology(FleetConfig localConfig) {
        this.localConfig = localConfig;
        memberNames = namesOf(localConfig, FleetConfig.NONE);
    }

    /** Sets the components, which are created after this object, and opens the first links. */
    void start(NodeComponents all) {
        components = all;
        updateLinks();
    }

    /** The names of the members of either configuration. */
    private static Set<String> namesOf(FleetConfig first, FleetConfig second) {
        Set<String> all = new HashSet<>();
        first.members().forEach(member -> all.add(member.name()));
        second.members().forEach(member -> all.add(member.name()));
        return Set.copyOf(all);
    }

    /** Whether a gateway of this name may open a link. Thread-safe. */
    boolean isMember(String name) {
        return memberNames.contains(name);
    }

    /** Applies the fleet-wide configuration of a reloaded operator's file, and offers it for commit. */
    void localConfigChanged(FleetConfig next) {
        localConfig = next;
        components.quotas().setLocalLimits(next.limits());
        components.committedConfig().offer(next.encode());
        updateLinks();
    }

    /** The newest committed configuration known here; that of this gateway's own file until one is known. */
    private FleetConfig effectiveConfig() {
        FleetConfig config = components.voter() != null
                        && components.committedConfig().agreed().version() >= learnedConfig.version()
                ? components.committedConfig().agreed()
                : learnedConfig;
        return config.version() == 0 ? localConfig : config;
    }

    /** Version of the configuration in force, 0 if none is known to be committed. */
    long configVersion() {
        FleetConfig effectiveConfig = effectiveConfig();
        return effectiveConfig == localConfig ? 0 : effectiveConfig.version();
    }

    /** Version of the configuration in this gateway's own file. */
    long fileVersion() {
        return localConfig.version();
    }

    /** The voters: as this voter knows them, else as a status message stated, else the founders. */
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

    /** Whether the voters changed since the last {@link #updateLinks}. */
    boolean votersChanged() {
        return !Set.copyOf(voters()).equals(linkedVoters);
    }

    /** The zone of a member, null if the name is not that of a member. */
    String zoneOf(String name) {
        return zoneOf.get(name);
    }

    /**
     * Applies a change of the members, the voters or the local configuration: which gateways may open links, and which
     * links this gateway keeps.
     */
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
                .forEach(peers::add); // a founder must be reachable before its membership is committed
        // neighbours replicate stored answers, and stay in contact while the zone is isolated
        if (components.outage() != null) {
            config.members().stream()
                    .filter(member -> member.zone().equals(zone) && !components.isSelf(member.name()))
                    .limit(MAX_NEIGHBOURS)
                    .forEach(peers::add);
            Set<String> neighbours = new TreeSet<>();
            peers.stream()
                    .filter(member -> member.zone().equals(zone))
                    .forEach(member -> neighbours.add(member.name()));
            components.outage().neighbours(neighbours);
        }
        zoneOf = Map.copyOf(zones);
        components.links().setPeers(peers);
        linkedVoters = Set.copyOf(voters);
        components.evidence().updateRoster(zones, linkedVoters);
    }

    private boolean isOtherVoter(Member member, List<String> voters) {
        return voters.contains(member.name()) && !components.isSelf(member.name());
    }

    /** Records that the link to a peer is up; its configuration version is unknown until its next heartbeat. */
    void peerUp(String peer) {
        linkedPeers.add(peer);
        configVersionOf.remove(peer);
    }

    /** Records that the link to a peer is down; returns whether it was up. */
    boolean peerDown(String peer) {
        return linkedPeers.remove(peer);
    }

    /** Records the version of the configuration in force at a peer, as its heartbeat states. */
    void configVersionReported(String peer, long version) {
        configVersionOf.put(peer, version);
    }

    /**
     * Applies the status of a voter: the voters, and the configuration if newer. Ignores a status of an earlier term.
     */
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

    /** Proposes the configuration of this gateway's file to a voter if it is newer than the version in force. */
    void proposeLocalConfig(String voter) {
        if (localConfig.version() > lastStatus.configVersion()
                && localConfig.version() > components.committedConfig().agreed().version()) {
            components
                    .links()
                    .send(voter, MessageKind.PROPOSAL, localConfig.encode().getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** Sends the status of this voter to all linked peers, with the configuration for those that lack it. */
    void broadcastStatus() {
        VoterThread.Status status = components.voter().status();
        FleetConfig config = components.committedConfig().agreed();
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
