package sandpaddle.fleet.outage.margin;

import java.util.Set;

/**
 * How a window truly went. {@code startLateMs} and {@code endLateMs} are how much later than planned the loss and the
 * return came, negative where earlier; meaningless where {@code missed}. {@code doubtful}: the wall clock was set
 * meanwhile, or the outage was under way before the window or ran into the next: the offsets tell nothing of it.
 */
public record WindowOutcome(
        String zone, Set<String> rules, boolean missed, boolean doubtful, long startLateMs, long endLateMs) {}
