package sandpaddle.fleet.content.disk;

import sandpaddle.fleet.content.ResultId;

/**
 * The location of an entry in a segment, with its checksum and what its value depends on.
 *
 * @param id hash of the entry's key
 * @param offset position of the entry in the segment file in bytes
 * @param length length of the entry in bytes
 * @param crc32c checksum of the entry
 * @param requestedAtWallMs wall-clock time (ms) at which the result was requested
 * @param maxAgeMs maximum age at which the result may be served
 * @param value value of the result while it may be served
 */
record EntryLocation(
        ResultId id, long offset, int length, int crc32c, long requestedAtWallMs, long maxAgeMs, double value) {
    /** Returns the value at a wall-clock time: 0 once the result is too old to be served. */
    double value(long wallMs) {
        return wallMs - requestedAtWallMs > maxAgeMs ? 0 : value;
    }

    /** Returns the value per byte. */
    double valuePerByte(long wallMs) {
        return value(wallMs) / Math.max(1, length);
    }
}
