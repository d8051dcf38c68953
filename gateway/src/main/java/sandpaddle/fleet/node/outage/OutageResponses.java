package sandpaddle.fleet.node.outage;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import sandpaddle.fleet.content.serve.Decision;
import sandpaddle.fleet.content.serve.OutageRetryAfter;
import sandpaddle.query.Answer;

/**
 * Creates the response for a decision on a stored answer: its rows with a note, or a rejection with a Retry-After up to
 * the expected return of the link. Counts the responses.
 */
final class OutageResponses {
    private static final long SECOND_MS = 1000;

    private final OutageRetryAfter retryAfter;
    private final SplittableRandom random;
    private long servedCount, rejectedCount;

    OutageResponses(OutageRetryAfter retryAfter, long seed) {
        this.retryAfter = retryAfter;
        random = new SplittableRandom(seed);
    }

    /**
     * Returns the response; empty if the query is processed as usual.
     *
     * @param decision decision on the stored answer
     * @param isolated whether the zone is isolated
     * @param canRunInZone whether an engine within the zone may answer the query
     * @param wallMs wall-clock time in milliseconds
     * @param returnAtMs expected return of the link (wall clock, ms)
     */
    Optional<Answer> respond(Decision decision, boolean isolated, boolean canRunInZone, long wallMs, long returnAtMs) {
        if (decision instanceof Decision.Served stored) {
            servedCount++;
            return Optional.of(new Answer.Served(
                    stored.rows(),
                    String.format(
                            Locale.ROOT,
                            "stored answer, %d s old; changes of the last %d s are not known",
                            stored.ageMs() / SECOND_MS,
                            stored.undetectedMs() / SECOND_MS)));
        }
        if (!isolated || canRunInZone) {
            return Optional.empty();
        }
        rejectedCount++;
        return Optional.of(new Answer.Rejected(
                Duration.ofMillis(retryAfter.retryAfterMs(wallMs, returnAtMs, random.nextDouble()))));
    }

    /** Describes the counters for the log. */
    @Override
    public String toString() {
        return servedCount + " served stored, " + rejectedCount + " refused";
    }
}
