package sandpaddle.mysql;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.testng.annotations.Test;
import sandpaddle.eventloop.Acceptor;
import sandpaddle.eventloop.Connection;
import sandpaddle.eventloop.EventLoop;

/** {@link CommandFlow} on real sockets, with a handler that reads the connection while it handles a packet. */
public class CommandFlowTest {
    private static final int PAYLOAD_BYTES = 1_000;
    private static final int PACKETS = 4_000;
    private static final int READ_BYTES = 16 * 1024; // of one read within a packet's handling

    private EventLoop loop;
    private Connection connection;
    private CommandFlow flow;
    private int handledPackets;
    private int bytesInHandler;
    private int mostBytesInHandler;

    /** Reads all input that has arrived while it handles a packet, as a KILL does. */
    private final class ReadingHandler implements CommandFlow.Handler {
        @Override
        public boolean acceptsPackets() {
            return true;
        }

        @Override
        public boolean hasEnded() {
            return false;
        }

        @Override
        public void handle(PacketReader.Packet packet) {
            handledPackets++;
            bytesInHandler = 0;
            connection.readAvailable();
            mostBytesInHandler = Math.max(mostBytesInHandler, bytesInHandler);
        }

        @Override
        public void onProtocolError(ProtocolException exception) {
            throw new AssertionError(exception);
        }
    }

    private void onReceived(ByteBuffer bytes) {
        bytesInHandler += bytes.remaining();
        flow.onReceived(bytes);
    }

    private void onAccepted(Connection accepted) {
        connection = accepted;
        flow = new CommandFlow(
                loop,
                accepted,
                new SessionTimeouts(loop, accepted, reason -> {}),
                InputMemory.ofHeap(),
                new ReadingHandler());
        accepted.setListener(new Connection.Listener() {
            @Override
            public void onReceived(ByteBuffer bytes) {
                CommandFlowTest.this.onReceived(bytes);
            }

            @Override
            public void onClosed(Exception cause) {}
        });
    }

    private void runUntil(BooleanSupplier condition, SocketChannel peer, ByteBuffer unsent) throws IOException {
        long deadlineNs = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNs, "condition not met within 10 s");
            peer.write(unsent);
            loop.runTurn(() -> {}, Duration.ofMillis(1));
        }
    }

    private static ByteBuffer packets() {
        ByteBuffer packets = ByteBuffer.allocate(PACKETS * (PacketReader.HEADER_BYTES + PAYLOAD_BYTES));
        for (int i = 0; i < PACKETS; i++) {
            packets.put((byte) PAYLOAD_BYTES)
                    .put((byte) (PAYLOAD_BYTES >> 8))
                    .put((byte) 0)
                    .put((byte) 0);
            packets.put(new byte[PAYLOAD_BYTES]);
        }
        return packets.flip();
    }

    /** Guards the heap: input that was read while a packet was handled was buffered without a limit. */
    @Test
    public void readsAtMostOnePacketAheadWhileItHandlesOneAndLosesNothing() throws Exception {
        loop = new EventLoop();
        Acceptor acceptor =
                new Acceptor(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), this::onAccepted);
        try (SocketChannel peer = SocketChannel.open(acceptor.address())) {
            peer.configureBlocking(false);
            ByteBuffer unsent = packets();
            runUntil(() -> handledPackets == PACKETS, peer, unsent);
            assertTrue(
                    mostBytesInHandler <= SessionInput.MAX_PIPELINED_BYTES + READ_BYTES,
                    mostBytesInHandler + " bytes were read while a packet was handled");
            assertEquals(handledPackets, PACKETS);
            connection.close();
        } finally {
            acceptor.close();
        }
    }
}
