package sandpaddle.interleaving;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Bounded exhaustive search: runs every schedule up to a number of steps from one initial state, each on a gateway of
 * its own, and checks the observations against the {@link ReferenceModel}.
 */
final class InterleavingExplorer {
    /** A schedule that violates the reference model also in a strict run. */
    record Failure(
            String route,
            ScheduleRun.InitialState initialState,
            List<ScheduleStep> steps,
            List<String> violations,
            List<Observation> observations) {
        @Override
        public String toString() {
            return "%s from %s: %s%n  steps %s%n  observations %s"
                    .formatted(route, initialState, violations, steps, observations);
        }
    }

    private final String route;
    private final ScheduleRun.InitialState initialState;
    private final Set<Event> events;
    private final Set<ScheduleStep.Placement> placements;
    private final List<Failure> failures = new ArrayList<>();
    private int explored, strictRuns;

    InterleavingExplorer(
            String route,
            ScheduleRun.InitialState initialState,
            Set<Event> events,
            Set<ScheduleStep.Placement> placements) {
        this.route = route;
        this.initialState = initialState;
        this.events = events;
        this.placements = placements;
    }

    /** Number of schedules that violated the model at first and were run again in strict mode. */
    int strictRuns() {
        return strictRuns;
    }

    /** Number of schedules run. */
    int explored() {
        return explored;
    }

    List<Failure> failures() {
        return failures;
    }

    void explore(int depth) throws Exception {
        List<List<ScheduleStep>> next = List.of(List.of());
        for (int i = 0; i <= depth && failures.isEmpty(); i++) { // stops at the shortest failures
            List<List<ScheduleStep>> longer = new ArrayList<>();
            for (List<ScheduleStep> steps : next) {
                explore(steps, i < depth ? longer : null, i + 1 < depth);
            }
            next = longer;
        }
    }

    /**
     * Runs one schedule.
     *
     * @param steps the schedule
     * @param longer receives the schedules with one more step; null for none
     * @param allowWithNext whether the added step may be placed with a step after it
     */
    private void explore(List<ScheduleStep> steps, List<List<ScheduleStep>> longer, boolean allowWithNext)
            throws Exception {
        explored++;
        try (ScheduleRun run = new ScheduleRun(route, initialState, false)) {
            run.run(steps);
            if (longer != null) {
                for (Event event : events) {
                    for (ScheduleStep.Placement placement : placements) {
                        ScheduleStep step = new ScheduleStep(event, placement);
                        if ((allowWithNext || placement != ScheduleStep.Placement.WITH_NEXT)
                                && step.isEnabled(run.peers())) {
                            List<ScheduleStep> extended = new ArrayList<>(steps);
                            extended.add(step);
                            longer.add(extended);
                        }
                    }
                }
            }
            run.finish();
            if (ReferenceModel.violations(route, run.observations()).isEmpty()) {
                return;
            }
        }
        strictRuns++;
        try (ScheduleRun run = new ScheduleRun(route, initialState, true)) {
            run.run(steps);
            run.finish();
            List<String> violations = ReferenceModel.violations(route, run.observations());
            if (!violations.isEmpty()) {
                failures.add(new Failure(route, initialState, steps, violations, run.observations()));
            }
        }
    }
}
