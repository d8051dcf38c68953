package sandpaddle.fleet.outage.recovery;

import java.util.SplittableRandom;
import java.util.function.LongToDoubleFunction;
import sandpaddle.fleet.outage.plan.Allowance;
import sandpaddle.overload.RetryAfterScheduler;

/**
 * Brings a zone back: clients that were refused in the outage get places in a calendar of slots (the one that spreads
 * retry storms), and refreshes of stored answers take a small part of what is left. Both go by warm capacity, the work
 * a second that engines can do whose caches are filled, so that a cold engine is given nothing that it cannot do yet.
 * Clients come first: a refresh gets no more than its share, and nothing while live traffic or a storm needs it.
 */
public final class ReturnScheduler {
    private final BackSettings settings;
    private final RetryAfterScheduler calendar;

    public ReturnScheduler(BackSettings settings, SplittableRandom random) {
        this.settings = settings;
        calendar = new RetryAfterScheduler(settings.slotUs(), settings.minUs(), settings.maxUs(), random);
    }

    /**
     * Tells what can be taken: warm capacity (us of work a second) by monotonic time, zero before the expected return.
     * Call it several times a second while clients wait.
     */
    public void forecast(long now, LongToDoubleFunction warmCapacity) {
        calendar.forecast(now, t -> settings.clientShare() * Math.max(0, warmCapacity.applyAsDouble(t)));
    }

    /** A pause (us) for a client whose ask brings so much work (us). */
    public long pause(long now, double workUs) {
        return calendar.schedule(now, workUs);
    }

    /** What refreshes may take now: the work of clients due in this slot goes before them. */
    public Allowance refresh(long now, double warmCapacity, boolean isHeld) {
        double due = calendar.expectedWorkUs(now) * 1e6 / settings.slotUs(); // us of work a second
        double left = Math.min(
                settings.refreshShare() * warmCapacity,
                (settings.clientShare() + settings.refreshShare()) * warmCapacity - due);
        if (isHeld || !(left >= 1)) {
            return Allowance.NONE;
        }
        return new Allowance((int) Math.max(1, Math.min(1024, Math.ceil(left / 1e6))), (long) left);
    }
}
