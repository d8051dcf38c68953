package sandpaddle.fleet.node;

import sandpaddle.fleet.FleetSettings;
import sandpaddle.fleet.link.Links;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.node.agree.VoterThread;
import sandpaddle.fleet.node.evidence.EvidenceExchange;
import sandpaddle.fleet.node.lead.CommittedConfig;
import sandpaddle.fleet.node.lead.FleetLeader;
import sandpaddle.fleet.node.outage.OutageThread;
import sandpaddle.fleet.node.quota.FloorStore;
import sandpaddle.fleet.node.quota.PoolCoordinator;
import sandpaddle.fleet.node.quota.QuotaManager;

/**
 * The components of one gateway in a fleet. All are called on the fleet's thread.
 *
 * @param settings settings of the fleet
 * @param self this gateway
 * @param clock monotonic clock
 * @param links links to the peers
 * @param quotas quotas that this gateway holds
 * @param floors store of the floors on disk, null without a directory
 * @param evidence exchange of evidence between gateways, and the verdicts from it
 * @param committedConfig the committed configuration, and the one offered for commit
 * @param pools application of the pool policy
 * @param voter thread of the consensus protocol, null without a directory
 * @param leader tasks that run while this gateway is the leader, null without a directory
 * @param outage detection of outages and stored answers, null if no class stores answers
 * @param wake wakes the event loop
 */
record NodeComponents(
        FleetSettings settings,
        Member self,
        MonotonicClock clock,
        Links links,
        QuotaManager quotas,
        FloorStore floors,
        EvidenceExchange evidence,
        CommittedConfig committedConfig,
        PoolCoordinator pools,
        VoterThread voter,
        FleetLeader leader,
        OutageThread outage,
        Runnable wake) {

    /** Whether this is the name of this gateway. */
    boolean isSelf(String name) {
        return self.name().equals(name);
    }
}
