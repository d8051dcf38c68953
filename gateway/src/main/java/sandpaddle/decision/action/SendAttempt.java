package sandpaddle.decision.action;

/**
 * Starts an attempt; attempts of a request are numbered from 0.
 *
 * @param id the request
 * @param engine id of the engine that runs it
 * @param timeoutUs time after which the attempt is abandoned, in microseconds
 * @param trial whether this is a trial of an engine that may be unreachable; a pooled connection may lead to a machine
 *     that is cut off, so the attempt needs a new connection
 * @param writeDeadlineUs time of {@link sandpaddle.decision.DecisionModule#handle} from which no part of the attempt
 *     may be written, even if its connection is established only then; 0 for no deadline
 */
public record SendAttempt(String id, String engine, long timeoutUs, boolean trial, long writeDeadlineUs)
        implements Action {

    /** Creates an attempt without a write deadline. */
    public SendAttempt(String id, String engine, long timeoutUs, boolean trial) {
        this(id, engine, timeoutUs, trial, 0);
    }
}
