package sandpaddle.decision.event;

import java.util.List;

/**
 * Replaces all verdicts on engines.
 *
 * @param verdicts all verdicts in force; each has its own expiry time
 */
public record EngineVerdictsChanged(List<EngineVerdict> verdicts) implements Event {

    /** Copies the list. */
    public EngineVerdictsChanged {
        verdicts = List.copyOf(verdicts);
    }
}
