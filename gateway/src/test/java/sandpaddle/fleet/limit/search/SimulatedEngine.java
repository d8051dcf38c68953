package sandpaddle.fleet.limit.search;

import java.util.ArrayList;
import java.util.List;

/** The attempts of one gateway at the engines, by true time: those that its process polls, and abandoned ones. */
final class SimulatedEngine {
    final List<Long> polledAt = new ArrayList<>(); // when each attempt was last polled
    int polledCount; // the process still polls this many attempts, the first ones

    /** Drops attempts that were not polled for longer than {@code forgetTime}. */
    void tick(long now, long forgetTime) {
        for (int i = polledAt.size() - 1; i >= 0; i--) {
            if (now - polledAt.get(i) > forgetTime) {
                polledAt.remove(i);
                polledCount -= i < polledCount ? 1 : 0; // of a paused process, which learns of it when it resumes
            }
        }
    }

    void start(long now) {
        polledAt.add(polledCount++, now);
    }

    /** The last polled attempt ends. */
    void end() {
        polledAt.remove(--polledCount);
    }

    /** The last polled attempt is abandoned; the engine drops it after the forget time. */
    void abandon() {
        polledCount--;
    }

    /** Polls the attempts of the process. */
    void poll(long now) {
        for (int i = 0; i < polledCount; i++) {
            polledAt.set(i, now);
        }
    }
}
