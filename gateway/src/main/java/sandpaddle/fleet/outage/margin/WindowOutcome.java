package sandpaddle.fleet.outage.margin;

import java.util.Set;

/**
 * The observed course of an outage window that is over.
 *
 * @param zone zone that the window was planned for
 * @param rules names of the schedule's rules that the window came from
 * @param missed whether the link was not lost at all; the delays are meaningless then
 * @param unreliable whether the delays must not be learned from: the wall clock was set during the window, the outage
 *     had begun before the window was tracked, or it lasted into the next window
 * @param startDelayMs milliseconds from the planned start to the loss of the link; negative if it was lost early
 * @param endDelayMs milliseconds from the planned end to the return; negative if the link returned early
 */
public record WindowOutcome(
        String zone, Set<String> rules, boolean missed, boolean unreliable, long startDelayMs, long endDelayMs) {}
