package sandpaddle.fleet.link.tcp;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.function.Supplier;

/** A socket and the frames partly written to it. Guarded by the lock of the links. */
final class FramedSocket {
    private static final int MAX_WRITES_PER_TURN = 4; // so that a busy peer does not starve the others

    /** Progress of a write. */
    enum WriteResult {
        NOTHING,
        SOME,
        ALL
    }

    final long id;
    final SocketChannel channel;
    SelectionKey key;
    boolean isWriteQueued; // queued to be written
    boolean isClosing; // only the last frame is written, and received bytes are ignored
    long closeAtUs; // deadline once closing
    long sentBytes; // accepted by the kernel
    private final ArrayDeque<ByteBuffer> partlyWritten = new ArrayDeque<>();

    FramedSocket(long id, SocketChannel channel) {
        this.id = id;
        this.channel = channel;
    }

    /** Discards the frames not started and adds the last frame. */
    void sendFinalFrame(ByteBuffer finalFrame) {
        isClosing = true;
        ByteBuffer first = partlyWritten.peek();
        partlyWritten.clear();
        if (first != null && first.position() > 0) {
            partlyWritten.add(first);
        }
        partlyWritten.add(finalFrame);
    }

    /**
     * Writes as much as the socket accepts, through a shared buffer.
     *
     * @param buffer shared buffer
     * @param next supplies the next frame, or null
     */
    WriteResult write(ByteBuffer buffer, Supplier<ByteBuffer> next) throws IOException {
        boolean wroteAny = false;
        for (int round = 0; round < MAX_WRITES_PER_TURN; round++) {
            fill(buffer, next);
            int filled = buffer.remaining();
            if (filled == 0) {
                return WriteResult.ALL;
            }
            int count = channel.write(buffer);
            wroteAny |= count > 0;
            consume(count);
            if (count < filled) {
                break;
            }
        }
        return wroteAny ? WriteResult.SOME : WriteResult.NOTHING;
    }

    private void fill(ByteBuffer buffer, Supplier<ByteBuffer> next) {
        buffer.clear();
        for (ByteBuffer frame : partlyWritten) {
            copy(frame, buffer);
        }
        while (buffer.hasRemaining()) {
            ByteBuffer frame = next.get();
            if (frame == null) {
                break;
            }
            partlyWritten.add(frame);
            copy(frame, buffer);
        }
        buffer.flip();
    }

    private static void copy(ByteBuffer frame, ByteBuffer to) {
        int count = Math.min(frame.remaining(), to.remaining());
        to.put(to.position(), frame, frame.position(), count).position(to.position() + count);
    }

    private void consume(int bytes) {
        sentBytes += bytes;
        int remaining = bytes;
        while (remaining > 0) {
            ByteBuffer frame = partlyWritten.peek();
            int count = Math.min(remaining, frame.remaining());
            frame.position(frame.position() + count);
            remaining -= count;
            if (!frame.hasRemaining()) {
                partlyWritten.poll();
            }
        }
    }

    boolean isWritten() {
        return partlyWritten.isEmpty();
    }

    void setInterest(int op, boolean enabled) {
        if (key != null && key.isValid()) {
            int ops = enabled ? key.interestOps() | op : key.interestOps() & ~op;
            if (ops != key.interestOps()) {
                key.interestOps(ops);
            }
        }
    }

    void close() {
        try {
            channel.close(); // also cancels the key
        } catch (IOException e) {
            isWriteQueued = false; // closed in any case
        }
    }
}
