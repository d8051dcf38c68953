package sandpaddle.overload;

/**
 * Phases of overload control. {@link #next} returns the phase that the signals indicate; {@link RetryStormDetector}
 * enters it after the signals have indicated it for a minimum time.
 */
public enum OverloadPhase {
    /** Normal operation: everything is admitted. */
    CALM {
        /**
         * Indicates a storm if many answers are failures and many arrivals are retries, or in an outage, when at least
         * half of the usual cores are unreachable and at least half of the answers are failures. A surge in demand is
         * not a storm: first arrivals then make up most of the excess over the usual rate, however many are rejected.
         */
        @Override
        OverloadPhase next(OverloadSignals signals, OverloadSettings.Detection detection) {
            boolean failing = signals.failureShare() >= detection.failureShare();
            boolean retrying = signals.retryShare() >= detection.returnShare() && signals.retriesDominateExcess();
            boolean outage = signals.reachableShare() <= MAX_REACHABLE_SHARE_IN_OUTAGE
                    && signals.failureShare() >= MIN_FAILURE_SHARE_IN_OUTAGE;
            return failing && retrying || outage ? STORM : CALM;
        }
    },
    /** Retry storm: few queries are answered, and rejected clients retry. */
    STORM {
        /** Indicates recovery once engines respond again; without traffic there is no retry storm. */
        @Override
        OverloadPhase next(OverloadSignals signals, OverloadSettings.Detection detection) {
            if (signals.reachableShare() > 0 && signals.successShare() >= MIN_SUCCESS_SHARE_TO_RECOVER) {
                return RECOVERING;
            }
            return signals.isQuiet() && signals.reachableShare() > MAX_REACHABLE_SHARE_IN_OUTAGE ? CALM : STORM;
        }
    },
    /** Recovery ramp: engines respond, and the admitted rate grows with their capacity. */
    RECOVERING {
        /** Indicates a storm if hardly any query succeeds, normal operation once few queries are retries or fail. */
        @Override
        OverloadPhase next(OverloadSignals signals, OverloadSettings.Detection detection) {
            if (signals.reachableShare() == 0
                    || signals.successShare() < MAX_SUCCESS_SHARE_OF_RELAPSE && !signals.isQuiet()) {
                return STORM; // for example, after a second outage
            }
            return signals.isQuiet()
                            || signals.retryShare() < detection.normalShare()
                                    && signals.failureShare() < detection.normalShare()
                    ? CALM
                    : RECOVERING;
        }
    };

    private static final double MAX_REACHABLE_SHARE_IN_OUTAGE = 0.5; // of the usual cores
    private static final double MIN_FAILURE_SHARE_IN_OUTAGE = 0.5; // of the final answers
    private static final double MIN_SUCCESS_SHARE_TO_RECOVER = 0.05; // of the final answers
    private static final double MAX_SUCCESS_SHARE_OF_RELAPSE = 0.01; // of the final answers

    /** Returns the phase that the signals indicate, this one if they indicate no change. */
    abstract OverloadPhase next(OverloadSignals signals, OverloadSettings.Detection detection);
}
