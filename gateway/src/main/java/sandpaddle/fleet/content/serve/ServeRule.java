package sandpaddle.fleet.content.serve;

import java.util.Optional;
import sandpaddle.fleet.content.CacheKey;
import sandpaddle.fleet.content.CachedResult;
import sandpaddle.fleet.content.ResultMetadata;

/**
 * Decides whether a cached result may answer a request: only while the zone is known to be isolated, only for an equal
 * key (tenant, user, class, statement), only for an idempotent class, up to the maximum age of the class, and unless a
 * known load has changed its data. A served result is therefore never older than the smaller of the maximum ages of now
 * and of when it was stored; a change that it misses was unknown in the whole zone, so it happened since anything was
 * last received from outside. A pure function; O(data groups of the result).
 */
public final class ServeRule {
    private ServeRule() {}

    /**
     * Decides whether to serve a result.
     *
     * @param requested key of the request
     * @param idempotent whether the class of the request is idempotent
     * @param maxAgeMs current maximum age of the class
     * @param found cached result, if any
     * @param context state of this gateway
     * @param changes known loads
     */
    public static Decision decide(
            CacheKey requested,
            boolean idempotent,
            long maxAgeMs,
            Optional<CachedResult> found,
            ServeContext context,
            DataChanges changes) {
        if (!context.isolated()) {
            return notServed(Decision.Reason.NOT_ISOLATED);
        }
        if (!idempotent) {
            return notServed(Decision.Reason.NOT_IDEMPOTENT);
        }
        if (found.isEmpty()) {
            return notServed(Decision.Reason.NOT_CACHED);
        }
        ResultMetadata metadata = found.get().metadata();
        if (!metadata.key().equals(requested)) {
            return notServed(Decision.Reason.KEY_MISMATCH);
        }
        if (metadata.incarnation() != context.incarnation() && !context.wallTrusted()) {
            return notServed(Decision.Reason.CLOCK_SET_BACK);
        }
        long ageMs = metadata.ageMs(context.nowUs(), context.wallMs(), context.incarnation())
                + (metadata.incarnation() == context.incarnation() ? 0 : context.wallSlackMs());
        if (ageMs > Math.min(metadata.maxAgeMs(), maxAgeMs)) {
            return notServed(Decision.Reason.STALE);
        }
        if (context.silenceMs() > context.maxSilenceMs()) {
            return notServed(Decision.Reason.NO_CONTACT);
        }
        if (changes.invalidates(metadata)) {
            return notServed(Decision.Reason.INVALIDATED);
        }
        long servedAgeMs = Math.max(0, ageMs);
        return new Decision.Served(
                servedAgeMs,
                Math.min(servedAgeMs, context.silenceMs()),
                found.get().rows());
    }

    private static Decision notServed(Decision.Reason reason) {
        return new Decision.NotServed(reason);
    }
}
