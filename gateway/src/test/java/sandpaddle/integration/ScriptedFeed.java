package sandpaddle.integration;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Endpoint list feed whose connections are accepted and written to by a test. */
public final class ScriptedFeed implements AutoCloseable {
    /**
     * A connection of the gateway.
     *
     * @param socket its socket
     * @param subscription the first line that the gateway sent
     */
    public record Connection(Socket socket, String subscription) {
        /** Waits for the next byte and returns whether the stream has ended instead. */
        public boolean isClosedByGateway() throws IOException {
            return socket.getInputStream().read() < 0;
        }

        /** Writes a line. */
        public void writeLine(String text) throws IOException {
            socket.getOutputStream().write((text + "\n").getBytes(StandardCharsets.UTF_8));
        }

        /** Writes a line in chunks of the given size. */
        public void writeLineInChunks(String text, int chunkBytes) throws IOException {
            byte[] all = (text + "\n").getBytes(StandardCharsets.UTF_8);
            for (int i = 0; i < all.length; i += chunkBytes) {
                socket.getOutputStream().write(all, i, Math.min(chunkBytes, all.length - i));
            }
        }
    }

    private final ServerSocket listener;

    /** Listens on a free port of the loopback address. */
    public ScriptedFeed() throws IOException {
        this(0);
    }

    /** Listens on the given port, such as that of a feed that was closed; 0 for a free port. */
    public ScriptedFeed(int port) throws IOException {
        listener = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        listener.setSoTimeout(8000);
    }

    /** Returns the port on which the feed listens. */
    public int port() {
        return listener.getLocalPort();
    }

    /** Accepts a connection, waiting up to 8 s, and reads its first line. */
    public Connection accept() throws IOException {
        Socket s = listener.accept();
        return new Connection(
                s, new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.UTF_8)).readLine());
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
