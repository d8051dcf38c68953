package sandpaddle.overload;

/**
 * Phases of overload control. {@link #next} gives the phase that the signals indicate; {@link RetryStormDetector}
 * enters it once they have indicated it for long enough.
 */
public enum OverloadPhase {
    /** Normal operation: everything is admitted. */
    CALM {
        /**
         * A retry storm is many failures and, among the arrivals, many returning clients; or an outage of half the
         * fleet or more. Guards a genuine surge in demand: there first attempts make up most of the excess over the
         * usual rate, however many of them are rejected.
         */
        @Override
        OverloadPhase next(OverloadSignals signals, OverloadSettings.Detection detection) {
            boolean distress = signals.badShare() >= detection.failureShare();
            boolean returning = signals.returnShare() >= detection.returnShare() && signals.returnsMakeTheExcess();
            boolean outage = signals.reachableShare() <= MAX_ANSWERING_SHARE_IN_OUTAGE
                    && signals.badShare() >= MIN_FAILURE_SHARE_IN_OUTAGE;
            return distress && returning || outage ? STORM : CALM;
        }
    },
    /** Retry storm: little is answered, and rejected clients return. */
    STORM {
        /** Recovery begins once engines answer again; without traffic there is nothing to damp. */
        @Override
        OverloadPhase next(OverloadSignals signals, OverloadSettings.Detection detection) {
            if (signals.reachableShare() > 0 && signals.goodShare() >= MIN_SUCCESS_SHARE_TO_RECOVER) {
                return RECOVERING;
            }
            return signals.isQuiet() && signals.reachableShare() > MAX_ANSWERING_SHARE_IN_OUTAGE ? CALM : STORM;
        }
    },
    /** Recovery ramp: engines answer, and the admitted rate grows with their capacity. */
    RECOVERING {
        @Override
        OverloadPhase next(OverloadSignals signals, OverloadSettings.Detection detection) {
            if (signals.reachableShare() == 0
                    || signals.goodShare() < MAX_SUCCESS_SHARE_OF_RELAPSE && !signals.isQuiet()) {
                return STORM; // a second outage
            }
            return signals.isQuiet()
                            || signals.returnShare() < detection.normalShare()
                                    && signals.badShare() < detection.normalShare()
                    ? CALM
                    : RECOVERING;
        }
    };

    private static final double MAX_ANSWERING_SHARE_IN_OUTAGE = 0.5; // of the usual cores
    private static final double MIN_FAILURE_SHARE_IN_OUTAGE = 0.5;
    private static final double MIN_SUCCESS_SHARE_TO_RECOVER = 0.05; // among the final answers
    private static final double MAX_SUCCESS_SHARE_OF_RELAPSE = 0.01;

    /** The phase that the signals indicate; this one if they indicate no change. */
    abstract OverloadPhase next(OverloadSignals signs, OverloadSettings.Detection detection);
}
