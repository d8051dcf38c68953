package sandpaddle.fleet.outage.phase;

/**
 * Phase of a zone in the course of an outage. The schedule causes transitions among the first three phases only. A zone
 * enters and leaves {@link #ISOLATED} by evidence alone, so a wall clock that was set or a wrong schedule never makes a
 * zone serve stored answers. The constants appear in log lines.
 */
public enum Phase {
    /** The zone reaches the engines and no outage is expected soon. */
    CONNECTED {
        @Override
        Phase next(PhaseInputs inputs) {
            return inputs.lossConfirmed() ? ISOLATED : inputs.windowDue() ? EXPECTING : CONNECTED;
        }
    },
    /** An outage window is near: quotas are moved and the prefetch is planned. */
    EXPECTING {
        @Override
        Phase next(PhaseInputs inputs) {
            return inputs.lossConfirmed()
                    ? ISOLATED
                    : !inputs.windowDue() ? CONNECTED : inputs.prefetchDue() ? FILLING : EXPECTING;
        }
    },
    /** Answers are prefetched for the window; lasts into the window while the link has not been lost. */
    FILLING {
        @Override
        Phase next(PhaseInputs inputs) {
            return inputs.lossConfirmed()
                    ? ISOLATED
                    : !inputs.windowDue() ? CONNECTED : inputs.prefetchDue() ? FILLING : EXPECTING;
        }
    },
    /** The zone does not reach the engines; stored answers may be served. */
    ISOLATED {
        @Override
        Phase next(PhaseInputs inputs) {
            return inputs.returnConfirmed() ? RETURNING : ISOLATED;
        }
    },
    /** The link has returned; the requests of clients and the refreshes of stored answers are spread over time. */
    RETURNING {
        @Override
        Phase next(PhaseInputs inputs) {
            return inputs.lossConfirmed()
                    ? ISOLATED
                    : inputs.timeInPhaseUs() >= inputs.settings().returningUs() ? CONNECTED : RETURNING;
        }
    };

    /** Returns the phase that follows from the inputs, or this one if there is no transition. */
    abstract Phase next(PhaseInputs inputs);
}
