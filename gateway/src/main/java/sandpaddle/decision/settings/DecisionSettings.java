package sandpaddle.decision.settings;

import java.util.List;

/**
 * Settings of a decision module, as stated by the platform.
 *
 * @param gateways gateways in the deployment
 * @param gatewayIndex this gateway's index among them
 * @param zone index of this gateway's zone, -1 where it is in none
 * @param subscribe whether changes of the engine list must be subscribed to
 * @param classes request classes, by class index
 * @param kinds machine kinds, by kind index
 * @param reportFields fields of a load report in their order, null for an unknown field; empty where reports are not
 *     used
 * @param reportsInAnswers whether answers carry a load report
 * @param limits what the platform permits
 * @param rules parameters of the platform's rules
 * @param features what the engines support
 * @param costs costs of health checks and handshakes
 */
public record DecisionSettings(
        int gateways,
        int gatewayIndex,
        int zone,
        boolean subscribe,
        List<RequestClass> classes,
        List<EngineKind> kinds,
        List<LoadField> reportFields,
        boolean reportsInAnswers,
        PlatformLimits limits,
        PlatformRules rules,
        EngineFeatures features,
        ServiceCosts costs) {

    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException naming the first setting that is out of its range
     */
    public DecisionSettings {
        require(gateways >= 1, "balancers", "is under 1");
        require(gatewayIndex >= 0, "me", "is under 0");
        require(!classes.isEmpty(), "classes", "is empty");
        for (int i = 0; i < classes.size(); i++) {
            RequestClass requestClass = classes.get(i);
            String path = "classes[" + i + "].";
            require(requestClass.latencyObjectiveUs() > 0, path + "aim_us", "is not above 0");
            require(requestClass.deadlineUs() > 0, path + "hard_limit_us", "is not above 0");
            require(
                    requestClass.objectiveStretch() >= 0 && Double.isFinite(requestClass.objectiveStretch()),
                    path + "aim_stretch",
                    "is under 0");
            require(
                    requestClass.priorityWeight() >= 0 && Double.isFinite(requestClass.priorityWeight()),
                    path + "value",
                    "is under 0");
            require(requestClass.threads() >= 1, "specifics.class_threads[" + i + "]", "is under 1");
        }
        require(limits.maxAttempts() >= 0, "bounds.max_attempts", "is under 0");
        require(limits.maxQueued() >= 0, "bounds.most_held", "is under 0");
        require(limits.maxRetryAfterUs() >= 0, "bounds.max_retry_after_us", "is under 0");
        require(rules.slowStartFrom() >= 0 && rules.slowStartFrom() <= 1, "rules.cold_from", "is not from 0 to 1");
        require(rules.slowStartUs() >= 0, "rules.cold_us", "is under 0");
        require(rules.overloadWindowUs() >= 0, "rules.fall_us", "is under 0");
        require(rules.overloadMultiple() >= 0, "rules.tip_multiple", "is under 0");
        require(rules.drainGraceUs() >= 0, "rules.drain_grace_us", "is under 0");
        require(rules.retryBudgetWindowUs() >= 0, "rules.budget_span_us", "is under 0");
        require(rules.retryBudgetFloor() >= 0 && rules.retryBudgetRatio() >= 0, "rules.extra_share", "is under 0");
        require(features.progressIntervalUs() >= 0, "specifics.progress_us", "is under 0");
        require(costs.healthCheck() >= 0, "charges.probe", "is under 0");
        require(costs.handshake() >= 0, "charges.handshake", "is under 0");
    }

    private static void require(boolean valid, String key, String fault) {
        if (!valid) {
            throw new IllegalArgumentException("field 'settings." + key + "' " + fault);
        }
    }
}
