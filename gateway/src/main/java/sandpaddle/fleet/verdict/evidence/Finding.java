package sandpaddle.fleet.verdict.evidence;

/** What a gateway found; the position is its number on the wire and never changes. */
public enum Finding {
    /** It answers well: counter-evidence. */
    GOOD,
    /** It fails what it is sent. */
    SICK,
    /** It does not answer, or cannot be reached. */
    SILENT,
    /** It answers much later than others do. */
    SLOW,
    /** It started lately. */
    COLD,
    /** It gets no new work any more. */
    DRAINING,
    /** The list says no longer what it said. */
    WITHDRAWN,
    /** So much is used. */
    USE,
    /** A load completed. */
    CHANGED,
    /** The reporter has no doubt about itself. */
    WELL,
    /** The reporter stood still of late: its timers ran late. */
    STALLED,
    /** Most engines look bad to the reporter at once, so the fault may be its own. */
    MOST_BAD,
    /** An engine outside the reporter's hall answers it. */
    OUTSIDE_ANSWERS,
    /** Engines of the reporter's hall answer it, none outside does. */
    ONLY_INSIDE,
    /** No engine answers it. */
    NOTHING_ANSWERS;

    /** Whether it speaks against an engine. */
    public boolean isBad() {
        return this == SICK || this == SILENT || this == SLOW;
    }

    /** Whether it goes ahead of the rest where a batch is full: what protects queries now. */
    public boolean isUrgent() {
        return isBad() || this == DRAINING || this == COLD || this == CHANGED || this == STALLED || this == MOST_BAD;
    }
}
