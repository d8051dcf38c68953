package sandpaddle.fleet.verdict.evidence;

import java.util.EnumSet;
import java.util.Set;

/** What a piece of evidence is about; the position is its number on the wire and never changes. */
public enum Topic {
    /** How an engine answers its reporter. */
    HEALTH(EnumSet.of(Finding.GOOD, Finding.SICK, Finding.SILENT, Finding.SLOW)),
    /** When an engine started, read from the engine list. */
    START(EnumSet.of(Finding.COLD)),
    /** Whether an engine drains, read from the engine list. */
    DRAIN(EnumSet.of(Finding.DRAINING, Finding.WITHDRAWN)),
    /** What of a tenant's share its reporter uses. */
    TENANT(EnumSet.of(Finding.USE)),
    /** When a load on a data group completed at its reporter. It has no lease: what is outdated stays so. */
    GROUP(EnumSet.of(Finding.CHANGED)),
    /** How its reporter is itself; a sign of life too. */
    SELF(EnumSet.of(Finding.WELL, Finding.STALLED, Finding.MOST_BAD)),
    /** Which engines answer its reporter: those outside its hall, only those inside, none. */
    REACH(EnumSet.of(Finding.OUTSIDE_ANSWERS, Finding.ONLY_INSIDE, Finding.NOTHING_ANSWERS));

    private final Set<Finding> findings;

    Topic(Set<Finding> findings) {
        this.findings = findings;
    }

    /** Whether evidence on this topic can say so. */
    public boolean allows(Finding finding) {
        return findings.contains(finding);
    }

    /** Whether it is kept without a lease. */
    public boolean lasts() {
        return this == GROUP;
    }
}
