package sandpaddle.fleet.pool;

/**
 * A version of the policy that the fleet committed. The version with the highest epoch is in force, also where the
 * operator has reverted the file to an earlier text.
 *
 * @param epoch counts the versions that the fleet committed, from 1
 * @param hash of the policy file
 */
public record PolicyVersion(long epoch, PolicyHash hash) {
    /** @throws IllegalArgumentException if the epoch is less than 1 */
    public PolicyVersion {
        if (epoch < 1) {
            throw new IllegalArgumentException("epoch " + epoch + "; expected 1 or more");
        }
    }
}
