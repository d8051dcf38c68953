package sandpaddle.overload;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Deduplicates requests that must not run twice, by a key that the client chose: a repeat joins the run in flight or
 * gets its known outcome, and never starts a second run. Each key goes through
 *
 * <pre>
 *   (unknown) --claim--> RUNNING --+-- served -------> SERVED --bytes needed--> RESULT_DROPPED
 *                           |      +-- may have run --> UNKNOWN
 *                           |      +-- never ran -----> (unknown): it may be sent as new
 *                           +-- claim: joined
 * </pre>
 *
 * and expires a fixed time after its end, never earlier: if all entries are in use, new keys are rejected, which is
 * safe; if results use too many bytes, the oldest are dropped but not their outcomes. A client marks a repeat; a
 * marked repeat of an unknown key is answered as unknown, since its first run may have been on another gateway, or
 * before a restart.
 *
 * <p>Called from the loop thread alone. Times are in microseconds and never decrease.
 *
 * @param <R> a result, which is stored and returned as it is
 */
public final class LoadDeduplicator<R> {
    /** What a request with a key has to do. */
    public enum ClaimResult {
        /** It is the first: run it, then call {@link #ended}. */
        RUN,
        /** A run with its key is in flight: wait for its end. */
        JOIN,
        /** It was served; the result is cached. */
        SERVED,
        /** It was served; the result is no longer cached. */
        SERVED_RESULT_DROPPED,
        /** It may have run; its outcome is unknown. */
        MAY_HAVE_RUN,
        /** A marked repeat of a key that this gateway does not know. */
        UNKNOWN_KEY,
        /** The key was used for another statement. */
        OTHER_STATEMENT,
        /** The limit on keys is reached: it has not run. */
        CAPACITY_EXHAUSTED
    }

    /** How a run ended. */
    public enum End {
        SERVED,
        NEVER_RAN,
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
    private final Map<String, Entry<R>> ended =
            new LinkedHashMap<>(); // in the order of their ends, which is that of their expiry
    private long cachedBytes;

    public LoadDeduplicator(OverloadSettings.LoadDeduplication settings) {
        this.settings = settings;
    }

    /** Applies other limits; entries keep the expiry that they got at their end. */
    public void updateSettings(OverloadSettings.LoadDeduplication newSettings) {
        settings = newSettings;
        dropOldestResults();
    }

    /** What a request with this key has to do; {@code fingerprint} identifies its statement. */
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

    /** The cached result of a key whose verdict was SERVED. */
    public R result(String key) {
        return ended.get(key).result;
    }

    /** Ends the run of a key whose verdict was RUN; to be called once. {@code result} is used only if it was served. */
    public void ended(long nowUs, String key, End end, R result, long bytes) {
        Entry<R> entry = running.remove(key);
        if (entry == null) {
            throw new IllegalStateException("no run of " + key + " is going on");
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

    /** Drops the oldest results until the rest is within its limit. */
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

    /** Known keys, running and ended. */
    public int size() {
        return running.size() + ended.size();
    }

    /** Size of the cached results (bytes). */
    public long cachedBytes() {
        return cachedBytes;
    }
}
