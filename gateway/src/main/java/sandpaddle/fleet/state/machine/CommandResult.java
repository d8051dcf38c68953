package sandpaddle.fleet.state.machine;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The result of a command for its proposer. A refusal changes nothing and is the same at every voter.
 *
 * @param isAccepted whether the command was applied
 * @param result what the part returned; empty for a refusal
 * @param reason why the command was refused; empty if it was accepted
 */
public record CommandResult(boolean isAccepted, byte[] result, String reason) {
    private static final byte ACCEPTED = 0;
    private static final byte REFUSED = 1;

    /** Max length of a refusal's reason (characters). */
    public static final int MAX_REASON_CHARS = 500;

    /** Encodes the result of an accepted command. */
    static byte[] accepted(byte[] result) {
        byte[] bytes = new byte[result.length + 1];
        bytes[0] = ACCEPTED;
        System.arraycopy(result, 0, bytes, 1, result.length);
        return bytes;
    }

    /** Encodes a refusal; the reason is truncated to {@value #MAX_REASON_CHARS} characters. */
    public static byte[] refused(String reason) {
        byte[] text =
                reason.substring(0, Math.min(MAX_REASON_CHARS, reason.length())).getBytes(StandardCharsets.UTF_8);
        byte[] bytes = new byte[text.length + 1];
        bytes[0] = REFUSED;
        System.arraycopy(text, 0, bytes, 1, text.length);
        return bytes;
    }

    /** Decodes the result of a committed proposal; malformed bytes are decoded as a refusal. */
    public static CommandResult parse(byte[] bytes) {
        if (bytes.length == 0 || bytes[0] != ACCEPTED && bytes[0] != REFUSED) {
            return new CommandResult(false, new byte[0], "malformed command result");
        }
        byte[] rest = Arrays.copyOfRange(bytes, 1, bytes.length);
        return bytes[0] == ACCEPTED
                ? new CommandResult(true, rest, "")
                : new CommandResult(false, new byte[0], new String(rest, StandardCharsets.UTF_8));
    }
}
