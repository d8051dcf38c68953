package sandpaddle.fleet.verdict.evidence;

import java.util.List;

/**
 * A message with evidence from one gateway to another; immutable. Each time is in microseconds of the monotonic clock
 * of the gateway that the component names.
 *
 * @param sentAtUs time of the sender at which it built the batch
 * @param echoedStampUs latest {@code sentAtUs} that the sender received from the receiver, or {@link #NO_ECHO}
 * @param echoDelayUs time between the sender's receipt of that stamp and this batch
 * @param urgentUpTo version in the sender's store up to which the receiver now has all urgent changes
 * @param normalUpTo the same for the other changes
 * @param urgentAck version in the receiver's store up to which the sender has all urgent changes
 * @param normalAck the same for the other changes
 * @param messages the records, urgent ones first
 */
public record EvidenceBatch(
        long sentAtUs,
        long echoedStampUs,
        long echoDelayUs,
        long urgentUpTo,
        long normalUpTo,
        long urgentAck,
        long normalAck,
        List<EvidenceMessage> messages) {
    /** Value of {@code echoedStampUs} while the sender has received no stamp. */
    public static final long NO_ECHO = -1;
}
