import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins for the platform, the clients and the engines, and the gateway as a process. Everything is on 127.0.0.1, on
 * ports that the system assigns. They follow the operators' protocol page and share no code with the gateway.
 */
final class Play implements AutoCloseable {
    static final String HOST = "127.0.0.1";
    private static final String VERDICT_HELD = "held";

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path temporary;
    private final PrintWriter record;
    private final long startNs = System.nanoTime();
    private final List<Closeable> closeables = new ArrayList<>();
    private final List<Gateway> gateways = new ArrayList<>();

    /** Starts a play whose record goes into the case's folder; ends it after the given time, whatever happens. */
    Play(Path folder, int maxSeconds) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
        temporary = Files.createTempDirectory("play");
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        daemon(() -> {
            sleep(maxSeconds * 1000L);
            line("the case took too long");
            finish(2);
        });
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    static void sleep(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Milliseconds since the start of the play. */
    double ms() {
        return (System.nanoTime() - startNs) / 1e6;
    }

    synchronized void line(String text) {
        record.printf("%10.1f %s%n", ms(), text);
    }

    /** Writes the verdict, ends all processes and exits: 1 if the rule was broken, 0 if it held. */
    void finish(String broken) {
        String verdict = broken == null ? VERDICT_HELD : "broken: " + broken;
        line(verdict);
        System.out.println(verdict);
        finish(broken == null ? 0 : 1);
    }

    void finish(int status) {
        synchronized (this) {
            record.flush();
        }
        endProcesses();
        Runtime.getRuntime().halt(status);
    }

    private synchronized void endProcesses() {
        record.flush();
        for (Gateway gateway : gateways) {
            gateway.process.destroyForcibly();
            try {
                gateway.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (Files.exists(temporary)) {
            try (var files = Files.walk(temporary)) {
                files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } catch (IOException e) {
                // the folder is temporary
            }
        }
    }

    @Override
    public void close() {
        finish(2);
    }

    static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 512, InetAddress.getByName(HOST));
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = listen()) {
            return socket.getLocalPort();
        }
    }

    static void shut(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException e) {
            // it is closed either way
        }
    }

    /** Closes a connection with a reset. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // closed by now
        }
        shut(socket);
    }

    // ---- The gateway.

    /** A gateway process, started by the run line of the deploy file. */
    final class Gateway {
        final String name;
        final int port;
        final Process process;

        /** Starts a gateway; {@code operator} takes the place of the operator's file in the run line, if not null. */
        Gateway(String name, int port, String config, Path operator) throws IOException {
            this.name = name;
            this.port = port;
            Path file = Files.writeString(temporary.resolve(name + ".json"), config);
            Path scratch = Files.createDirectories(temporary.resolve(name + ".tmp"));
            String run = deployLine("run");
            if (operator != null) {
                run = run.replace("deploy/sandpaddle.json", operator.toString());
            }
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run)
                    .redirectErrorStream(true)
                    .redirectOutput(temporary.resolve(name + ".log").toFile());
            builder.environment().put("BALANCER_NAME", name);
            builder.environment().put("BALANCER_LISTEN", HOST + ":" + port);
            builder.environment().put("BALANCER_CONFIG", file.toString());
            builder.environment().put("TMPDIR", scratch.toString());
            process = builder.start();
            synchronized (Play.this) {
                gateways.add(this);
            }
        }

        /** Waits until the gateway answers a ping with OK. */
        void awaitReady() {
            for (int i = 0; i < 300 && process.isAlive(); i++) {
                try (Session session = new Session(port)) {
                    if (session.ping()) {
                        line(name + " is ready");
                        return;
                    }
                } catch (IOException e) {
                    // not yet
                }
                sleep(100);
            }
            line(name + " does not become ready: " + log());
            finish(2);
        }

        /** Sends the process a signal, such as STOP. */
        void signal(String signal) throws IOException {
            try {
                new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            line(name + " got " + signal);
        }

        String log() {
            try {
                return Files.readString(temporary.resolve(name + ".log"));
            } catch (IOException e) {
                return e.toString();
            }
        }
    }

    static String deployLine(String key) throws IOException {
        Matcher line = Pattern.compile("(?m)^" + key + " = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!line.find()) {
            throw new IOException("deploy/balancer.toml has no line " + key);
        }
        return line.group(1);
    }

    /** Runs another command of the gateway's jar to its end. */
    static void command(String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of("java", "-jar", "gateway/target/sandpaddle.jar"));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        try {
            if (process.waitFor() != 0) {
                throw new IOException(output);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The platform's file of one gateway. */
    static String config(String name, int index, int gateways, int port, Feed feed, String classes, boolean peers) {
        return """
                {"name": "%s", "listen": "%s:%d", "seed": "%016x",
                 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                 "feed": "%s:%d",
                 "known": {"n": 1, "events": [%s]},
                 "settings": {
                  "balancers": %d, "me": %d, "zone": 0, "discovery": "automatic",
                  "failure_domains": ["hall-a", "hall-b", "hall-c"], "models": ["std-8"],
                  "classes": %s,
                  "clients": {"marks_retry": false}, "report": {"fields": [], "how": "off"},
                  "bounds": {"cancel": true, "may_probe": true, "peers": %b, "retry_after": true,
                   "second_copies": false, "max_attempts": 5, "most_held": 20000, "max_retry_after_us": 1000000,
                   "max_streams": 100, "connect_timeout_us": 250000, "conn_idle_us": 15000000},
                  "rules": {"answer_slack_us": 20000, "drain_grace_us": 250000, "cold_from": 0.3, "cold_us": 15000000,
                   "tip_multiple": 4.0, "fall_us": 1000000},
                  "charges": {"probe": 0.0081, "cross_zone": 0.0095, "waste": 0.042, "late_fail": 0.03},
                  "specifics": {"class_threads": [1, 3, 2], "class_load": [false, false, true],
                   "class_waits": [false, false, false], "grants_count": true, "takes_priority": true,
                   "most_grant": 0.4, "overbooked": "wait", "size_cores": [8], "kind_memory_mb": [16384.0],
                   "progress_us": 0},
                  "tiers": ["query-fleet"], "tier": 0, "weight_source": "nominal", "worth_by": "request",
                  "workload": "queries"}}
                """
                .formatted(
                        name, HOST, port, new Random(index + 1).nextLong(), HOST, feed.port(), feed.firstEvent(), gateways,
                        index, classes, peers);
    }

    /** The classes of the site's settings, with its aims and deadlines. */
    static final String CLASSES =
            """
            [{"name": "lookup", "aim_us": 1500000, "aim_stretch": 1.5, "hard_limit_us": 7500000, "effect": "safe",
              "key_scope": "all", "value": 1.0, "late_worth": 0.1, "stream": false, "window_us": 5000000},
             {"name": "report", "aim_us": 3000000, "aim_stretch": 2.5, "hard_limit_us": 25000000, "effect": "safe",
              "key_scope": "all", "value": 4.0, "late_worth": 0.4, "stream": false, "window_us": 5000000},
             {"name": "load", "aim_us": 4000000, "aim_stretch": 2.5, "hard_limit_us": 20000000, "effect": "unsafe",
              "key_scope": "all", "value": 3.0, "late_worth": 0.6, "stream": false, "window_us": 5000000}]""";

    // ---- The control feed.

    /** Tells the list of engines once, in the configuration, and then its number every second. */
    final class Feed {
        private final ServerSocket server = listen();
        private final StringBuilder hosts = new StringBuilder();

        Feed() throws IOException {
            daemon(() -> {
                while (true) {
                    try {
                        Socket socket = server.accept();
                        daemon(() -> serve(socket));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }

        /** Lists an engine; to be called before {@link #firstEvent}. */
        void list(String id, int port, String zone) {
            hosts.append(hosts.isEmpty() ? "" : ",")
                    .append("{\"host\":\"%s\",\"dial\":\"%s:%d\",\"site\":\"%s\",\"class\":\"std-8\",\"block\":0,\"health\":\"Ready\",\"share\":1,\"born_ms\":0}"
                            .formatted(id, HOST, port, zone));
        }

        String firstEvent() {
            return "{\"n\":1,\"members\":{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts + "]}}";
        }

        private void serve(Socket socket) {
            try (socket) {
                StringBuilder line = new StringBuilder();
                for (int next = socket.getInputStream().read(); next != '\n'; next = socket.getInputStream().read()) {
                    if (next < 0) {
                        return;
                    }
                    line.append((char) next);
                }
                if (line.toString().strip().equals("SUB 0")) {
                    socket.getOutputStream().write((firstEvent() + "\n").getBytes(StandardCharsets.UTF_8));
                }
                while (true) {
                    socket.getOutputStream().write("1\n".getBytes(StandardCharsets.UTF_8));
                    sleep(1000);
                }
            } catch (IOException e) {
                // the gateway has closed the connection
            }
        }
    }

    // ---- Engines.

    /** What an engine tells of its queries; called under the play's lock. */
    interface Watcher {
        /** The call that starts a query has come whole. */
        void began(Engine engine, Query query);

        /** The query has ended, was given up, or was dropped. */
        void ended(Engine engine, Query query, String how);
    }

    /** A query at an engine. */
    static final class Query {
        final String id;
        final String route;
        final String statement;
        final long beganNs;
        private long askedNs; // when it was last asked for, or answered
        private int asking; // calls that wait for its news now
        private byte[] rows; // null until it has ended well
        private String end; // null while it runs
        long endedNs;

        Query(String id, String route, String statement) {
            this.id = id;
            this.route = route;
            this.statement = statement;
            beganNs = System.nanoTime();
            askedNs = beganNs;
        }

        boolean runs() {
            return end == null;
        }
    }

    /** The rows of a statement, at the time at which it ends. */
    interface Data {
        String rows(Query query);
    }

    /**
     * An engine: runs a statement for the milliseconds that it names as {@code work=MS}, however many there are. A query
     * that nobody has asked for during 2 s is dropped. An idle connection is closed after the time in the settings.
     */
    final class Engine {
        private static final Pattern WORK = Pattern.compile("work=(\\d+)");
        private static final long POLL_NS = 250_000_000L;
        private static final long FORGET_NS = 2_000_000_000L;
        private static final int IDLE_MS = 15_000;
        private static final int PAGE_BYTES = 6000;
        final String id;
        private final Watcher watcher;
        private final Data data;
        private final ServerSocket server = listen();
        private final Map<String, Query> queries = new HashMap<>();
        private final List<Socket> sockets = new ArrayList<>();
        private volatile boolean dead;

        Engine(String id, Watcher watcher, Data data) throws IOException {
            this.id = id;
            this.watcher = watcher;
            this.data = data;
            daemon(() -> {
                while (!dead) {
                    try {
                        Socket socket = server.accept();
                        socket.setTcpNoDelay(true);
                        synchronized (sockets) {
                            sockets.add(socket);
                        }
                        daemon(() -> serve(socket));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
            daemon(() -> {
                while (!dead) {
                    sleep(5);
                    advance();
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }

        /** The number of its open connections. */
        int connections() {
            synchronized (sockets) {
                return sockets.size();
            }
        }

        /** The process dies: its connections are reset, and new ones are refused. */
        void die() {
            dead = true;
            shut(server);
            synchronized (sockets) {
                sockets.forEach(Play::reset);
            }
        }

        private void advance() {
            synchronized (Play.this) {
                long now = System.nanoTime();
                for (Query query : queries.values()) {
                    if (query.runs() && now - query.beganNs >= workNs(query)) {
                        query.rows = data.rows(query).getBytes(StandardCharsets.UTF_8);
                        end(query, "ended");
                    } else if (query.runs() && query.asking == 0 && now - query.askedNs >= FORGET_NS) {
                        end(query, "dropped");
                    }
                }
                queries.values().removeIf(query -> !query.runs() && now - query.endedNs > 10 * FORGET_NS);
            }
        }

        private long workNs(Query query) {
            Matcher work = WORK.matcher(query.statement);
            return work.find() ? Long.parseLong(work.group(1)) * 1_000_000 : 0;
        }

        private void end(Query query, String how) {
            query.end = how;
            query.endedNs = System.nanoTime();
            watcher.ended(this, query, how);
            Play.this.notifyAll();
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setSoTimeout(IDLE_MS);
                InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
                while (true) {
                    String head = head(in);
                    if (head == null) {
                        return;
                    }
                    Map<String, String> fields = fields(head);
                    byte[] body = in.readNBytes(Integer.parseInt(fields.getOrDefault("content-length", "0")));
                    socket.getOutputStream().write(answer(head.split(" ", 3), fields, body));
                }
            } catch (IOException | InterruptedException e) {
                // the connection has ended
            } finally {
                synchronized (sockets) {
                    sockets.remove(socket);
                }
            }
        }

        private byte[] answer(String[] call, Map<String, String> fields, byte[] body) throws InterruptedException {
            String[] path = call[1].split("/");
            if (call[1].equals("/load") || call[1].equals("/healthz")) {
                return response(200, "", new byte[0]);
            }
            synchronized (Play.this) {
                if (call[0].equals("POST")) {
                    Query query = new Query(
                            fields.get("x-trace"), fields.get("x-profile"), new String(body, StandardCharsets.ISO_8859_1));
                    Query earlier = queries.get(query.id);
                    if (earlier == null || !earlier.runs()) {
                        queries.put(query.id, query);
                        watcher.began(this, query);
                    }
                    return news(queries.get(query.id));
                }
                Query query = queries.get(path[2]);
                if (call[0].equals("DELETE")) {
                    if (query != null && query.runs()) {
                        end(query, "given up");
                    }
                    return response(204, "", new byte[0]);
                }
                if (call[0].equals("PUT")) {
                    return response(204, "", new byte[0]);
                }
                int page = Integer.parseInt(path[3]);
                if (query == null || page > 0 && (query.rows == null || page >= pages(query).size())) {
                    return response(500, "", new byte[0]);
                }
                return page == 0 ? news(query) : response(200, "Result-Page: " + page + "\r\n", pages(query).get(page));
            }
        }

        /** The answer to POST and GET: the end of the query, or after 250 ms that it still runs. */
        private byte[] news(Query query) throws InterruptedException {
            long until = System.nanoTime() + POLL_NS;
            query.asking++;
            query.askedNs = System.nanoTime();
            while (query.runs() && System.nanoTime() < until) {
                Play.this.wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
            }
            query.asking--;
            query.askedNs = System.nanoTime();
            if (query.runs()) {
                return response(202, "", new byte[0]);
            }
            return query.rows == null
                    ? response(500, "", new byte[0])
                    : response(200, "Result-Pages: " + pages(query).size() + "\r\n", pages(query).get(0));
        }

        /** The result in pages of whole rows. */
        private static List<byte[]> pages(Query query) {
            List<byte[]> pages = new ArrayList<>();
            int from = 0;
            while (from < query.rows.length || pages.isEmpty()) {
                int to = Math.min(query.rows.length, from + PAGE_BYTES);
                while (to < query.rows.length && query.rows[to - 1] != '\n') {
                    to--;
                }
                pages.add(java.util.Arrays.copyOfRange(query.rows, from, to));
                from = to;
            }
            return pages;
        }
    }

    static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        return head.toString();
    }

    static Map<String, String> fields(String head) {
        Map<String, String> fields = new HashMap<>();
        for (String field : head.split("\r\n")) {
            int colon = field.indexOf(": ");
            if (colon > 0) {
                fields.put(field.substring(0, colon).toLowerCase(java.util.Locale.ROOT), field.substring(colon + 2));
            }
        }
        return fields;
    }

    static byte[] response(int status, String fields, byte[] body) {
        byte[] head = ("HTTP/1.1 " + status + " -\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    // ---- The network between a gateway and an engine.

    /** What happens to a call that arrives at a {@link Way}. */
    interface Fate {
        /** Returns the milliseconds after which the call's connection is reset, negative for never. */
        int resetAfterMs(byte[] call);

        /** Whether the engine reads a call whose connection is reset. */
        boolean isRead(byte[] call);
    }

    /** A proxy in front of one engine, that may reset a connection under a call, or be cut. */
    final class Way {
        private final ServerSocket server = listen();
        private final int target;
        private final Fate fate;
        private final List<Socket> sockets = new ArrayList<>();
        private boolean isCut;

        Way(int target, Fate fate) throws IOException {
            this.target = target;
            this.fate = fate;
            daemon(() -> {
                while (true) {
                    try {
                        Socket client = server.accept();
                        daemon(() -> carry(client));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }

        /** From now on connections are refused, and the open ones are reset. */
        void cut() {
            shut(server);
            synchronized (sockets) {
                isCut = true;
                sockets.forEach(Play::reset);
            }
        }

        private void carry(Socket client) {
            try {
                Socket engine = new Socket(HOST, target);
                client.setTcpNoDelay(true);
                engine.setTcpNoDelay(true);
                synchronized (sockets) {
                    if (isCut) {
                        reset(client);
                        reset(engine);
                        return;
                    }
                    sockets.add(client);
                    sockets.add(engine);
                }
                daemon(() -> copyAnswers(engine, client));
                copyCalls(client, engine);
            } catch (IOException e) {
                reset(client);
            }
        }

        private void copyCalls(Socket client, Socket engine) {
            byte[] buffer = new byte[64 * 1024];
            try {
                for (int count = client.getInputStream().read(buffer); count > 0; count = client.getInputStream().read(buffer)) {
                    byte[] call = java.util.Arrays.copyOf(buffer, count);
                    int resetAfterMs = fate.resetAfterMs(call);
                    if (resetAfterMs >= 0) {
                        boolean isRead = fate.isRead(call);
                        if (isRead) {
                            engine.getOutputStream().write(call);
                        }
                        sleep(resetAfterMs);
                        line("reset after " + resetAfterMs + " ms, " + (isRead ? "read" : "not read") + ": "
                                + new String(call, StandardCharsets.ISO_8859_1).split("\r\n")[0]);
                        reset(client);
                        reset(engine);
                        return;
                    }
                    engine.getOutputStream().write(call);
                }
                engine.shutdownOutput();
            } catch (IOException e) {
                reset(engine);
                reset(client);
            }
        }

        private void copyAnswers(Socket engine, Socket client) {
            try {
                engine.getInputStream().transferTo(client.getOutputStream());
                client.shutdownOutput();
            } catch (IOException e) {
                reset(client);
                reset(engine);
            }
        }
    }

    // ---- Clients.

    /** What a client got for a query: its rows, or an error; a code of -1 if the connection ended, -2 if nothing came. */
    record Answer(int code, String text, List<String> rows, int warnings) {
        boolean isServed() {
            return code == 0;
        }
    }

    /** A client's session, by the MySQL protocol. */
    static final class Session implements Closeable {
        private final Socket socket = new Socket();
        private final InputStream in;
        private final OutputStream out;
        final int id;

        Session(int port) throws IOException {
            socket.connect(new InetSocketAddress(HOST, port), 2000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(3000);
            in = new java.io.BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
            byte[] greeting = packet();
            if (greeting[0] != 10) {
                throw new IOException("no greeting");
            }
            int end = 1;
            while (greeting[end] != 0) {
                end++;
            }
            id = number(greeting, end + 1, 4);
            ByteArrayOutputStream login = new ByteArrayOutputStream();
            login.writeBytes(new byte[] {(byte) 0x0D, (byte) 0xA2, 0x08, 0, 0, 0, 0, 1, 45}); // 4.1, secure, database, plugin
            login.writeBytes(new byte[23]);
            login.writeBytes("app\0\0core\0mysql_native_password\0".getBytes(StandardCharsets.US_ASCII));
            send(1, login.toByteArray());
            byte[] reply = packet();
            if (reply[0] != 0) {
                throw new IOException("login refused");
            }
        }

        private static int number(byte[] bytes, int offset, int length) {
            int value = 0;
            for (int i = length - 1; i >= 0; i--) {
                value = value << 8 | bytes[offset + i] & 0xFF;
            }
            return value;
        }

        private void send(int sequence, byte[] payload) throws IOException {
            byte[] packet = new byte[4 + payload.length];
            packet[0] = (byte) payload.length;
            packet[1] = (byte) (payload.length >> 8);
            packet[2] = (byte) (payload.length >> 16);
            packet[3] = (byte) sequence;
            System.arraycopy(payload, 0, packet, 4, payload.length);
            out.write(packet);
        }

        private byte[] packet() throws IOException {
            byte[] head = in.readNBytes(4);
            if (head.length < 4) {
                throw new EOFException("the connection has ended");
            }
            int length = number(head, 0, 3);
            byte[] payload = in.readNBytes(length);
            if (payload.length < length) {
                throw new EOFException("the connection has ended within a packet");
            }
            return payload;
        }

        boolean ping() throws IOException {
            send(0, new byte[] {14});
            return packet()[0] == 0;
        }

        /** Sends a statement and reads its answer. */
        Answer query(String text, int waitMs) {
            try {
                socket.setSoTimeout(waitMs);
                send(0, ("\3" + text).getBytes(StandardCharsets.ISO_8859_1));
                return answer();
            } catch (java.net.SocketTimeoutException e) {
                return new Answer(-2, "no answer within " + waitMs + " ms", List.of(), 0);
            } catch (IOException e) {
                return new Answer(-1, e.toString(), List.of(), 0);
            }
        }

        private Answer answer() throws IOException {
            byte[] first = packet();
            if ((first[0] & 0xFF) == 0xFF) {
                return new Answer(
                        number(first, 1, 2),
                        new String(first, 3, first.length - 3, StandardCharsets.UTF_8),
                        List.of(),
                        0);
            }
            if (first[0] == 0) {
                return new Answer(0, "OK", List.of(), 0);
            }
            while (!isEof(packet())) {
                // column definitions
            }
            List<String> rows = new ArrayList<>();
            byte[] row = packet();
            while (!isEof(row)) {
                rows.add(cells(row));
                row = packet();
            }
            return new Answer(0, "", rows, number(row, 1, 2));
        }

        private static boolean isEof(byte[] packet) {
            return (packet[0] & 0xFF) == 0xFE && packet.length < 9;
        }

        private static String cells(byte[] row) {
            StringBuilder cells = new StringBuilder();
            int at = 0;
            while (at < row.length) {
                int length = row[at++] & 0xFF;
                if (length == 0xFC) {
                    length = number(row, at, 2);
                    at += 2;
                }
                cells.append(cells.isEmpty() ? "" : "\t").append(new String(row, at, length, StandardCharsets.UTF_8));
                at += length;
            }
            return cells.toString();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static final Random TRACES = new Random();

    static synchronized String trace() {
        return "%016x".formatted(TRACES.nextLong());
    }

    /** A statement with the fields before it. */
    static String statement(String route, String trace, int patienceMs, int weightMs, String sql) {
        return "/* route=%s,trace=%s,patience=%d,weight=%d,est_mb=64 */ %s".formatted(route, trace, patienceMs, weightMs, sql);
    }

    /** Entries that several threads add to. */
    static <T> Map<String, T> sharedMap() {
        return new ConcurrentHashMap<>();
    }
}
