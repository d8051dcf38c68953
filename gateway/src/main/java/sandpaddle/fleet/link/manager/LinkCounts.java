package sandpaddle.fleet.link.manager;

/**
 * Counters of all links since the start. Not all of these events are logged.
 *
 * @param linksUp links established
 * @param linksDown links ended
 * @param attempts connection attempts
 * @param rejected connections rejected by name, version or cluster
 * @param evicted accepted connections dropped at the limit or without a handshake in time
 * @param abandoned attempts and connections that a newer connection made unnecessary
 * @param unknownFrames frames of a later version that were skipped
 * @param queueFull messages not queued because the queue was full
 * @param oversized messages not queued because they exceed the longest frame
 */
public record LinkCounts(
        long linksUp,
        long linksDown,
        long attempts,
        long rejected,
        long evicted,
        long abandoned,
        long unknownFrames,
        long queueFull,
        long oversized) {
    static final LinkCounts NONE = new LinkCounts(0, 0, 0, 0, 0, 0, 0, 0, 0);

    /** The counters as {@link LinkManager} updates them, under the lock of the links. */
    static final class Counters {
        long linksUp, linksDown;
        long attempts;
        long rejected;
        long evicted;
        long abandoned;
        long unknownFrames;
        long queueFull;
        long oversized;

        LinkCounts snapshot() {
            return new LinkCounts(
                    linksUp, linksDown, attempts, rejected, evicted, abandoned, unknownFrames, queueFull, oversized);
        }
    }
}
