package sandpaddle.overload;

import java.util.Arrays;

/**
 * Remembers the statements of recently rejected queries, so that a client's retry is recognized: it has a new trace id,
 * and only its statement identifies it. A set-associative hash table of fixed size with {@value #WAYS} entries per set:
 * an operation costs {@value #WAYS} comparisons, and a full set evicts the entry with the oldest rejection. Each
 * rejection predicts one return, so a statement can be claimed at most as often as it was rejected. Queries that failed
 * or whose client disconnected count as rejected.
 *
 * <p>Confined to the event loop's thread. Times are in microseconds and never decrease.
 */
final class RejectedStatementTable {
    static final int WAYS = 4;
    private static final long EMPTY = 0; // fingerprint of a free entry
    private static final int MAX_COUNT = Short.MAX_VALUE; // of awaited returns and of arrivals of a statement

    /**
     * A client that retries a rejected statement.
     *
     * @param arrivals how often the statement had arrived before
     * @param firstArrivalUs when it arrived first
     * @param returnAtUs the latest advised time of return; 0 without a Retry-After
     * @param isOnlyAwaited whether no other client with this statement was awaited, so that the times belong to this
     *     client
     */
    record ReturningClient(int arrivals, long firstArrivalUs, long returnAtUs, boolean isOnlyAwaited) {}

    private final int mask;
    private final long rememberUs;
    private final long[] fingerprints, firstArrivalsUs, rejectedAtUs, returnsAtUs;
    private final short[] awaitedCounts, arrivalCounts;
    private long evictions;
    private int usedEntries;

    /**
     * Creates an empty table.
     *
     * @param entries minimum number of entries; rounded up to a power of two
     * @param rememberUs how long an entry is kept after its rejection or the advised return, whichever is later
     */
    RejectedStatementTable(int entries, long rememberUs) {
        int sets = 1;
        while (sets * WAYS < entries) {
            sets *= 2;
        }
        mask = sets - 1;
        this.rememberUs = rememberUs;
        fingerprints = new long[sets * WAYS];
        firstArrivalsUs = new long[sets * WAYS];
        rejectedAtUs = new long[sets * WAYS];
        returnsAtUs = new long[sets * WAYS];
        awaitedCounts = new short[sets * WAYS];
        arrivalCounts = new short[sets * WAYS];
    }

    /** Claims an awaited return of a statement; returns null if none is awaited. */
    ReturningClient claim(long nowUs, long fingerprint) {
        int index = find(nowUs, nonZero(fingerprint));
        if (index < 0) {
            return null;
        }
        ReturningClient client = new ReturningClient(
                arrivalCounts[index], firstArrivalsUs[index], returnsAtUs[index], awaitedCounts[index] == 1);
        if (--awaitedCounts[index] == 0) {
            clear(index);
        }
        return client;
    }

    /**
     * Records a rejection.
     *
     * @param nowUs the time
     * @param statement fingerprint of the statement
     * @param firstArrivalUs when this client's statement arrived first
     * @param arrivals how often it has arrived
     * @param returnAtUs the advised time of return; 0 without a Retry-After
     */
    void rejected(long nowUs, long statement, long firstArrivalUs, int arrivals, long returnAtUs) {
        long fingerprint = nonZero(statement);
        int index = find(nowUs, fingerprint);
        if (index < 0) {
            index = freeIndex(nowUs, fingerprint);
            fingerprints[index] = fingerprint;
            awaitedCounts[index] = 0;
            usedEntries++;
        }
        boolean isNew = awaitedCounts[index] == 0;
        awaitedCounts[index] = (short) Math.min(MAX_COUNT, awaitedCounts[index] + 1);
        arrivalCounts[index] = (short) Math.min(MAX_COUNT, isNew ? arrivals : Math.max(arrivalCounts[index], arrivals));
        firstArrivalsUs[index] = isNew ? firstArrivalUs : Math.min(firstArrivalsUs[index], firstArrivalUs);
        rejectedAtUs[index] = nowUs;
        returnsAtUs[index] = Math.max(isNew ? 0 : returnsAtUs[index], returnAtUs);
    }

    private static long nonZero(long fingerprint) {
        return fingerprint == EMPTY ? 1 : fingerprint;
    }

    private int firstIndexOfSet(long fingerprint) {
        return ((int) (fingerprint >>> 32) & mask) * WAYS;
    }

    private int find(long nowUs, long fingerprint) {
        int firstIndex = firstIndexOfSet(fingerprint);
        for (int index = firstIndex; index < firstIndex + WAYS; index++) {
            if (fingerprints[index] == fingerprint) {
                if (!isExpired(nowUs, index)) {
                    return index;
                }
                clear(index);
            }
        }
        return -1;
    }

    private boolean isExpired(long nowUs, int index) {
        return nowUs > Math.max(rejectedAtUs[index], returnsAtUs[index]) + rememberUs;
    }

    /** Returns the index of a free entry of the set, after an eviction if the set is full. */
    private int freeIndex(long nowUs, long fingerprint) {
        int firstIndex = firstIndexOfSet(fingerprint);
        int oldestIndex = firstIndex;
        for (int index = firstIndex; index < firstIndex + WAYS; index++) {
            if (fingerprints[index] == EMPTY) {
                return index;
            }
            if (isExpired(nowUs, index)) {
                clear(index);
                return index;
            }
            oldestIndex = rejectedAtUs[index] < rejectedAtUs[oldestIndex] ? index : oldestIndex;
        }
        clear(oldestIndex);
        evictions++;
        return oldestIndex;
    }

    private void clear(int index) {
        fingerprints[index] = EMPTY;
        awaitedCounts[index] = 0;
        usedEntries--;
    }

    /** The number of entries evicted since the start. */
    long evictions() {
        return evictions;
    }

    int usedEntries() {
        return usedEntries;
    }

    int capacity() {
        return fingerprints.length;
    }

    /** Removes all entries. */
    void clear() {
        Arrays.fill(fingerprints, EMPTY);
        Arrays.fill(awaitedCounts, (short) 0);
        usedEntries = 0;
    }
}
