package sandpaddle.decision.retry;

import java.util.ArrayDeque;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.PlatformRules;

/** Retry budget: limits the retries in a sliding window to a floor plus a ratio of the requests received in it. */
public final class RetryBudget {
    private final EventContext context;
    private final PlatformRules rules;
    private final long connectTimeoutUs;
    private final ArrayDeque<Long> requestTimesUs = new ArrayDeque<>();
    private final ArrayDeque<Long> retryTimesUs = new ArrayDeque<>();

    /** Creates a budget without requests. */
    public RetryBudget(DecisionSettings settings, EventContext context) {
        this.context = context;
        rules = settings.rules();
        connectTimeoutUs = settings.limits().connectTimeoutUs();
    }

    /** Records a received request. */
    public void recordRequest() {
        dropBefore(requestTimesUs, context.nowUs() - rules.retryBudgetWindowUs());
        requestTimesUs.add(context.nowUs());
    }

    /** Records a retry that is sent. */
    public void recordRetry() {
        retryTimesUs.add(context.nowUs());
    }

    /**
     * Whether one more retry is within the budget. A retry may be written up to the connect timeout later than it is
     * sent here, so requests expire from the window earlier, and retries later, by that time.
     */
    public boolean allowsRetry() {
        long windowStartUs = context.nowUs() - rules.retryBudgetWindowUs();
        dropBefore(requestTimesUs, windowStartUs + connectTimeoutUs + 1);
        dropBefore(retryTimesUs, windowStartUs - connectTimeoutUs);
        if (rules.retryBudgetWindowUs() == 0) {
            return true;
        }
        double maxRetries = rules.retryBudgetFloor() + rules.retryBudgetRatio() * requestTimesUs.size();
        return retryTimesUs.size() + 1 <= maxRetries;
    }

    private static void dropBefore(ArrayDeque<Long> timesUs, long timeUs) {
        while (!timesUs.isEmpty() && timesUs.peek() < timeUs) {
            timesUs.poll();
        }
    }
}
