package sandpaddle.fleet.node;

import java.util.List;
import sandpaddle.decision.settings.DecisionSettings;

/**
 * Identity and settings of this gateway.
 *
 * @param name name of the gateway
 * @param zone zone of the gateway
 * @param incarnation incarnation of its process
 * @param clock monotonic clock of the process
 * @param decisionSettings settings of the decision module
 * @param classes names of the request classes by index
 */
public record LocalNode(
        String name,
        String zone,
        long incarnation,
        MonotonicClock clock,
        DecisionSettings decisionSettings,
        List<String> classes) {}
