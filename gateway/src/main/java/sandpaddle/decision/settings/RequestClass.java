package sandpaddle.decision.settings;

import java.util.List;
import sandpaddle.decision.event.EngineEntry;

/**
 * A request class of the platform's settings. Durations are in microseconds.
 *
 * @param latencyObjectiveUs latency up to which an answer counts with its full priority weight
 * @param objectiveStretch microseconds added to the objective per microsecond of estimated work per thread
 * @param deadlineUs time after which an answer has no value
 * @param priorityWeight value of an answer within the latency objective
 * @param latePriorityWeight value of an answer after the objective and before the deadline
 * @param idempotency effect of running a request more than once
 * @param deduplicationScope which engines drop repeats with the same idempotency key
 * @param deduplicationWindowUs time for which they drop repeats
 * @param ordered whether requests with the same key run one at a time in order of arrival
 * @param streaming whether answers are streamed
 * @param threads number of threads that a query uses on an engine
 * @param dataLoad whether the class loads data
 * @param waitsForLocks whether a query may wait for locks on its data group
 * @param permittedKinds indices of the machine kinds that may run it, null for all
 * @param permittedZones indices of the zones that may run it, null for all
 */
public record RequestClass(
        long latencyObjectiveUs,
        double objectiveStretch,
        long deadlineUs,
        double priorityWeight,
        double latePriorityWeight,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowUs,
        boolean ordered,
        boolean streaming,
        int threads,
        boolean dataLoad,
        boolean waitsForLocks,
        List<Integer> permittedKinds,
        List<Integer> permittedZones) {

    /** Whether the placement constraints of the class permit an engine. */
    public boolean permits(EngineEntry engine) {
        return (permittedKinds == null || permittedKinds.contains(engine.kind()))
                && (permittedZones == null || permittedZones.contains(engine.zone()));
    }
}
