package sandpaddle.fleet.verdict.judge;

/** Rules that keep verdicts from doing harm. Tests disable one at a time to show its effect. */
enum VerdictGuard {
    /** An accusation by one zone only is a fault of its link. */
    SINGLE_ZONE_IS_LINK_FAULT,
    /** No gateway condemns alone. */
    NO_SINGLE_REPORTER,
    /** Evidence of gateways that doubt themselves is ignored. */
    IGNORE_SELF_DOUBTING,
    /** A limited fraction of the engines is condemned at a time. */
    MAX_CONDEMNED_FRACTION,
    /** Evidence on another process of the engine is ignored. */
    SAME_ENGINE_START,
    /** Verdicts on a flapping engine are held. */
    FLAP_DAMPING,
    /** Starts and drains reported by one gateway alone have limited effect. */
    LIMIT_SINGLE_REPORT
}
