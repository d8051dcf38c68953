package sandpaddle.fleet.node.outage;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import sandpaddle.fleet.content.serve.Decision;
import sandpaddle.fleet.content.serve.OutageRetryAfter;
import sandpaddle.query.Answer;

/**
 * Builds the response for a decision about a stored answer: rows with a note, or a refusal until the link is expected
 * back.
 */
final class OutageResponses {
    private static final long SECOND_MS = 1000;

    private final OutageRetryAfter pauses;
    private final SplittableRandom random;
    private long served, refused;

    OutageResponses(OutageRetryAfter pauses, long seed) {
        this.pauses = pauses;
        random = new SplittableRandom(seed);
    }

    /**
     * Empty where the query goes its usual way.
     *
     * @param mayRunInside whether an engine within the zone may answer it
     * @param returnAt when (wall, ms) the link is expected back
     */
    Optional<Answer> answer(Decision decision, boolean isolated, boolean mayRunInside, long wallMs, long returnAt) {
        if (decision instanceof Decision.Served stored) {
            served++;
            return Optional.of(new Answer.Served(
                    stored.rows(),
                    String.format(
                            Locale.ROOT,
                            "stored answer, %d s old; changes of the last %d s are not known",
                            stored.ageMs() / SECOND_MS,
                            stored.undetectedMs() / SECOND_MS)));
        }
        if (!isolated || mayRunInside) {
            return Optional.empty();
        }
        refused++;
        return Optional.of(
                new Answer.Rejected(Duration.ofMillis(pauses.retryAfterMs(wallMs, returnAt, random.nextDouble()))));
    }

    /** For the log. */
    @Override
    public String toString() {
        return served + " served stored, " + refused + " refused";
    }
}
