package sandpaddle.fleet.link.frame;

import sandpaddle.fleet.member.Member;

/**
 * Who speaks, as both the question and the answer of a handshake tell it. {@code min} to {@code max}: the protocol
 * versions it speaks; of an answer, both are the version chosen. {@code to}: the name of whom it means to talk to.
 * {@code stamp}: counts the greetings of one process, so that of two connections the newer is known.
 */
public record Greeting(int min, int max, String cluster, Member member, String to, long incarnation, long stamp) {
    /** The highest version spoken by both, or 0. */
    public static int common(int min, int max, int otherLeast, int otherMost) {
        int version = Math.min(max, otherMost);
        return version >= Math.max(min, otherLeast) ? version : 0;
    }
}
