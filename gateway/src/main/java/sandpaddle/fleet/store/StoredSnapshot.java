package sandpaddle.fleet.store;

import java.util.List;

/**
 * A complete snapshot, which replaces all entries up to its index.
 *
 * @param index index of the last entry that it covers
 * @param term term of that entry
 * @param chunks the content, in order; not copied
 */
public record StoredSnapshot(long index, int term, List<byte[]> chunks) {}
