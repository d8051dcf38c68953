package sandpaddle.eventloop;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import org.testng.annotations.Test;

/** A write on a connection that its peer has reset. */
public class FailedWriteTest {
    private Connection connection;
    private boolean closedReported;

    private final Connection.Listener listener = new Connection.Listener() {
        @Override
        public void onReceived(ByteBuffer bytes) {}

        @Override
        public void onClosed(Exception cause) {
            closedReported = true;
        }
    };

    private void writeUntilClosed() {
        long deadlineNs = System.nanoTime() + Duration.ofSeconds(5).toNanos();
        while (connection.isConnected()) {
            assertTrue(System.nanoTime() < deadlineNs, "the reset was not noticed within 5 s");
            connection.write(new byte[] {1});
        }
    }

    /** Guards the heap: a session whose answer could not be written was kept for 30 s, to watch that it is sent. */
    @Test
    public void noBytesAreUnsentOnceAWriteHasFailed() throws IOException {
        EventLoop loop = new EventLoop();
        Acceptor acceptor = new Acceptor(
                loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), accepted -> connection = accepted);
        try (SocketChannel peer = SocketChannel.open(acceptor.address())) {
            while (connection == null) {
                loop.runTurn(() -> {}, Duration.ofMillis(1));
            }
            connection.setListener(listener);
            peer.setOption(StandardSocketOptions.SO_LINGER, 0);
            peer.close();
            writeUntilClosed();
            assertTrue(closedReported);
            assertFalse(connection.isConnected());
            assertEquals(connection.unsentBytes(), 0);
        } finally {
            acceptor.close();
        }
    }
}
