package sandpaddle.fleet.verdict.evidence;

import java.util.EnumSet;
import java.util.Set;

/** Kind of evidence. The ordinal is the number on the wire: never reorder or remove a constant. */
public enum Topic {
    /** How an engine answers the reporter. */
    HEALTH(EnumSet.of(Finding.HEALTHY, Finding.FAILING, Finding.UNRESPONSIVE, Finding.SLOW)),
    /** Start time of an engine according to the engine list. */
    ENGINE_START(EnumSet.of(Finding.WARMING_UP)),
    /** Drain of an engine according to the engine list. */
    DRAIN(EnumSet.of(Finding.DRAINING, Finding.WITHDRAWN)),
    /** Usage of a tenant at the reporter. */
    TENANT_USAGE(EnumSet.of(Finding.USAGE)),
    /**
     * Completion of a load of a data group at the reporter. It has no lease, since answers from before a load stay
     * outdated.
     */
    DATA_LOAD(EnumSet.of(Finding.CHANGED)),
    /** Health of the reporter itself; serves as its heartbeat. */
    SELF_HEALTH(EnumSet.of(Finding.SELF_HEALTHY, Finding.STALLED, Finding.MOST_ENGINES_FAILING)),
    /** Which engines answer the reporter: those outside its zone, only those inside, or none. */
    REACHABILITY(EnumSet.of(Finding.OUTSIDE_REACHABLE, Finding.ONLY_OWN_ZONE_REACHABLE, Finding.NONE_REACHABLE));

    private final Set<Finding> findings;

    Topic(Set<Finding> findings) {
        this.findings = findings;
    }

    /** Returns whether evidence on this topic can have the finding. */
    public boolean allows(Finding finding) {
        return findings.contains(finding);
    }

    /** Returns whether evidence on this topic has no lease. */
    public boolean isPermanent() {
        return this == DATA_LOAD;
    }
}
