package sandpaddle.fleet.link.frame;

import sandpaddle.fleet.member.Member;

/**
 * A gateway's part of the handshake, in both the request and the answer.
 *
 * @param minVersion lowest protocol version supported; in an answer the version chosen
 * @param maxVersion highest protocol version supported; in an answer the version chosen
 * @param cluster name of the cluster
 * @param member the sender
 * @param targetName name of the gateway that the sender wants to reach
 * @param incarnation incarnation of the sender's process
 * @param sequence counts the greetings of one process; identifies the newer of two connections
 */
public record Greeting(
        int minVersion,
        int maxVersion,
        String cluster,
        Member member,
        String targetName,
        long incarnation,
        long sequence) {
    /** The highest version that both sides support, or 0. */
    public static int highestCommonVersion(int min, int max, int otherMin, int otherMax) {
        int version = Math.min(max, otherMax);
        return version >= Math.max(min, otherMin) ? version : 0;
    }
}
