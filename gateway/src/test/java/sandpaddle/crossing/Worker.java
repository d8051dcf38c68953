package sandpaddle.crossing;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** An engine whose every byte the test plays: the kernel brings its connections up, nothing is answered by itself. */
final class Worker implements AutoCloseable {
    static final String ROWS = "HTTP/1.1 200 -\r\nResult-Pages: 1\r\nContent-Length: 6\r\n\r\na\tb\tc\n";
    static final String NOT_YET = "HTTP/1.1 202 -\r\nContent-Length: 0\r\n\r\n";
    static final String FAILED = "HTTP/1.1 500 -\r\nContent-Length: 0\r\n\r\n";
    static final String DONE = "HTTP/1.1 204 -\r\n\r\n";

    private final ServerSocketChannel listening = ServerSocketChannel.open();
    private final List<SocketChannel> accepted = new ArrayList<>();
    private final List<StringBuilder> read = new ArrayList<>();

    Worker() throws IOException {
        listening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        listening.configureBlocking(false);
    }

    InetSocketAddress address() throws IOException {
        return (InetSocketAddress) listening.getLocalAddress();
    }

    /** Takes new connections and reads what has come. */
    void read() throws IOException {
        for (SocketChannel c = listening.accept(); c != null; c = listening.accept()) {
            c.configureBlocking(false);
            accepted.add(c);
            read.add(new StringBuilder());
        }
        for (int i = 0; i < accepted.size(); i++) {
            ByteBuffer b = ByteBuffer.allocate(64 * 1024);
            try {
                while (accepted.get(i).isOpen() && accepted.get(i).read(b) > 0) {
                    read.get(i).append(StandardCharsets.ISO_8859_1.decode(b.flip()));
                    b.clear();
                }
            } catch (IOException e) {
                accepted.get(i).close();
            }
        }
    }

    /** How many calls of a method came, over all connections. */
    int calls(String method) {
        return read.stream().mapToInt(s -> (" " + s).split("(?<![A-Z])" + method + " /", -1).length - 1).sum();
    }

    int connections() {
        return accepted.size();
    }

    /** Answers on the connection that carried a call of a method last. */
    void answer(String method, String bytes) throws IOException {
        for (int i = accepted.size() - 1; i >= 0; i--) {
            if (accepted.get(i).isOpen() && read.get(i).indexOf(method + " /") >= 0) {
                accepted.get(i).write(StandardCharsets.ISO_8859_1.encode(bytes));
                read.get(i).setLength(0);
                return;
            }
        }
        throw new AssertionError("no open connection carried a " + method);
    }

    @Override
    public void close() throws IOException {
        listening.close();
        for (SocketChannel c : accepted) {
            c.close();
        }
    }
}
