package sandpaddle.decision.settings;

/**
 * Parameters of the platform's rules. Durations are in microseconds.
 *
 * @param answerSlackUs time after the deadline by which the final answer must have been sent
 * @param drainGraceUs time after a drain notice within which an attempt may still start there
 * @param pollWithinUs greatest interval between polls of the engine list
 * @param slowStartFrom share of its capacity that an engine has right after its start, from 0 to 1
 * @param slowStartUs duration of the slow start, over which the capacity grows linearly to 1
 * @param overloadMultiple multiple of its present capacity at which an engine that is warming up collapses
 * @param overloadWindowUs window over which that load is summed
 * @param orderingPauseUs delay before the next request of an ordering key after an attempt that may still be running;
 *     0 to disable it
 * @param retryBudgetWindowUs sliding window of the retry budget; 0 where there is no budget
 * @param retryBudgetFloor retries per window that are permitted regardless of the number of requests
 * @param retryBudgetRatio additional retries permitted per request received in the window
 */
public record PlatformRules(
        long answerSlackUs,
        long drainGraceUs,
        long pollWithinUs,
        double slowStartFrom,
        long slowStartUs,
        double overloadMultiple,
        long overloadWindowUs,
        long orderingPauseUs,
        long retryBudgetWindowUs,
        double retryBudgetFloor,
        double retryBudgetRatio) {}
