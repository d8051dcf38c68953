package sandpaddle.fleet.outage.phase;

/**
 * Where a zone stands. The schedule moves it between the first three only; into and out of {@link #ISOLATED} leads
 * evidence alone, so that a clock that was set, or a schedule that is wrong, never makes a zone serve stored answers.
 */
public enum Phase {
    /** The zone reaches the engines, and nothing else is expected soon. */
    CONNECTED {
        @Override
        Phase next(PhaseInputs s) {
            return s.lost() ? ISOLATED : s.due() ? EXPECTING : CONNECTED;
        }
    },
    /** A window comes: quotas are moved, the plan is made. */
    EXPECTING {
        @Override
        Phase next(PhaseInputs s) {
            return s.lost() ? ISOLATED : !s.due() ? CONNECTED : s.filling() ? FILLING : EXPECTING;
        }
    },
    /** Results are fetched for the window; also while it is open and the loss has not come. */
    FILLING {
        @Override
        Phase next(PhaseInputs s) {
            return s.lost() ? ISOLATED : !s.due() ? CONNECTED : s.filling() ? FILLING : EXPECTING;
        }
    },
    /** The engines cannot be reached; stored answers may be served. */
    ISOLATED {
        @Override
        Phase next(PhaseInputs s) {
            return s.back() ? RETURNING : ISOLATED;
        }
    },
    /** The engines are back; clients and refreshes come back spread. */
    RETURNING {
        @Override
        Phase next(PhaseInputs s) {
            return s.lost() ? ISOLATED : s.dwelt() >= s.settings().returningUs() ? CONNECTED : RETURNING;
        }
    };

    /** The phase that the signs lead to; this one where they lead nowhere else. */
    abstract Phase next(PhaseInputs inputs);
}
