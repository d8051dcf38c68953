package sandpaddle.fleet.limit.day;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The attempts that run at the engines, counted there. An attempt runs until its end, or until it was not polled for
 * {@link #FORGET_US}.
 */
final class SimulatedEngines {
    static final long FORGET_US = 2_000_000;

    /** One attempt of a gateway's process. */
    static final class Attempt {
        final String limit;
        final boolean nonIdempotent;
        final long endsAtUs;
        long polledAtUs;
        boolean ended;

        Attempt(String limit, boolean nonIdempotent, long endsAtUs, long polledAtUs) {
            this.limit = limit;
            this.nonIdempotent = nonIdempotent;
            this.endsAtUs = endsAtUs;
            this.polledAtUs = polledAtUs;
        }
    }

    private final List<Attempt> attempts = new ArrayList<>();
    private final Map<String, Integer> running = new HashMap<>();

    Attempt start(String limit, boolean nonIdempotent, long nowUs, long durationUs) {
        Attempt attempt = new Attempt(limit, nonIdempotent, nowUs + durationUs, nowUs);
        attempts.add(attempt);
        running.merge(limit, 1, Integer::sum);
        return attempt;
    }

    /** Removes attempts that ended or were not polled for too long. */
    void tick(long nowUs) {
        attempts.removeIf(attempt -> {
            boolean ended = attempt.endsAtUs <= nowUs || nowUs - attempt.polledAtUs > FORGET_US;
            attempt.ended = ended;
            if (ended) {
                running.merge(attempt.limit, -1, Integer::sum);
            }
            return ended;
        });
    }

    int running(String limit) {
        return running.getOrDefault(limit, 0);
    }
}
