package sandpaddle.fleet.store;

/**
 * An entry of the replicated log.
 *
 * @param index position in the log, from 1
 * @param term term of the leader that created it
 * @param data the content; not copied
 */
public record StoredEntry(long index, int term, byte[] data) {}
