package sandpaddle.interleaving;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An engine whose bytes the test scripts: the kernel establishes connections, but no call is answered by itself. */
final class ScriptedEngine implements AutoCloseable {
    static final String ROWS = "HTTP/1.1 200 -\r\nResult-Pages: 1\r\nContent-Length: 6\r\n\r\na\tb\tc\n";
    static final String IN_PROGRESS = "HTTP/1.1 202 -\r\nContent-Length: 0\r\n\r\n";
    static final String FAILED = "HTTP/1.1 500 -\r\nContent-Length: 0\r\n\r\n";
    static final String NO_CONTENT = "HTTP/1.1 204 -\r\n\r\n";

    static final String DECLINED = "HTTP/1.1 503 -\r\nX-Declined: 1\r\nContent-Length: 0\r\n\r\n";
    private static final Pattern CALL_HEAD =
            Pattern.compile("\\A([A-Z]+) /(?:x/)?([0-9a-f]*)\\S* HTTP/1.1\r\n(.*?)\r\n\r\n", Pattern.DOTALL);
    private static final Pattern TRACE_HEADER = Pattern.compile("X-Trace: (\\S+)");
    private static final Pattern LENGTH_HEADER = Pattern.compile("Content-Length: (\\d+)");

    /** A completely received call. */
    record Call(int connection, String method, String trace) {}

    private final InetSocketAddress address;
    private ServerSocketChannel listening;
    private final List<SocketChannel> accepted = new ArrayList<>();
    private final List<StringBuilder> received = new ArrayList<>();
    private final List<StringBuilder> unparsed = new ArrayList<>();
    private final Set<Integer> closedByGateway = new HashSet<>(); // indexes of connections
    private final List<Call> receivedCalls = new ArrayList<>();
    private final ByteBuffer buffer = ByteBuffer.allocate(8 * 1024);
    private String lastBody = "";

    ScriptedEngine() throws IOException {
        listening = listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        address = (InetSocketAddress) listening.getLocalAddress();
    }

    private static ServerSocketChannel listen(InetSocketAddress address) throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(address);
        channel.configureBlocking(false);
        return channel;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Simulates a crash of the process: connections are reset, and new ones are refused. */
    void crash() throws IOException {
        resetAllAndStopListening();
    }

    /** Listens at the same address again. */
    void restart() throws IOException {
        listening = listen(address);
    }

    /** Accepts new connections and reads the received bytes. */
    void read() throws IOException {
        for (SocketChannel channel = accept(); channel != null; channel = accept()) {
            channel.configureBlocking(false);
            accepted.add(channel);
            received.add(new StringBuilder());
            unparsed.add(new StringBuilder());
        }
        for (int i = 0; i < accepted.size(); i++) {
            read(i);
        }
    }

    private SocketChannel accept() throws IOException {
        return listening.isOpen() ? listening.accept() : null;
    }

    private void read(int connection) throws IOException {
        ByteBuffer chunk = buffer.clear();
        try {
            int count =
                    accepted.get(connection).isOpen() ? accepted.get(connection).read(chunk) : 0;
            while (count > 0) {
                CharSequence text = StandardCharsets.ISO_8859_1.decode(chunk.flip());
                received.get(connection).append(text);
                unparsed.get(connection).append(text);
                chunk.clear();
                count = accepted.get(connection).read(chunk);
            }
            if (count < 0) {
                closedByGateway.add(connection);
            }
        } catch (IOException e) {
            accepted.get(connection).close();
        }
        parseCalls(connection);
    }

    private void parseCalls(int connection) {
        StringBuilder rest = unparsed.get(connection);
        for (Matcher call = CALL_HEAD.matcher(rest); call.find(); call = CALL_HEAD.matcher(rest)) {
            Matcher length = LENGTH_HEADER.matcher(call.group(3));
            int end = call.end() + (length.find() ? Integer.parseInt(length.group(1)) : 0);
            if (rest.length() < end) {
                return;
            }
            Matcher trace = TRACE_HEADER.matcher(call.group(3));
            receivedCalls.add(new Call(connection, call.group(1), trace.find() ? trace.group(1) : call.group(2)));
            lastBody = rest.substring(call.end(), end);
            rest.delete(0, end);
        }
    }

    /** The completely received calls, in order for each connection. */
    List<Call> receivedCalls() {
        return receivedCalls;
    }

    /** Whether neither side has closed a connection. */
    boolean isOpen(int connection) {
        return accepted.get(connection).isOpen() && !closedByGateway.contains(connection);
    }

    /** Writes on a connection; has no effect if the gateway has closed it. */
    void write(int connection, String bytes) throws IOException {
        try {
            accepted.get(connection).write(StandardCharsets.ISO_8859_1.encode(bytes));
        } catch (IOException e) {
            accepted.get(connection).close();
        }
    }

    /** Closes a connection, with an RST or a FIN. */
    void closeConnection(int connection, boolean reset) throws IOException {
        if (reset) {
            accepted.get(connection).setOption(StandardSocketOptions.SO_LINGER, 0);
        }
        accepted.get(connection).close();
    }

    /** Number of calls of a method on all connections, on each since its last {@link #respond}. */
    int callCount(String method) {
        return received.stream()
                .mapToInt(text -> (" " + text).split("(?<![A-Z])" + method + " /", -1).length - 1)
                .sum();
    }

    /** The body of the latest completely received call. */
    String lastBody() {
        return lastBody;
    }

    int connectionCount() {
        return accepted.size();
    }

    /** Responds on the latest open connection that has carried a call of a method since its last response. */
    void respond(String method, String bytes) throws IOException {
        for (int i = accepted.size() - 1; i >= 0; i--) {
            if (accepted.get(i).isOpen() && received.get(i).indexOf(method + " /") >= 0) {
                accepted.get(i).write(StandardCharsets.ISO_8859_1.encode(bytes));
                received.get(i).setLength(0);
                return;
            }
        }
        throw new AssertionError("no open connection has an unanswered " + method);
    }

    void resetAllAndStopListening() throws IOException {
        for (int i = 0; i < accepted.size(); i++) {
            if (accepted.get(i).isOpen()) {
                closeConnection(i, true);
            }
        }
        listening.close();
    }

    @Override
    public void close() throws IOException {
        listening.close();
        for (SocketChannel channel : accepted) {
            channel.close();
        }
    }
}
