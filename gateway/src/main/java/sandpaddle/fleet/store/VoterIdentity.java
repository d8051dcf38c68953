package sandpaddle.fleet.store;

import java.nio.charset.StandardCharsets;

/**
 * The owner of a store.
 *
 * @param cluster name of the cluster
 * @param member name of the gateway
 * @param endpoint endpoint under which the gateway votes ({@code name#N}); never reused after its store was lost
 */
public record VoterIdentity(String cluster, String member, String endpoint) {
    /** Maximum length of each name in bytes of UTF-8; none may be empty. */
    public static final int MAX_BYTES = 255;

    /** Checks the length of each name. */
    public VoterIdentity {
        check("cluster", cluster);
        check("member", member);
        check("endpoint", endpoint);
    }

    private static void check(String field, String text) {
        int length = text.getBytes(StandardCharsets.UTF_8).length;
        if (length == 0 || length > MAX_BYTES) {
            throw new IllegalArgumentException(field + " has " + length + " bytes, not from 1 to " + MAX_BYTES);
        }
    }
}
