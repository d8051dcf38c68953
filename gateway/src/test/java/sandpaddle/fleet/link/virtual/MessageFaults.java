package sandpaddle.fleet.link.virtual;

import java.nio.ByteBuffer;
import java.util.SplittableRandom;
import sandpaddle.fleet.link.frame.Frame;
import sandpaddle.fleet.link.frame.FrameDecoder;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;

/**
 * Random faults of messages: jitter, loss and duplication. Only messages of the fleet are lost or duplicated; frames of
 * the links themselves, such as handshakes and pings, are only delayed.
 */
final class MessageFaults {
    private static final long MAX_DUPLICATE_DELAY_US = 1_000_000;
    private static final int MAX_ONE_BYTE_NUMBER = 23; // CBOR encodes numbers up to this in one byte

    private final VirtualTime time;
    private final SplittableRandom random;
    double dropProbability;
    double duplicateProbability;
    long jitterUs;

    MessageFaults(VirtualTime time, SplittableRandom random) {
        this.time = time;
        this.random = random;
    }

    long drawJitterUs() {
        return jitterUs == 0 ? 0 : random.nextLong(jitterUs);
    }

    /** Whether a frame is delivered; may also schedule the delivery of a duplicate. */
    boolean isDelivered(VirtualConnection.End from, VirtualConnection.End to, ByteBuffer frame) {
        int number = frame.get(FrameDecoder.HEADER_BYTES);
        if (number < Frame.FIRST_KIND || number > MAX_ONE_BYTE_NUMBER) {
            return true;
        }
        if (dropProbability > 0 && random.nextDouble() < dropProbability) {
            return false;
        }
        if (duplicateProbability > 0 && random.nextDouble() < duplicateProbability) {
            byte[] body = new byte[frame.remaining() - FrameDecoder.HEADER_BYTES];
            frame.get(frame.position() + FrameDecoder.HEADER_BYTES, body);
            time.after(random.nextLong(MAX_DUPLICATE_DELAY_US), () -> deliverDuplicate(from.node.name(), to, body));
        }
        return true;
    }

    private static void deliverDuplicate(String from, VirtualConnection.End to, byte[] body) {
        try {
            if (to.node.runs(to.generation) && Frame.decode(body) instanceof Frame.Data data) {
                to.node.messageReceived(from, data.kind(), data.payload());
            }
        } catch (FaultyMessageException e) {
            throw new IllegalStateException(e);
        }
    }
}
