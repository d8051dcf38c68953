package sandpaddle.overload;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Deduplicates loads, which must not run twice, by a key that the client chooses: a repeat joins the run in flight or
 * gets its known outcome, and never starts a second run. The states of a key:
 *
 * <pre>
 *   (unknown) --claim--> RUNNING --+-- served -------> SERVED --bytes needed--> RESULT_DROPPED
 *                           |      +-- may have run --> UNKNOWN
 *                           |      +-- never ran -----> (unknown): it may be sent as new
 *                           +-- claim: joined
 * </pre>
 *
 * <p>A key expires a fixed time after its run has ended, never earlier. If all entries are in use, new keys are
 * rejected, which is safe; if the results use too many bytes, the oldest are dropped, but their outcomes are kept. A
 * client marks a repeat; a marked repeat of an unknown key is answered as unknown, since the first run may have been on
 * another gateway or before a restart.
 *
 * <p>Confined to the event loop's thread. Times are in microseconds and never decrease.
 *
 * @param <R> type of a result, which is stored and returned as it is
 */
public final class LoadDeduplicator<R> {
    /** The result of {@link #claim}: how a request with a key proceeds. */
    public enum ClaimResult {
        /** The first request with its key: run it, then call {@link #ended}. */
        RUN,
        /** A run with its key is in flight: wait until it ends. */
        JOIN,
        /** The run succeeded; its result is cached. */
        SERVED,
        /** The run succeeded; its result is no longer cached. */
        SERVED_RESULT_DROPPED,
        /** The request may have run; its outcome is unknown. */
        MAY_HAVE_RUN,
        /** A marked repeat of a key that this gateway does not know. */
        UNKNOWN_KEY,
        /** The key was used for another statement. */
        OTHER_STATEMENT,
        /** The limit on entries is reached; the request has not run. */
        CAPACITY_EXHAUSTED
    }

    /** How a run ended. */
    public enum End {
        SERVED,
        /** The request has certainly not run, so its key may be used as if new. */
        NEVER_RAN,
        /** It is not known whether the request ran. */
        MAY_HAVE_RUN
    }

    private enum State {
        RUNNING,
        SERVED,
        RESULT_DROPPED,
        UNKNOWN
    }

    private static final class Entry<R> {
        private final long fingerprint;
        private State state = State.RUNNING;
        private R result;
        private long bytes, expiresAtUs;

        Entry(long fingerprint) {
            this.fingerprint = fingerprint;
        }
    }

    private OverloadSettings.LoadDeduplication settings;
    private final Map<String, Entry<R>> running = new LinkedHashMap<>();
    /** In the order in which the runs ended; also the order of expiry while the retention time is the same. */
    private final Map<String, Entry<R>> ended = new LinkedHashMap<>();

    private long cachedBytes;

    /** Creates a deduplicator without entries. */
    public LoadDeduplicator(OverloadSettings.LoadDeduplication settings) {
        this.settings = settings;
    }

    /** Applies new settings; entries of ended runs keep their time of expiry. */
    public void updateSettings(OverloadSettings.LoadDeduplication newSettings) {
        settings = newSettings;
        dropOldestResults();
    }

    /**
     * Claims a key for a request.
     *
     * @param nowUs the time
     * @param key the client's name for the run
     * @param fingerprint identifies the statement
     * @param isRepeat whether the client marked the request as a repeat
     * @return how the request proceeds
     */
    public ClaimResult claim(long nowUs, String key, long fingerprint, boolean isRepeat) {
        removeExpired(nowUs);
        Entry<R> entry = running.containsKey(key) ? running.get(key) : ended.get(key);
        if (entry == null) {
            if (isRepeat) {
                return ClaimResult.UNKNOWN_KEY;
            }
            if (running.size() + ended.size() >= settings.maxEntries()) {
                return ClaimResult.CAPACITY_EXHAUSTED;
            }
            running.put(key, new Entry<>(fingerprint));
            return ClaimResult.RUN;
        }
        if (entry.fingerprint != fingerprint) {
            return ClaimResult.OTHER_STATEMENT;
        }
        return switch (entry.state) {
            case RUNNING -> ClaimResult.JOIN;
            case SERVED -> ClaimResult.SERVED;
            case RESULT_DROPPED -> ClaimResult.SERVED_RESULT_DROPPED;
            case UNKNOWN -> ClaimResult.MAY_HAVE_RUN;
        };
    }

    /** Returns the cached result of a key, right after {@link #claim} returned {@link ClaimResult#SERVED} for it. */
    public R result(String key) {
        return ended.get(key).result;
    }

    /**
     * Records that the run of a key has ended; to be called once for each {@link ClaimResult#RUN}.
     *
     * @param nowUs the time
     * @param key the key
     * @param end how the run ended
     * @param result the result, used only for {@link End#SERVED}
     * @param bytes size of the result
     * @throws IllegalStateException if no run with this key is in flight
     */
    public void ended(long nowUs, String key, End end, R result, long bytes) {
        Entry<R> entry = running.remove(key);
        if (entry == null) {
            throw new IllegalStateException("no run in flight with key " + key);
        }
        if (end == End.NEVER_RAN) {
            return;
        }
        entry.expiresAtUs = nowUs + settings.retentionUs();
        entry.state = end == End.MAY_HAVE_RUN ? State.UNKNOWN : State.SERVED;
        ended.put(key, entry);
        if (end == End.SERVED) {
            entry.result = result;
            entry.bytes = bytes;
            cachedBytes += bytes;
            dropOldestResults();
        }
    }

    /** Drops the oldest results until the others are within the limit on bytes. */
    private void dropOldestResults() {
        Iterator<Entry<R>> entries = ended.values().iterator();
        while (cachedBytes > settings.maxResultBytes() && entries.hasNext()) {
            Entry<R> entry = entries.next();
            if (entry.state == State.SERVED) {
                dropResult(entry);
                entry.state = State.RESULT_DROPPED;
            }
        }
    }

    private void dropResult(Entry<R> entry) {
        cachedBytes -= entry.bytes;
        entry.bytes = 0;
        entry.result = null;
    }

    private void removeExpired(long nowUs) {
        Iterator<Entry<R>> entries = ended.values().iterator();
        while (entries.hasNext()) {
            Entry<R> entry = entries.next();
            if (entry.expiresAtUs > nowUs) {
                return;
            }
            dropResult(entry);
            entries.remove();
        }
    }

    /** The number of known keys, of runs in flight and ended. */
    public int size() {
        return running.size() + ended.size();
    }

    /** The size of the cached results (bytes). */
    public long cachedBytes() {
        return cachedBytes;
    }
}
