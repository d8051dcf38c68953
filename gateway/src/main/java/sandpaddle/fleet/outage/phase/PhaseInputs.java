package sandpaddle.fleet.outage.phase;

/**
 * What a zone's phase is judged by in one turn.
 *
 * @param lost evidence of loss held long enough
 * @param back evidence of return held long enough
 * @param due a window is expected, or open
 * @param filling the time to fill for it has come, or it is open
 * @param dwelt how long (us, monotonic) this phase has lasted
 */
record PhaseInputs(boolean lost, boolean back, boolean due, boolean filling, long dwelt, PhaseSettings settings) {}
