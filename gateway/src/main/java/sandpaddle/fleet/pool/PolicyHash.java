package sandpaddle.fleet.pool;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The SHA-256 hash of the bytes of a policy file.
 *
 * @param digits 64 lowercase hexadecimal digits
 */
public record PolicyHash(String digits) {
    /** @throws IllegalArgumentException if the digits are not a SHA-256 hash */
    public PolicyHash {
        if (!digits.matches("[0-9a-f]{64}")) {
            throw new IllegalArgumentException("not a SHA-256 hash of 64 lowercase hexadecimal digits: "
                    + digits.substring(0, Math.min(80, digits.length())));
        }
    }

    /** Computes the hash of the bytes of a file. */
    public static PolicyHash of(byte[] file) {
        try {
            return new PolicyHash(HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256").digest(file)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
