package sandpaddle.fleet.verdict.judge;

/** Safeguards against wrong verdicts. Tests disable them one at a time to show the effect of each. */
enum VerdictGuard {
    /** An accusation by one zone only counts as a fault of its link. */
    SINGLE_ZONE_IS_LINK_FAULT,
    /** No single gateway causes a verdict. */
    NO_SINGLE_REPORTER,
    /** Evidence of gateways that suspect themselves is ignored. */
    IGNORE_SELF_SUSPECTING,
    /** A limited fraction of the engines is ejected at a time. */
    MAX_EJECTED_FRACTION,
    /** Evidence on an earlier or later process of the engine is ignored. */
    SAME_ENGINE_START,
    /** A verdict on a flapping engine outlives the withdrawal of its evidence, but not the evidence's lease. */
    FLAP_DAMPING,
    /** Starts and drains reported by a single gateway have limited effect. */
    LIMIT_SINGLE_REPORT
}
