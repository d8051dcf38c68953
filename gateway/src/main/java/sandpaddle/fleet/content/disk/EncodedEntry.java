package sandpaddle.fleet.content.disk;

import sandpaddle.fleet.content.CachedResult;
import sandpaddle.fleet.content.ResultId;
import sandpaddle.fleet.content.ResultMetadata;

/**
 * A result encoded for the disk, with the metadata that the index has.
 *
 * @param id hash of the entry's key
 * @param requestedAtWallMs wall-clock time (ms) at which the result was requested
 * @param maxAgeMs maximum age at which the result may be served
 * @param value value of the result while it may be served
 * @param bytes the encoded result
 */
record EncodedEntry(ResultId id, long requestedAtWallMs, long maxAgeMs, double value, byte[] bytes) {
    static EncodedEntry of(CachedResult result) {
        ResultMetadata metadata = result.metadata();
        return new EncodedEntry(
                metadata.key().id(),
                metadata.requestedAtWallMs(),
                metadata.maxAgeMs(),
                metadata.value(),
                result.encode());
    }

    /** Returns the value per byte at a wall-clock time: 0 once the result is too old to be served. */
    double valuePerByte(long wallMs) {
        return wallMs - requestedAtWallMs > maxAgeMs ? 0 : value / Math.max(1, bytes.length);
    }
}
