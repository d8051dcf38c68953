package sandpaddle.fleet.verdict.evidence;

import java.util.EnumSet;
import java.util.Set;

/** What evidence is about. The position is the number on the wire: never reorder or remove a constant. */
public enum Topic {
    /** How an engine answers the reporter. */
    HEALTH(EnumSet.of(Finding.HEALTHY, Finding.FAILING, Finding.UNRESPONSIVE, Finding.SLOW)),
    /** Start time of an engine according to the engine list. */
    ENGINE_START(EnumSet.of(Finding.WARMING_UP)),
    /** Whether an engine drains according to the engine list. */
    DRAIN(EnumSet.of(Finding.DRAINING, Finding.WITHDRAWN)),
    /** The reporter's part of a tenant's usage. */
    TENANT_USAGE(EnumSet.of(Finding.USAGE)),
    /**
     * When a load of a data group completed at the reporter. It has no lease, since outdated answers stay outdated.
     */
    DATA_LOAD(EnumSet.of(Finding.CHANGED)),
    /** Health of the reporter itself; also its heartbeat. */
    SELF_HEALTH(EnumSet.of(Finding.SELF_HEALTHY, Finding.STALLED, Finding.MOST_ENGINES_FAILING)),
    /** Which engines answer the reporter: outside its zone, only inside, or none. */
    REACHABILITY(EnumSet.of(Finding.OUTSIDE_REACHABLE, Finding.ONLY_OWN_ZONE_REACHABLE, Finding.NONE_REACHABLE));

    private final Set<Finding> findings;

    Topic(Set<Finding> findings) {
        this.findings = findings;
    }

    /** Whether evidence on this topic can have the finding. */
    public boolean allows(Finding finding) {
        return findings.contains(finding);
    }

    /** Whether evidence on this topic has no lease. */
    public boolean isPermanent() {
        return this == DATA_LOAD;
    }
}
