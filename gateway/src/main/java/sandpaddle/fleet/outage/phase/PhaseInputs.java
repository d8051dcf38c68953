package sandpaddle.fleet.outage.phase;

/**
 * Inputs that determine the next phase of a zone.
 *
 * @param lossConfirmed whether the link has been unreachable for the confirmation time
 * @param returnConfirmed whether the link has been reachable for the confirmation time
 * @param windowDue whether an outage window is expected soon or open
 * @param prefetchDue whether prefetching for the window should run
 * @param timeInPhaseUs monotonic time since the current phase began, in microseconds
 * @param settings durations of the phases
 */
record PhaseInputs(
        boolean lossConfirmed,
        boolean returnConfirmed,
        boolean windowDue,
        boolean prefetchDue,
        long timeInPhaseUs,
        PhaseSettings settings) {}
