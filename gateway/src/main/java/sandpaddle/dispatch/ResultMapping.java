package sandpaddle.dispatch;

import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.ProgressTopic;
import sandpaddle.query.AttemptEnd;
import sandpaddle.query.HealthCheckResult;

/**
 * Maps results of the engine client to those of the decision module. Only ends that prove that the engine never began
 * the query map to a result for which {@link AttemptResult#neverRan()} holds; see docs/design/ends-of-attempts.md.
 */
final class ResultMapping {
    private ResultMapping() {}

    static AttemptResult result(AttemptEnd end) {
        if (end instanceof AttemptEnd.Completed) {
            return AttemptResult.OK;
        } else if (end instanceof AttemptEnd.Rejected) {
            return AttemptResult.QUEUE_FULL;
        } else if (end instanceof AttemptEnd.Expired || end instanceof AttemptEnd.NotStarted) {
            return AttemptResult.CANCELLED_BEFORE_START;
        } else if (end instanceof AttemptEnd.NotConnected) {
            return AttemptResult.CONNECT_FAILED;
        } else if (end instanceof AttemptEnd.Failed) {
            return AttemptResult.ERROR;
        } else if (end instanceof AttemptEnd.ConnectionLost) {
            return AttemptResult.RESET;
        } else if (end instanceof AttemptEnd.TimedOut) {
            return AttemptResult.TIMEOUT;
        }
        return AttemptResult.CANCELLED;
    }

    /** The engine's statistics line that arrived with the end of an attempt; null if none did. */
    static String stats(AttemptEnd end) {
        if (end instanceof AttemptEnd.Completed completed) {
            return completed.stats();
        } else if (end instanceof AttemptEnd.Rejected rejected) {
            return rejected.stats();
        } else if (end instanceof AttemptEnd.Expired expired) {
            return expired.stats();
        }
        return end instanceof AttemptEnd.Failed failed ? failed.stats() : null;
    }

    /** Why an attempt ended without a result, for logs; empty if its kind says all. */
    static String reason(AttemptEnd end) {
        if (end instanceof AttemptEnd.NotConnected notConnected) {
            return notConnected.reason();
        } else if (end instanceof AttemptEnd.NotStarted notStarted) {
            return notStarted.reason();
        } else if (end instanceof AttemptEnd.Failed failed) {
            return failed.reason();
        }
        return end instanceof AttemptEnd.ConnectionLost lost ? lost.reason() : "";
    }

    static AttemptResult result(HealthCheckResult.Kind kind) {
        return switch (kind) {
            case HEALTHY -> AttemptResult.OK;
            case UNHEALTHY -> AttemptResult.ERROR;
            case NOT_CONNECTED -> AttemptResult.CONNECT_FAILED;
            case CONNECTION_LOST -> AttemptResult.RESET;
            case TIMED_OUT -> AttemptResult.TIMEOUT;
            case NOT_STARTED -> AttemptResult.CANCELLED_BEFORE_START;
        };
    }

    /** The topic of a progress report by its name on the wire; null if the module does not know it. */
    static ProgressTopic topic(String name) {
        return switch (name) {
            case "frac" -> ProgressTopic.COMPLETED_SHARE;
            case "missing" -> ProgressTopic.MISSING_MEMORY;
            case "parked" -> ProgressTopic.WAIT;
            default -> null;
        };
    }
}
