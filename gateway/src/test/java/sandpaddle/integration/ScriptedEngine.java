package sandpaddle.integration;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Engine stand-in that answers each HTTP call with the result of a script and records the calls. */
final class ScriptedEngine implements AutoCloseable {
    /** Script result that leaves the call unanswered and the connection open. */
    static final String NO_RESPONSE = "";

    /** Script result that closes the connection without a response. */
    static final String CLOSE_CONNECTION = "break";

    /**
     * A completely received call.
     *
     * @param connection number of its connection, from 1 in the order of accepting
     * @param requestLine the HTTP request line
     * @param headers by name in lower case
     * @param body decoded as ISO-8859-1
     */
    record Call(int connection, String requestLine, Map<String, String> headers, String body) {
        boolean is(String method) {
            return requestLine.startsWith(method + " ");
        }
    }

    private final ServerSocket listener;
    private final Thread acceptThread;
    private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile Function<Call, String> script;
    private volatile Function<Call, String> controlScript = c -> "HTTP/1.1 204 -\r\n\r\n"; // DELETE and PUT

    ScriptedEngine(Function<Call, String> script) throws IOException {
        this.script = script;
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        acceptThread = daemon(this::accept);
    }

    /** Starts a daemon thread. */
    static Thread daemon(Runnable task) {
        Thread t = new Thread(task);
        t.setDaemon(true);
        t.start();
        return t;
    }

    /** Returns an HTTP response; each of the header lines ends with CRLF. */
    static String response(int status, String headers, String body) {
        return "HTTP/1.1 " + status + " -\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Returns the response to a completed query with one page of rows. */
    static String ok(String body) {
        return response(200, "Result-Pages: 1\r\n", body);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Replaces the script for POST and GET. */
    void script(Function<Call, String> next) {
        script = next;
    }

    /** Replaces the script for DELETE and PUT. */
    void scriptControlCalls(Function<Call, String> next) {
        controlScript = next;
    }

    /** Waits for the next call with a method and drops the calls before it; fails if no call is received for 5 s. */
    Call next(String method) throws InterruptedException {
        for (Call c = poll(); c != null; c = poll()) {
            if (c.is(method)) {
                return c;
            }
        }
        throw new AssertionError("no " + method + " received within 5 s");
    }

    private Call poll() throws InterruptedException {
        return calls.poll(5, TimeUnit.SECONDS);
    }

    /** Returns the number of recorded calls with a method that {@link #next} has not returned or dropped. */
    long count(String method) {
        return calls.stream().filter(c -> c.is(method)).count();
    }

    private void accept() {
        try {
            while (true) {
                Socket s = listener.accept();
                sockets.add(s);
                int number = sockets.size();
                daemon(() -> serve(s, number));
            }
        } catch (IOException e) {
            // the listener was closed at the end of the test
        }
    }

    private void serve(Socket socket, int number) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Call c = read(in, number); c != null; c = read(in, number)) {
                String response = c.is("DELETE") || c.is("PUT") ? controlScript.apply(c) : script.apply(c);
                // recorded after the script ran, so that a test that has seen the call may replace the script
                calls.add(c);
                if (response.equals(CLOSE_CONNECTION)) {
                    return;
                }
                socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // closed by the gateway
        }
    }

    private static Call read(InputStream in, int number) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String h = readLine(in); h != null && !h.isEmpty(); h = readLine(in)) {
            headers.put(h.split(":", 2)[0].toLowerCase(Locale.ROOT), h.split(":", 2)[1].strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Call(number, line, headers, new String(in.readNBytes(length), StandardCharsets.ISO_8859_1));
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            line.append((char) b);
        }
        return line.toString().strip();
    }

    /**
     * Stops accepting and closes all connections. Joins the accepting thread, because the kernel accepts connections
     * until that thread has left {@code accept}.
     */
    @Override
    public void close() throws IOException {
        listener.close();
        try {
            acceptThread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (Socket s : sockets) {
            s.close();
        }
    }
}
