package sandpaddle.fleet.link.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.link.MessageKind;

class SendQueueProperties {
    private static final List<MessageKind> MOST_URGENT_FIRST = List.of(
            MessageKind.RAFT,
            MessageKind.GRANT,
            MessageKind.PROPOSAL,
            MessageKind.HEARTBEAT,
            MessageKind.EVIDENCE,
            MessageKind.CONTENT);

    private static ByteBuffer frame(int kind, int number, int size) {
        return ByteBuffer.allocate(Math.max(8, size)).putInt(0, kind).putInt(4, number);
    }

    /** Accepted frames are polled exactly once, by urgency and then in order; the bounds hold at every step. */
    @Property(seed = "41", tries = 200)
    void noAcceptedFrameIsLostAndUrgentFramesAreFirst(@ForAll @IntRange(max = 1_000_000) int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SendQueue sendQueue = new SendQueue(20_000, 40);
        List<List<Integer>> model = new ArrayList<>();
        MOST_URGENT_FIRST.forEach(kind -> model.add(new ArrayList<>()));
        for (int i = 0; i < 300; i++) {
            if (random.nextInt(5) < 3) {
                int kind = random.nextInt(MOST_URGENT_FIRST.size());
                if (sendQueue.offer(MOST_URGENT_FIRST.get(kind), frame(kind, i, random.nextInt(3000)))) {
                    model.get(kind).add(i);
                }
            } else {
                List<Integer> first = model.stream()
                        .filter(numbers -> !numbers.isEmpty())
                        .findFirst()
                        .orElse(null);
                ByteBuffer polled = sendQueue.poll();
                assertEquals(first == null ? null : first.remove(0), polled == null ? null : polled.getInt(4));
            }
            assertTrue(sendQueue.bytes() <= 20_000 && sendQueue.frames() <= 40);
            assertEquals(model.stream().mapToInt(List::size).sum(), sendQueue.frames());
        }
    }

    @Test
    void aQueueFullOfContentHasCapacityForConsensus() {
        SendQueue sendQueue = new SendQueue(1 << 20, 100);
        int content = 0;
        while (sendQueue.offer(MessageKind.CONTENT, frame(5, content, 100))) {
            content++;
        }
        assertEquals(50, content, "content may fill half of the queue");
        assertTrue(sendQueue.offer(MessageKind.EVIDENCE, frame(4, 0, 100)));
        for (int i = 0; i < 49; i++) {
            assertTrue(sendQueue.offer(MessageKind.RAFT, frame(0, i, 100)));
        }
        assertFalse(
                sendQueue.offer(MessageKind.RAFT, frame(0, 49, 100)), "the bound applies to the most urgent kind too");
        assertEquals(0, sendQueue.poll().getInt(0));
    }

    @Test
    void anEmptyQueueReturnsNull() {
        SendQueue sendQueue = new SendQueue(100, 16);
        assertNull(sendQueue.poll());
        sendQueue.offerControl(frame(9, 1, 8));
        assertEquals(1, sendQueue.controlFrames());
        assertEquals(1, sendQueue.poll().getInt(4));
        assertTrue(sendQueue.isEmpty());
    }

    @Property(seed = "42", tries = 100)
    void delaysGrowToTheMaximumAndRestartAfterAReset(@ForAll @IntRange(max = 1_000_000) int seed) {
        Backoff backoff = new Backoff(100, 5000, new SplittableRandom(seed));
        long bound = 100;
        for (int i = 0; i < 30; i++) {
            long delayUs = backoff.nextDelayUs();
            assertTrue(delayUs >= bound / 2 && delayUs <= bound, "delay " + delayUs + " of " + bound);
            bound = Math.min(5000, 2 * bound);
        }
        backoff.reset();
        assertTrue(backoff.nextDelayUs() <= 100);
    }

    @Test
    void twoGatewaysThatLostAPeerTogetherReconnectAtDifferentTimes() {
        Backoff one = new Backoff(100_000, 5_000_000, new SplittableRandom(1));
        Backoff two = new Backoff(100_000, 5_000_000, new SplittableRandom(2));
        for (int i = 0; i < 10; i++) {
            assertNotEquals(one.nextDelayUs(), two.nextDelayUs());
        }
    }
}
