import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;

/**
 * Two toy engines on 127.0.0.1:9001 and :9002 and a control feed on :9092, for trying sandpaddle by hand:
 * {@code java examples/ToyEngine.java}. A query "runs" for 600 ms and gives two pages that tell what was asked.
 */
public final class ToyEngine {
    private static final Duration WORK = Duration.ofMillis(600);
    private static final Duration POLL = Duration.ofMillis(250);

    private record Query(String statement, String profile, Instant doneAt) { }

    private final String name;
    private final Map<String, Query> queries = new ConcurrentHashMap<>();

    private ToyEngine(String name) {
        this.name = name;
    }

    public static void main(String[] args) throws IOException {
        new ToyEngine("toy-a").listen(9001);
        new ToyEngine("toy-b").listen(9002);
        feed(9092);
    }

    private void listen(int port) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 50);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/x", this::query);
        server.createContext("/load", e -> answer(e, 200, ""));
        server.createContext("/healthz", e -> answer(e, 200, ""));
        server.start();
        System.out.println(name + " listens on " + port);
    }

    private void query(HttpExchange e) throws IOException {
        String body = new String(e.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String[] path = e.getRequestURI().getPath().split("/");
        String id = path.length > 2 ? path[2] : e.getRequestHeaders().getFirst("X-Trace");
        System.out.println(name + ": " + e.getRequestMethod() + " " + e.getRequestURI() + " " + id);
        switch (e.getRequestMethod()) {
            case "POST" -> {
                queries.put(id, new Query(body, e.getRequestHeaders().getFirst("X-Profile"), Instant.now().plus(WORK)));
                news(e, id);
            }
            case "GET" -> {
                if (path.length > 3 && !path[3].equals("0")) {
                    e.getResponseHeaders().set("Result-Page", path[3]);
                    answer(e, 200, "page\t" + path[3] + "\tof 1\n");
                } else {
                    news(e, id);
                }
            }
            case "DELETE" -> {
                queries.remove(id);
                answer(e, 204, "");
            }
            default -> answer(e, 204, "");
        }
    }

    /** The end of a query, or after a while a note of how far it is. */
    private void news(HttpExchange e, String id) throws IOException {
        Query q = queries.get(id);
        if (q == null) {
            answer(e, 500, "");
            return;
        }
        Duration left = Duration.between(Instant.now(), q.doneAt);
        pause(left.compareTo(POLL) < 0 ? left : POLL);
        if (left.compareTo(POLL) < 0) {
            e.getResponseHeaders().set("Result-Pages", "2");
            answer(e, 200, name + "\t" + q.profile + "\t" + q.statement.replaceAll("\\s", " ") + "\n");
        } else {
            e.getResponseHeaders().set("X-Result", "frac");
            e.getResponseHeaders().set("Note-Value", String.valueOf(1 - (double) left.toMillis() / WORK.toMillis()));
            answer(e, 202, "");
        }
    }

    private static void answer(HttpExchange e, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        e.getResponseHeaders().set("X-Stats", "utilization:0.2;backlog:0;x0:0.1");
        e.sendResponseHeaders(status, status == 204 || bytes.length == 0 ? -1 : bytes.length);
        e.getResponseBody().write(bytes);
        e.close();
    }

    private static void feed(int port) throws IOException {
        ServerSocket listening = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        System.out.println("control feed listens on " + port);
        while (true) {
            Socket s = listening.accept();
            new Thread(() -> heartbeat(s)).start();
        }
    }

    /** The list never changes: event 1, which the configuration holds, stays the last. */
    private static void heartbeat(Socket s) {
        try (s) {
            new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.UTF_8)).readLine();
            while (true) {
                s.getOutputStream().write("1\n".getBytes(StandardCharsets.UTF_8));
                pause(Duration.ofSeconds(1));
            }
        } catch (IOException gone) {
            System.out.println("a gateway left the feed");
        }
    }

    private static void pause(Duration span) {
        try {
            Thread.sleep(Math.max(0, span.toMillis()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
