package sandpaddle.fleet.content.serve;

import java.util.Optional;
import sandpaddle.fleet.content.AnswerMetadata;
import sandpaddle.fleet.content.ContentKey;
import sandpaddle.fleet.content.StoredAnswer;

/**
 * Decides whether a stored answer may answer an ask: only while the zone is known to be cut off, only to the same
 * statement of the same tenant, user and class, only of a class that may repeat, no older than the class states, and
 * not where a load that is known of has changed its data. So what is handed out is never older than
 * {@code min(maxAge stored, maxAge now)}, and a change that it misses is one that nobody in the zone heard of: it came
 * within the time since anything was last heard from outside. Pure; a few comparisons and a look at each data group.
 */
public final class ServeRule {
    private ServeRule() {}

    /**
     * Decides.
     *
     * @param asked the key of what is asked for, whose class {@code repeatable} and {@code maxAgeMs} tell of now
     */
    public static Decision decide(
            ContentKey asked,
            boolean repeatable,
            long maxAgeMs,
            Optional<StoredAnswer> found,
            ServeContext s,
            DataChanges changes) {
        if (!s.isolated()) {
            return not(Decision.Reason.NOT_ISOLATED);
        }
        if (!repeatable) {
            return not(Decision.Reason.NOT_REPEATABLE);
        }
        if (found.isEmpty()) {
            return not(Decision.Reason.ABSENT);
        }
        AnswerMetadata m = found.get().meta();
        if (!m.key().equals(asked)) {
            return not(Decision.Reason.FOREIGN);
        }
        if (m.incarnation() != s.process() && !s.wallTrusted()) {
            return not(Decision.Reason.CLOCK);
        }
        long age = m.age(s.now(), s.wall(), s.process()) + (m.incarnation() == s.process() ? 0 : s.wallSlackMs());
        if (age > Math.min(m.maxAgeMs(), maxAgeMs)) {
            return not(Decision.Reason.STALE);
        }
        if (s.unheardMs() > s.maxUnheardMs()) {
            return not(Decision.Reason.UNHEARD);
        }
        if (changes.outdates(m)) {
            return not(Decision.Reason.OUTDATED);
        }
        long shown = Math.max(0, age);
        return new Decision.Stored(
                shown, Math.min(shown, s.unheardMs()), found.get().rows());
    }

    private static Decision not(Decision.Reason reason) {
        return new Decision.Not(reason);
    }
}
