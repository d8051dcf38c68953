package sandpaddle.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sandpaddle.decision.action.Action;

/** Modules with different settings in one process share no state. */
class InstanceIsolationTest {
    private static final int WORKLOADS = 6;
    private static final long LENGTH_US = 2_000_000;

    @Test
    void gatewaysOfOneProcessDecideIndependently() {
        List<EventReplay> workloads = new ArrayList<>();
        List<DefaultDecisionModule> modules = new ArrayList<>();
        for (int seed = 20; seed < 20 + WORKLOADS; seed++) {
            EventReplay workload = new EventReplay(seed, LENGTH_US, s -> s, e -> e);
            workloads.forEach(other -> assertNotEquals(other.settings, workload.settings));
            workloads.add(workload);
            modules.add(new DefaultDecisionModule(workload.settings, seed));
        }
        int longest = workloads.stream().mapToInt(d -> d.steps.size()).max().orElseThrow();
        for (int i = 0; i < longest; i++) { // one event of each workload in turn
            for (int d = 0; d < WORKLOADS; d++) {
                if (i < workloads.get(d).steps.size()) {
                    EventReplay.Step step = workloads.get(d).steps.get(i);
                    List<Action> actions = new ArrayList<>();
                    modules.get(d).handle(step.atUs(), step.event(), actions::add);
                    assertEquals(step.actions(), actions, "workload " + d + ", event " + i);
                }
            }
        }
    }
}
