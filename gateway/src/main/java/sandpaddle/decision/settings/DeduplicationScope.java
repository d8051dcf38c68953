package sandpaddle.decision.settings;

import sandpaddle.decision.event.EngineEntry;

/** The set of engines within which repeats with the same idempotency key are dropped. */
public enum DeduplicationScope {
    /** All engines. */
    ALL,
    /** The engines of a zone. */
    ZONE,
    /** The engines of a cell. */
    CELL;

    /** Whether two engines are in the same scope, so that each drops repeats of what the other has run. */
    public boolean isSharedBy(EngineEntry first, EngineEntry second) {
        return this == ALL
                || this == ZONE && first.zone() == second.zone()
                || this == CELL && first.cell() == second.cell();
    }
}
