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
 * The components of one gateway in a fleet; all are used on the fleet's thread.
 *
 * @param settings settings of the fleet
 * @param self this gateway
 * @param clock monotonic clock
 * @param links links to the peers
 * @param quotas quotas of this gateway
 * @param floors stored floors, null without a directory
 * @param evidence exchange of evidence
 * @param committedConfig committed configuration
 * @param pools pool policy
 * @param voter consensus, null without a directory
 * @param leader tasks of the leader, null without a directory
 * @param outage outages of the zone, null if nothing is stored
 * @param wake makes the event loop take a turn
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

    boolean isSelf(String name) {
        return self.name().equals(name);
    }
}
