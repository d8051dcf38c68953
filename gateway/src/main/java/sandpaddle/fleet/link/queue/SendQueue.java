package sandpaddle.fleet.link.queue;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import sandpaddle.fleet.link.MessageKind;

/**
 * The frames queued for one peer, by urgency and in order within an urgency. Each urgency may fill the queue only up
 * to its own percentage, so capacity remains for more urgent frames when less urgent ones are rejected. An accepted
 * frame is never dropped. Bounded by bytes and frames, plus the control frames, which their senders bound. Guarded by
 * the lock of the links.
 */
public final class SendQueue {
    /** Urgency of control frames (handshake, ping, pong). */
    private static final int CONTROL = 0;

    private static final int[] MAX_PERCENT_BY_URGENCY = {100, 100, 90, 80, 70, 60, 50};

    private final int maxBytes, maxFrames;
    private final List<ArrayDeque<ByteBuffer>> queuesByUrgency = new ArrayList<>();
    private int bytes, frames;

    /** Creates an empty queue with bounds for bytes and frames. */
    public SendQueue(int maxBytes, int maxFrames) {
        this.maxBytes = maxBytes;
        this.maxFrames = maxFrames;
        for (int i = 0; i < MAX_PERCENT_BY_URGENCY.length; i++) {
            queuesByUrgency.add(new ArrayDeque<>());
        }
    }

    /** The urgency of a kind; 0 is the most urgent. Consensus and quotas must not wait behind evidence or content. */
    private static int urgency(MessageKind kind) {
        return switch (kind) {
            case RAFT -> 1;
            case GRANT -> 2;
            case PROPOSAL, STATUS -> 3;
            case HEARTBEAT -> 4;
            case EVIDENCE -> 5;
            case CONTENT -> 6;
        };
    }

    /** Whether a message of this kind and size would be accepted now. */
    public boolean hasCapacity(MessageKind kind, int size) {
        int percent = MAX_PERCENT_BY_URGENCY[urgency(kind)];
        return frames < (long) maxFrames * percent / 100 && bytes + (long) size <= (long) maxBytes * percent / 100;
    }

    /** Queues a frame, or returns false if the part of the queue for its kind is full. */
    public boolean offer(MessageKind kind, ByteBuffer frame) {
        return hasCapacity(kind, frame.remaining()) && add(urgency(kind), frame);
    }

    /** Queues a control frame. */
    public void offerControl(ByteBuffer frame) {
        add(CONTROL, frame);
    }

    private boolean add(int urgency, ByteBuffer frame) {
        queuesByUrgency.get(urgency).add(frame);
        bytes += frame.remaining();
        frames++;
        return true;
    }

    /** Removes the most urgent frame, or returns null. */
    public ByteBuffer poll() {
        for (ArrayDeque<ByteBuffer> queue : queuesByUrgency) {
            ByteBuffer frame = queue.poll();
            if (frame != null) {
                bytes -= frame.remaining();
                frames--;
                return frame;
            }
        }
        return null;
    }

    /** Number of control frames queued. */
    public int controlFrames() {
        return queuesByUrgency.get(CONTROL).size();
    }

    /** Whether no frame is queued. */
    public boolean isEmpty() {
        return frames == 0;
    }

    /** Bytes queued. */
    public int bytes() {
        return bytes;
    }

    /** Frames queued. */
    public int frames() {
        return frames;
    }
}
