package sandpaddle.dispatch;

import sandpaddle.log.LogEvent;
import sandpaddle.overload.OverloadController;
import sandpaddle.overload.OverloadPhase;

/** Logs phase changes of the overload controller. Messages and keys are listed in docs/operators/retry-storms.md. */
final class RetryStormLog {
    private static final double US_PER_S = 1e6;

    private RetryStormLog() {}

    static void phaseChanged(OverloadController.PhaseChange change) {
        LogEvent event = LogEvent.of(message(change.to()))
                .with("from", change.from().name())
                .with("firsts_per_s", change.signals().firstArrivalsPerS())
                .with("returns_per_s", change.signals().retriesPerS())
                .with("usual_per_s", change.signals().usualFirstArrivalsPerS())
                .with("good_per_s", change.signals().successesPerS())
                .with("bad_per_s", change.signals().failuresPerS())
                .with("connections_per_s", change.signals().connectionsPerS())
                .with("answering_part", change.signals().reachableShare())
                .with("capacity_cores", change.capacityCores())
                .with("admitted_cores", change.admittedWorkUsPerS() / US_PER_S)
                .with("honours", change.complianceShare())
                .with("returns", change.rejectedReturnShare());
        if (change.to() == OverloadPhase.STORM) {
            event.warn();
        } else {
            event.info();
        }
    }

    private static String message(OverloadPhase phase) {
        return phase == OverloadPhase.CALM ? "calm again" : phase == OverloadPhase.STORM ? "retry storm" : "recovering";
    }
}
