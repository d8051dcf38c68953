package sandpaddle.config;

import sandpaddle.decision.settings.EngineFeatures;
import sandpaddle.decision.settings.PlatformLimits;
import sandpaddle.decision.settings.PlatformRules;
import sandpaddle.decision.settings.ServiceCosts;

/**
 * Maps the objects {@code bounds}, {@code rules}, {@code specifics} and {@code charges} of the platform's settings:
 * the limits of the deployment, its rules, how engines treat memory grants and priorities, and the costs of services.
 */
final class PlatformRulesReader {
    private static final double MAX_RETRY_AFTER_US =
            60e6; // the Retry-After scheduler allocates its slots up to this time
    private static final double MAX_BUDGET_WINDOW_US = 600e6; // a timestamp is stored for each request of the window
    private static final double MAX_FREE_RETRIES = 1e9;
    private static final String READ_AS_NOT_PERMITTED = "read as not permitted";

    private PlatformRulesReader() {}

    /** The features that the deployment permits, and their limits. */
    static PlatformLimits limits(LenientReader bounds) throws InvalidFieldException {
        int maxAttempts = bounds.count("max_attempts", 0, "");
        if (maxAttempts == 0) {
            bounds.warn("max_attempts", "is 0; expected 1 or more: every request is refused");
        }
        int maxPending = bounds.count("most_held", 0, "");
        if (maxPending == 0) {
            bounds.warn("most_held", "is 0; expected 1 or more: every request is rejected");
        }
        return new PlatformLimits(
                bounds.flagOr("cancel", false, READ_AS_NOT_PERMITTED),
                bounds.flagOr("may_probe", false, READ_AS_NOT_PERMITTED),
                bounds.flagOr("retry_after", false, READ_AS_NOT_PERMITTED),
                bounds.flagOr("second_copies", false, READ_AS_NOT_PERMITTED),
                maxAttempts,
                maxPending,
                bounds.microsOr("max_retry_after_us", 0, MAX_RETRY_AFTER_US, "a longer Retry-After is not sent"),
                bounds.microsOr("connect_timeout_us", 0),
                bounds.microsOr("conn_idle_us", 0));
    }

    /** The rules of the platform. */
    static PlatformRules rules(LenientReader rules) throws InvalidFieldException {
        double slowStartFrom = rules.number("cold_from", 0, 1, "");
        if (slowStartFrom == 0) {
            rules.warn(
                    "cold_from",
                    "is 0; expected above 0: an engine starts with no capacity, which grows during its warm-up");
        }
        long overloadWindowUs = rules.micros("fall_us");
        double overloadMultiple = rules.number("tip_multiple", 0, LenientReader.MAX_FACTOR, "");
        if (overloadMultiple == 0 || overloadWindowUs == 0) {
            String field = overloadMultiple == 0 ? "tip_multiple" : "fall_us";
            rules.warn(field, "is 0; expected above 0: engines receive almost no requests until they are warm");
        }
        double freeRetries = rules.numberOr("budget_free", 0, 0, MAX_FREE_RETRIES, "");
        double retryShare = rules.numberOr("extra_share", 0, 0, LenientReader.MAX_FACTOR, "");
        double windowUs = retryBudgetWindowUs(rules);
        double cappedWindowUs = Math.min(windowUs, MAX_BUDGET_WINDOW_US);
        return new PlatformRules(
                rules.micros("answer_slack_us"),
                rules.micros("drain_grace_us"),
                rules.microsOr("ask_within_us", 0),
                slowStartFrom,
                rules.micros("cold_us"),
                overloadMultiple,
                overloadWindowUs,
                rules.microsOr("key_rest_us", 0),
                (long) cappedWindowUs,
                cappedWindowUs < windowUs ? freeRetries * cappedWindowUs / windowUs : freeRetries,
                retryShare);
    }

    /**
     * The window of the retry budget (us); 0 if there is no budget. A budget without a window counts over all time. The
     * caller shortens a long window and the free retries in proportion: a budget that holds in each part of the window
     * holds in the window.
     */
    private static double retryBudgetWindowUs(LenientReader rules) throws InvalidFieldException {
        double windowUs = rules.microsOr("budget_span_us", 0);
        boolean hasBudget = rules.has("budget_span_us") || rules.has("budget_free") || rules.has("extra_share");
        if (windowUs == 0 && hasBudget) {
            rules.warn("budget_span_us", "is 0 or missing beside a budget: further attempts are counted over all time");
            return LenientReader.MAX_DURATION_US;
        }
        return windowUs;
    }

    /** How engines treat memory grants and priorities. */
    static EngineFeatures engineFeatures(LenientReader specifics) throws InvalidFieldException {
        JsonObject object = specifics.object();
        return new EngineFeatures(
                object.flagOr("grants_count", false),
                object.flagOr("takes_priority", false),
                specifics.numberOr("most_grant", 1, 0, 1, ""),
                "page".equals(object.stringOrNull("overbooked")),
                object.flagOr("cost_in_answers", false),
                specifics.microsOr("progress_us", 0));
    }

    /** The costs that the platform charges for health checks and new connections. */
    static ServiceCosts costs(LenientReader charges) throws InvalidFieldException {
        return new ServiceCosts(
                charges.numberOr("probe", 0, 0, LenientReader.MAX_FACTOR, ""),
                charges.numberOr("handshake", 0, 0, LenientReader.MAX_FACTOR, ""));
    }
}
