package sandpaddle.decision.event;

/** How the entries of an engine list relate to the engines already known. */
public enum EngineListKind {
    /** Entries that changed; the others stay. */
    CHANGES,
    /** All engines; those without an entry are removed. */
    FULL,
    /** All engines, in a list that may be outdated, as at the start of the gateway. */
    CACHED,
    /** The list could not be read. */
    FAILED
}
