import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins of the platform for the cases of the review, in one process on loopback: engines, a control feed, MySQL
 * clients, and the start and end of a gateway by the run line of deploy/balancer.toml. They follow the protocol page;
 * where it is silent they behave as a sound peer would. All times are milliseconds since the start of the case.
 */
final class Stand {
    private Stand() {}

    static final long START = System.nanoTime();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static PrintWriter record;

    /** Milliseconds since the start of the case. */
    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void open(Path folder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        note("case " + folder.getFileName() + ", trouble " + (TROUBLE ? "on" : "off"));
    }

    /** Writes a line to record.txt. */
    static void note(String line) {
        synchronized (record) {
            record.printf(Locale.ROOT, "%8d %s%n", now(), line);
        }
    }

    static void say(String line) {
        note(line);
        System.out.println(line);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void sleepUntil(long atMs) {
        sleep(atMs - now());
    }

    /** Something that may fail, in a thread of its own. */
    interface Task {
        void run() throws Exception;
    }

    static Thread spawn(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                note(name + " ended by " + e);
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static ServerSocket listen(int backlog) throws IOException {
        return new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
    }

    private static void close(AutoCloseable socket) {
        try {
            socket.close();
        } catch (Exception e) {
            // it is closed
        }
    }

    // ---- Engines.

    /** A run of a query on an engine: from the POST that came whole until its end. */
    static final class Run {
        final String engine;
        final String trace;
        final String route;
        final long startMs;
        final long workMs;
        volatile long endMs = Long.MAX_VALUE;
        volatile String end = "running";
        volatile int calls; // that wait for its news
        volatile long askedMs;

        Run(String engine, String trace, String route, long workMs) {
            this.engine = engine;
            this.trace = trace;
            this.route = route;
            this.workMs = workMs;
            startMs = now();
            askedMs = startMs;
        }

        synchronized void end(String how) {
            if (endMs == Long.MAX_VALUE) {
                endMs = now();
                end = how;
                note("engine " + engine + " " + trace + " " + how);
                notifyAll();
            }
        }

        /** Waits for the end, 250 ms at most. */
        synchronized void await() throws InterruptedException {
            calls++;
            long until = now() + 250;
            while (endMs == Long.MAX_VALUE && now() < until) {
                wait(Math.max(1, until - now()));
            }
            calls--;
            askedMs = now();
        }
    }

    /** An engine: runs each query for the milliseconds that its statement names in work=MS. */
    static final class Engine {
        final String id;
        final ServerSocket listener;
        final Map<String, Run> latest = new ConcurrentHashMap<>();
        final List<Run> runs = new ArrayList<>();
        private final Random random;
        volatile int spoilOneIn; // good answers that state a length which does not fit; 0 for none

        Engine(String id) throws IOException {
            this.id = id;
            listener = listen(512);
            random = new Random(id.hashCode());
            spawn("engine " + id, () -> {
                while (true) {
                    Socket socket = listener.accept();
                    spawn("engine " + id + " connection", () -> serve(socket));
                }
            });
            spawn("engine " + id + " clock", () -> {
                while (true) {
                    sleep(10);
                    for (Run run : latest.values()) {
                        if (run.endMs != Long.MAX_VALUE) {
                            continue;
                        }
                        if (now() - run.startMs >= run.workMs) {
                            run.end("done");
                        } else if (run.calls == 0 && now() - run.askedMs > 2000) {
                            run.end("dropped: not asked for in 2 s");
                        }
                    }
                }
            });
        }

        int port() {
            return listener.getLocalPort();
        }

        List<Run> runs() {
            synchronized (runs) {
                return new ArrayList<>(runs);
            }
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = socket.getInputStream();
                OutputStream out = socket.getOutputStream();
                while (true) {
                    String line = line(in);
                    if (line == null) {
                        return;
                    }
                    Map<String, String> fields = new HashMap<>();
                    for (String field = line(in); field != null && !field.isEmpty(); field = line(in)) {
                        int colon = field.indexOf(':');
                        fields.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).strip());
                    }
                    byte[] body = in.readNBytes(Integer.parseInt(fields.getOrDefault("content-length", "0")));
                    String[] call = line.split(" ");
                    String answer = answer(call[0], call[1], fields, body);
                    out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
                    out.flush();
                }
            } catch (SocketException e) {
                // the peer has gone
            }
        }

        private static String line(InputStream in) throws IOException {
            StringBuilder text = new StringBuilder();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    return null;
                }
                if (next != '\r') {
                    text.append((char) next);
                }
            }
            return text.toString();
        }

        private static String http(String status, String fields, String body) {
            return "HTTP/1.1 " + status + "\r\nX-Stats: utilization:0.10;backlog:0;x0:0.05\r\n" + fields
                    + (status.startsWith("204") ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body;
        }

        private String answer(String method, String path, Map<String, String> fields, byte[] body) throws Exception {
            if (path.equals("/healthz") || path.equals("/load")) {
                return http("200 OK", "", "");
            }
            if (method.equals("POST")) {
                String statement = new String(body, StandardCharsets.ISO_8859_1);
                Matcher work = Pattern.compile("work=(\\d+)").matcher(statement);
                Run run = new Run(id, fields.get("x-trace"), fields.get("x-profile"), work.find() ? Long.parseLong(work.group(1)) : 10);
                synchronized (runs) {
                    runs.add(run);
                }
                latest.put(run.trace, run);
                note("engine " + id + " " + run.trace + " POST whole, class " + run.route + ", work " + run.workMs);
                return news(run);
            }
            String[] parts = path.split("/");
            Run run = parts.length > 2 ? latest.get(parts[2]) : null;
            if (method.equals("DELETE")) {
                note("engine " + id + " " + parts[2] + " DELETE whole");
                if (run != null) {
                    run.end("given up");
                }
                return http("204 No Content", "", "");
            }
            if (method.equals("PUT")) {
                return http("204 No Content", "", "");
            }
            return run == null ? http("500 Error", "", "") : news(run);
        }

        private String news(Run run) throws Exception {
            run.await();
            if (run.endMs == Long.MAX_VALUE) {
                double share = Math.min(0.99, (double) (now() - run.startMs) / run.workMs);
                String note = now() - run.startMs < 500 ? "" : String.format(Locale.ROOT, "X-Result: frac\r\nNote-Value: %.2f\r\n", share);
                return http("202 Accepted", note, "");
            }
            return run.end.equals("done") ? good(run) : http("500 Error", "", "");
        }

        /** The rows that this engine makes for a query. */
        List<String> rows(String trace) {
            List<String> rows = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                rows.add(i + "\t" + trace.substring(12) + "\t" + id);
            }
            return rows;
        }

        private synchronized String good(Run run) {
            String body = String.join("\n", rows(run.trace)) + "\n";
            String answer = http("200 OK", "Result-Pages: 1\r\n", body);
            if (spoilOneIn == 0 || random.nextInt(spoilOneIn) > 0) {
                return answer;
            }
            int length = random.nextInt(body.length());
            note("engine " + id + " " + run.trace + " answer spoilt: its length says " + length + ", it has " + body.length());
            return answer.replace("Content-Length: " + body.length(), "Content-Length: " + length);
        }
    }

    // ---- The control feed.

    /** A control feed that has nothing to tell after the start's list, event 1. */
    static ServerSocket feed() throws IOException {
        ServerSocket listener = listen(64);
        spawn("feed", () -> {
            while (true) {
                Socket socket = listener.accept();
                spawn("feed connection", () -> {
                    while (true) {
                        socket.getOutputStream().write("1\n".getBytes(StandardCharsets.US_ASCII));
                        sleep(1000);
                    }
                });
            }
        });
        return listener;
    }

    // ---- The gateway.

    /** A gateway process, started by the run line of the deploy file. */
    static final class Gateway {
        final Path root;
        final Path folder;
        final int port;
        Process process;

        /** @param engines ids with the ports at which the gateway reaches them; the zone is hall-a, hall-b, ... in turn */
        Gateway(Path root, Map<String, Integer> engines, int feedPort) throws IOException {
            this.root = root;
            folder = Files.createTempDirectory("review");
            try (ServerSocket free = listen(1)) {
                port = free.getLocalPort();
            }
            StringBuilder hosts = new StringBuilder();
            int zone = 0;
            for (Map.Entry<String, Integer> engine : engines.entrySet()) {
                hosts.append(hosts.length() == 0 ? "" : ",")
                        .append("{\"host\":\"").append(engine.getKey())
                        .append("\",\"dial\":\"127.0.0.1:").append(engine.getValue())
                        .append("\",\"site\":\"hall-").append((char) ('a' + zone++ % 3))
                        .append("\",\"class\":\"std-8\",\"block\":0,\"health\":\"Ready\",\"share\":1,\"born_ms\":0}");
            }
            String config = Files.readString(root.resolve("review/config.json"))
                    .replace("@LISTEN@", "127.0.0.1:" + port)
                    .replace("@FEED@", "127.0.0.1:" + feedPort)
                    .replace("@HOSTS@", hosts);
            Files.writeString(folder.resolve("config.json"), config);
        }

        /** Starts it, and waits until it answers COM_PING with OK, 30 s at most. */
        void start() throws Exception {
            String run = null;
            for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
                Matcher matcher = Pattern.compile("run = \"(.*)\"").matcher(line);
                run = matcher.matches() ? matcher.group(1) : run;
            }
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile());
            Path temporary = Files.createDirectory(folder.resolve("tmp"));
            builder.environment().put("TMPDIR", temporary.toString());
            builder.environment().put("BALANCER_NAME", "n0");
            builder.environment().put("BALANCER_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("BALANCER_CONFIG", folder.resolve("config.json").toString());
            builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
            process = builder.start();
            Runtime.getRuntime().addShutdownHook(new Thread(this::end));
            long until = now() + 30_000;
            while (true) {
                try (Client client = new Client(port, 1000)) {
                    if (client.ping()) {
                        note("gateway is ready, pid " + process.pid());
                        return;
                    }
                } catch (IOException e) {
                    if (now() > until || !process.isAlive()) {
                        throw new IOException("the gateway is not ready: " + log(), e);
                    }
                }
                sleep(50);
            }
        }

        String log() throws IOException {
            String text = Files.readString(folder.resolve("log"), StandardCharsets.ISO_8859_1);
            return text.substring(Math.max(0, text.length() - 4000));
        }

        void end() {
            if (process != null) {
                process.destroy();
                try {
                    if (!process.waitFor(1, TimeUnit.SECONDS)) {
                        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
                    }
                } catch (InterruptedException e) {
                    process.destroyForcibly();
                }
                process = null;
            }
            File[] files = folder.toFile().listFiles();
            if (files != null) {
                for (File file : files) {
                    File[] inner = file.listFiles();
                    if (inner != null) {
                        for (File one : inner) {
                            one.delete();
                        }
                    }
                    file.delete();
                }
                folder.toFile().delete();
            }
        }
    }

    // ---- Clients.

    /** The end of a request, as its client saw it. */
    record Answer(String kind, int code, String text, List<String> rows) {}

    /** A client session of the MySQL protocol 4.1. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final DataInputStream in;
        final OutputStream out;
        int connectionId;

        Client(int port, int timeoutMs) throws IOException {
            try {
                socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMs);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(timeoutMs);
                in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream(), 1 << 16));
                out = socket.getOutputStream();
                byte[] greeting = packet();
                if ((greeting[0] & 0xFF) == 0xFF) {
                    throw new IOException("refused: " + error(greeting).text());
                }
                int at = 1;
                while (greeting[at++] != 0) {
                    // the server's version
                }
                for (int i = 0; i < 4; i++) {
                    connectionId |= (greeting[at + i] & 0xFF) << 8 * i;
                }
                ByteArrayOutputStream login = new ByteArrayOutputStream();
                int capabilities = 0x200 | 0x8 | 0x8000 | 0x80000;
                for (int i = 0; i < 4; i++) {
                    login.write(capabilities >>> 8 * i);
                }
                login.write(new byte[] {0, 0, 0, 1, 45});
                login.write(new byte[23]);
                login.write("app\0\0core\0mysql_native_password\0".getBytes(StandardCharsets.US_ASCII));
                send(1, login.toByteArray());
                byte[] answer = packet();
                if (answer[0] != 0) {
                    throw new IOException("login: " + error(answer).text());
                }
            } catch (IOException e) {
                Stand.close(socket);
                throw e;
            }
        }

        static byte[] framed(int sequence, byte[] payload) {
            byte[] all = new byte[payload.length + 4];
            all[0] = (byte) payload.length;
            all[1] = (byte) (payload.length >>> 8);
            all[2] = (byte) (payload.length >>> 16);
            all[3] = (byte) sequence;
            System.arraycopy(payload, 0, all, 4, payload.length);
            return all;
        }

        static byte[] command(String sql) {
            return framed(0, ("\u0003" + sql).getBytes(StandardCharsets.ISO_8859_1));
        }

        void send(int sequence, byte[] payload) throws IOException {
            out.write(framed(sequence, payload));
            out.flush();
        }

        byte[] packet() throws IOException {
            int length = in.readUnsignedByte() | in.readUnsignedByte() << 8 | in.readUnsignedByte() << 16;
            in.readUnsignedByte();
            byte[] payload = new byte[length];
            in.readFully(payload);
            return payload;
        }

        boolean ping() throws IOException {
            send(0, new byte[] {14});
            return packet()[0] == 0;
        }

        static Answer error(byte[] packet) {
            int code = packet[1] & 0xFF | (packet[2] & 0xFF) << 8;
            String text = new String(packet, 3, packet.length - 3, StandardCharsets.UTF_8);
            return new Answer(code == 1040 || code == 1203 || code == 1226 ? "refused" : "failed", code, text, List.of());
        }

        /** Sends a statement and reads the whole answer. */
        Answer query(String sql) throws IOException {
            out.write(command(sql));
            out.flush();
            return answer();
        }

        Answer answer() throws IOException {
            byte[] first = packet();
            if ((first[0] & 0xFF) == 0xFF) {
                return error(first);
            }
            if (first[0] == 0) {
                return new Answer("ok", 0, "", List.of());
            }
            for (int ends = 0; ends < 1; ) {
                byte[] next = packet();
                ends += (next[0] & 0xFF) == 0xFE && next.length < 9 ? 1 : 0;
            }
            List<String> rows = new ArrayList<>();
            while (true) {
                byte[] next = packet();
                if ((next[0] & 0xFF) == 0xFF) {
                    return error(next);
                }
                if ((next[0] & 0xFF) == 0xFE && next.length < 9) {
                    return new Answer("served", 0, "", rows);
                }
                StringBuilder row = new StringBuilder();
                for (int at = 0; at < next.length; at += 1 + (next[at] & 0xFF)) {
                    row.append(row.length() == 0 ? "" : "\t").append(new String(next, at + 1, next[at] & 0xFF, StandardCharsets.UTF_8));
                }
                rows.add(row.toString());
            }
        }

        @Override
        public void close() {
            Stand.close(socket);
        }
    }

    /** A request of a usual client: sent once, on a session of its own, and followed until its answer. */
    static final class Request {
        private static long next = System.nanoTime();

        final String trace;
        final String route;
        final long patienceMs;
        final long workMs;
        volatile long sentMs = -1;
        volatile long answeredMs = -1;
        volatile Answer answer;
        volatile String broken;

        Request(String route, long patienceMs, long workMs) {
            synchronized (Request.class) {
                trace = String.format(Locale.ROOT, "%016x", next++);
            }
            this.route = route;
            this.patienceMs = patienceMs;
            this.workMs = workMs;
        }

        String sql() {
            return "/* route=" + route + ",trace=" + trace + ",patience=" + patienceMs + ",weight=" + workMs + ".0,est_mb=64 */ "
                    + "SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = 'work=" + workMs + "' GROUP BY day";
        }

        /** Sends it on an open session; waits for the answer up to {@code graceMs} beyond its time. */
        void run(Client client, long graceMs) {
            try {
                client.socket.setSoTimeout((int) (patienceMs + graceMs));
                sentMs = now();
                note("client " + trace + " sends " + route + ", patience " + patienceMs + ", work " + workMs);
                client.out.write(Client.command(sql()));
                client.out.flush();
                sentMs = now();
                answer = client.answer();
                answeredMs = now();
                note("client " + trace + " " + answer.kind() + " after " + (answeredMs - sentMs) + " ms "
                        + (answer.rows().isEmpty() ? answer.code() + " " + answer.text() : answer.rows().size() + " rows"));
            } catch (IOException e) {
                broken = e instanceof EOFException ? "connection ended" : e.toString();
                note("client " + trace + " has no answer after " + (now() - sentMs) + " ms: " + broken);
            }
        }
    }

    // ---- Cases.

    /** A case: plays on a gateway that is ready, and returns what broke the rule; empty if it held. */
    interface Case {
        List<String> play(Gateway gateway, List<Engine> engines, List<Link> links) throws Exception;
    }

    /** Plays a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
    static void main(String[] args, List<String> engineIds, Case played) {
        spawn("limit of time", () -> {
            sleep(115_000);
            say("the case took too long");
            System.exit(2); // its hook ends the gateway
        });
        int status = 2;
        Gateway gateway = null;
        try {
            open(Path.of(args[0]));
            List<Engine> engines = new ArrayList<>();
            List<Link> links = new ArrayList<>();
            Map<String, Integer> ports = new java.util.LinkedHashMap<>();
            for (String id : engineIds) {
                Engine engine = new Engine(id);
                Link link = new Link(id, engine.port());
                engines.add(engine);
                links.add(link);
                ports.put(id, link.port());
            }
            gateway = new Gateway(Path.of("").toAbsolutePath(), ports, feed().getLocalPort());
            gateway.start();
            List<String> broken = played.play(gateway, engines, links);
            broken.forEach(line -> say("BROKEN " + line));
            status = broken.isEmpty() ? 0 : 1;
            say(broken.isEmpty() ? "the rule held" : "the rule was broken " + broken.size() + " times");
        } catch (Throwable e) {
            e.printStackTrace();
            say("the case could not run: " + e);
        } finally {
            if (gateway != null) {
                try {
                    note("log of the gateway, its end:\n" + gateway.log());
                } catch (IOException e) {
                    note("no log: " + e);
                }
                gateway.end();
            }
        }
        System.exit(status);
    }

    /** How long after its time an answer only earns nothing; later, or never, it is lost. */
    static final long LATE_MS = 500 + 50;

    /** The requests that are lost, a line each. */
    static List<String> lost(List<Request> requests) {
        List<String> lines = new ArrayList<>();
        for (Request request : requests) {
            long waitedMs = (request.answeredMs < 0 ? now() : request.answeredMs) - request.sentMs;
            if (request.sentMs >= 0 && (request.answer == null || waitedMs > request.patienceMs + LATE_MS)) {
                lines.add("lost: " + request.route + " " + request.trace + " with " + request.patienceMs + " ms: "
                        + (request.answer == null ? "no answer, " + request.broken : "answered after " + waitedMs + " ms"));
            }
        }
        return lines;
    }

    /** Usual clients: sessions that each send one request after the other until a time. */
    static List<Thread> clients(Gateway gateway, int count, String route, long patienceMs, long workMs, long untilMs, List<Request> sent) {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int number = i;
            threads.add(spawn(route + " client " + number, () -> {
                sleep(number * 90L);
                try (Client client = new Client(gateway.port, 5000)) {
                    while (now() < untilMs) {
                        Request request = new Request(route, patienceMs, workMs);
                        synchronized (sent) {
                            sent.add(request);
                        }
                        request.run(client, LATE_MS + 100);
                        if (request.broken != null) {
                            return;
                        }
                        sleep(100);
                    }
                }
            }));
        }
        return threads;
    }
}
