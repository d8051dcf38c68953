package sandpaddle.fleet.verdict;

import java.util.List;
import sandpaddle.fleet.verdict.watch.LocalObserver;

/**
 * Selects the verdicts that the decision module applies. Recent successes of this gateway override the fleet: an
 * engine that answered it {@link #OWN_SUCCESSES_TO_OVERRIDE} times since the verdict's evidence began, within the
 * last lease, is not ejected here. Verdicts from the engine list (warming up, draining) always apply. So do all
 * verdicts while this gateway suspects itself, since the outcomes of a stalled gateway are unreliable.
 */
public final class VerdictFilter {
    /** Own successes that override the fleet; two may be chance on an engine that fails half of its queries. */
    public static final int OWN_SUCCESSES_TO_OVERRIDE = 3;

    private VerdictFilter() {}

    /** Returns the verdicts of a snapshot that apply to this gateway now. */
    public static List<FleetEngineVerdict> effectiveVerdicts(
            VerdictSnapshot verdicts, LocalObserver observer, String self, long nowUs) {
        boolean isReliable = !verdicts.selfSuspectingGateways().contains(self);
        return verdicts.engines().stream()
                .filter(verdict -> verdict.untilUs() > nowUs)
                .filter(verdict -> !verdict.kind().ejects()
                        || !isReliable
                        || observer.successesSince(nowUs, verdict.engine(), verdict.sinceUs())
                                < OWN_SUCCESSES_TO_OVERRIDE)
                .toList();
    }
}
