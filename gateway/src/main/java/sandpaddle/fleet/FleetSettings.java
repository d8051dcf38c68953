package sandpaddle.fleet;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.link.LinkSettings;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.member.VoterPlan;
import sandpaddle.fleet.node.agree.FleetConfig;
import sandpaddle.fleet.store.StoreSettings;
import sandpaddle.fleet.verdict.VerdictSettings;

/**
 * The section {@code fleet} of the operator's file. Only {@code agreed} may change while the gateway runs; the other
 * settings apply from its start.
 *
 * @param enabled whether this gateway is part of a fleet
 * @param cluster name of the fleet; gateways of another one are rejected
 * @param listen address on which links are accepted
 * @param directory persistent state of a voter, null for a gateway that never votes
 * @param founders names of the initial voters, as the directory was formatted
 * @param routes addresses that replace those of the configured members, by name
 * @param links timeouts and intervals of links
 * @param limits settings of fleet-wide limits, leases and heartbeats
 * @param voters settings for choosing voters
 * @param store settings of a voter's store
 * @param verdictsOn whether verdicts on engines reach the decision module; evidence is exchanged either way
 * @param verdicts settings of verdicts
 * @param agreed configuration that applies to the whole fleet, once committed
 * @param outages settings of outages and stored answers
 */
public record FleetSettings(
        boolean enabled,
        String cluster,
        InetSocketAddress listen,
        Path directory,
        List<String> founders,
        Map<String, LinkSettings.Address> routes,
        LinkSettings.Times links,
        LimitSettings limits,
        VoterPlan.Settings voters,
        StoreSettings store,
        boolean verdictsOn,
        VerdictSettings verdicts,
        FleetConfig agreed,
        OutageSettings outages) {
    private static final long SECOND_US = 1_000_000;

    /** The gateway is not part of a fleet. */
    public static final FleetSettings OFF = new FleetSettings(
            false,
            "",
            null,
            null,
            List.of(),
            Map.of(),
            LinkSettings.Times.DEFAULT,
            LimitSettings.DEFAULTS,
            new VoterPlan.Settings(3, 60 * SECOND_US, 5 * SECOND_US, 5 * SECOND_US),
            StoreSettings.DEFAULTS,
            true,
            VerdictSettings.DEFAULT,
            FleetConfig.NONE,
            OutageSettings.OFF);

    /** Whether all settings but {@link #agreed} are the same, so that a running gateway can apply the change. */
    public boolean onlyAgreedDiffersFrom(FleetSettings other) {
        return equals(new FleetSettings(
                other.enabled,
                other.cluster,
                other.listen,
                other.directory,
                other.founders,
                other.routes,
                other.links,
                other.limits,
                other.voters,
                other.store,
                other.verdictsOn,
                other.verdicts,
                agreed,
                other.outages));
    }

    /**
     * The gateway of this name in the list of members.
     *
     * @throws IllegalArgumentException if there is none
     */
    public Member self(String name) {
        return agreed.member(name)
                .orElseThrow(() ->
                        new IllegalArgumentException("gateway '" + name + "' is not among 'fleet.agreed.members'"));
    }
}
