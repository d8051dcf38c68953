package sandpaddle.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import sandpaddle.eventloop.Acceptor;
import sandpaddle.eventloop.Connection;
import sandpaddle.eventloop.EventLoop;

/**
 * A stand-in engine with the platform's engine protocol, on top of an {@link EngineModel}. The statement contains its
 * actual work ({@code work=MICROSECONDS}) and its request ({@code request=ID}). When killed, its connections are reset
 * and new ones refused.
 */
final class StandInEngine {
    private static final Pattern WORK = Pattern.compile("work=(\\d+)");
    private static final Pattern REQUEST = Pattern.compile("request=(\\w+)");
    private static final Duration STEP = Duration.ofMillis(5);
    private static final long POLL_HOLD_US = 250_000; // longest wait of a poll for completion
    private static final long ABANDONED_US = 2_000_000; // a query not polled for this long is abandoned
    private static final long RESULT_RETENTION_US = 5_000_000; // results are kept this long after completion
    private static final int MAX_REQUEST_BYTES = 256 * 1024;

    private static final class Query {
        private final String id, request, requestClass;
        private long lastPolledUs, endedUs;
        private boolean ended;
        private GatewayConnection pollingConnection;
        private long pollUntilUs;

        Query(String id, String request, String requestClass, long nowUs) {
            this.id = id;
            this.request = request;
            this.requestClass = requestClass;
            lastPolledUs = nowUs;
        }
    }

    private record HttpRequest(String method, String path, Map<String, String> headers, String body) {}

    private final EventLoop loop;
    private final Events events;
    private final ClientStatistics statistics;
    private final String id;
    private final EngineModel model;
    private final Acceptor acceptor;
    private final InetSocketAddress address;
    private final Map<String, Query> queries = new LinkedHashMap<>();
    private final Set<GatewayConnection> connections = new LinkedHashSet<>();
    private final Runnable onCrash;
    private boolean stopped;
    private boolean failing; // responds to each request with an error

    /**
     * Starts an engine.
     *
     * @param port 0 for any free port
     * @param startedUs 0 for a warm engine
     * @param onCrash called after the engine crashed and closed its connections
     */
    StandInEngine(
            EventLoop loop,
            Events events,
            ClientStatistics statistics,
            String id,
            int port,
            EngineModel.Spec spec,
            long startedUs,
            Runnable onCrash)
            throws IOException {
        this.loop = loop;
        this.events = events;
        this.statistics = statistics;
        this.id = id;
        this.onCrash = onCrash;
        model = new EngineModel(spec, startedUs, nowUs());
        acceptor = new Acceptor(loop, Loopback.at(port), connection -> {
            GatewayConnection peer = new GatewayConnection(connection);
            connection.setListener(peer);
            connections.add(peer);
            statistics.engineConnections++;
            recordConnections();
        });
        address = acceptor.address();
        events.add(nowUs(), "engine", "started", "engine", id, "outcome", startedUs > 0 ? "cold" : "warm");
        step();
    }

    private long nowUs() {
        return ChronoUnit.MICROS.between(Instant.EPOCH, loop.now());
    }

    InetSocketAddress address() {
        return address;
    }

    String id() {
        return id;
    }

    /** Sets whether the engine fails all requests. */
    void setFailing(boolean enabled) {
        failing = enabled;
        events.add(nowUs(), "engine", enabled ? "sick" : "well", "engine", id);
    }

    /** Simulates the end of the process: all running queries are lost. */
    void kill(String why) {
        if (!stopped) {
            stopped = true;
            acceptor.close();
            queries.values().stream().filter(query -> !query.ended).forEach(query -> endQuery(query, "died"));
            events.add(nowUs(), "engine", why, "engine", id);
            List.copyOf(connections).forEach(l -> l.connection.close());
        }
    }

    private void endQuery(Query query, String outcome) {
        query.ended = true;
        query.endedUs = nowUs();
        events.add(
                nowUs(),
                "engine",
                "end",
                "request",
                query.request,
                "attempt",
                query.id,
                "engine",
                id,
                "class",
                query.requestClass,
                "outcome",
                outcome);
    }

    private void recordConnections() {
        events.add(nowUs(), "engine", "connections", "engine", id, "open", connections.size());
    }

    private void step() {
        if (stopped) {
            return;
        }
        long nowUs = nowUs();
        for (String done : model.advance(nowUs)) {
            Query query = queries.get(done);
            endQuery(query, "ok");
            respondToPoll(query);
        }
        queries.values().removeIf(query -> {
            boolean abandoned =
                    !query.ended && query.pollingConnection == null && nowUs - query.lastPolledUs > ABANDONED_US;
            if (abandoned) {
                model.cancel(query.id);
                endQuery(query, "forgotten");
            } else if (!query.ended && query.pollingConnection != null && nowUs >= query.pollUntilUs) {
                respondToPoll(query);
            }
            return abandoned || query.ended && nowUs - query.endedUs > RESULT_RETENTION_US;
        });
        loop.scheduleAfter(STEP, this::step);
    }

    /** Responds to the pending poll of a query, if any. */
    private void respondToPoll(Query query) {
        GatewayConnection waiting = query.pollingConnection;
        if (waiting != null) {
            query.pollingConnection = null;
            query.lastPolledUs = nowUs();
            waiting.answer(
                    query.ended
                            ? resultPage(query, 0)
                            : response(
                                    202,
                                    "X-Result: frac\r\nNote-Value: "
                                            + String.format(Locale.ROOT, "%.3f", model.completedFraction(query.id))
                                            + "\r\n",
                                    ""));
        }
    }

    private String resultPage(Query query, int page) {
        String row = query.request + "\t" + query.requestClass + "\t" + query.id + "\n";
        return response(200, page == 0 ? "Result-Pages: 2\r\n" : "Result-Page: " + page + "\r\n", row);
    }

    private String response(int status, String headers, String body) {
        return "HTTP/1.1 " + status + " -\r\nX-Stats: utilization:"
                + String.format(Locale.ROOT, "%.2f", model.utilization(nowUs())) + ";backlog:0;x0:0.5\r\n" + headers
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static final String REJECTED_HEADER = "X-Declined: 1\r\n";

    private void serve(HttpRequest call, GatewayConnection peer) {
        String[] path = call.path.split("/");
        Query query = path.length > 2 ? queries.get(path[2]) : null;
        if (call.method.equals("POST")) {
            start(call, peer);
        } else if (call.path.equals("/load") || call.path.equals("/healthz")) {
            statistics.probes++;
            peer.answer(response(200, "", ""));
        } else if (call.method.equals("DELETE")) {
            if (query != null && !query.ended) {
                model.cancel(query.id);
                endQuery(query, "stopped");
            }
            queries.remove(path[2]);
            peer.answer(response(204, "", ""));
        } else if (call.method.equals("PUT")) {
            model.setPriority(path[2], Integer.parseInt(call.body.strip()));
            peer.answer(response(204, "", ""));
        } else if (query == null) {
            peer.answer(response(500, "", ""));
        } else if (query.ended || path.length > 3 && !path[3].equals("0")) {
            peer.answer(resultPage(query, Integer.parseInt(path[3])));
        } else {
            awaitCompletion(query, peer);
        }
    }

    private void awaitCompletion(Query query, GatewayConnection peer) {
        query.pollingConnection = peer;
        query.lastPolledUs = nowUs();
        query.pollUntilUs = nowUs() + POLL_HOLD_US;
    }

    private void start(HttpRequest call, GatewayConnection peer) {
        String trace = call.headers.get("x-trace");
        if (failing) {
            events.add(nowUs(), "engine", "failed", "attempt", trace, "engine", id);
            peer.answer(response(500, "", ""));
            return;
        }
        String className = call.headers.get("x-profile");
        Matcher work = WORK.matcher(call.body);
        Matcher request = REQUEST.matcher(call.body);
        String requestId = request.find() ? request.group(1) : trace;
        double workUs = work.find() ? Double.parseDouble(work.group(1)) : 50_000;
        int priority = Integer.parseInt(call.headers.getOrDefault("query-priority", "1"));
        LabDeployment.RequestClass requestClass = LabDeployment.REQUEST_CLASSES.stream()
                .filter(k -> k.name().equals(className))
                .findFirst()
                .orElse(LabDeployment.REQUEST_CLASSES.get(0));
        if (!model.begin(nowUs(), trace, workUs, requestClass.threads(), requestClass.cpuFraction(), priority)) {
            events.add(
                    nowUs(),
                    "engine",
                    "declined",
                    "request",
                    requestId,
                    "attempt",
                    trace,
                    "engine",
                    id,
                    "class",
                    className);
            peer.answer(response(503, REJECTED_HEADER, ""));
            return;
        }
        Query query = new Query(trace, requestId, className, nowUs());
        queries.put(trace, query);
        events.add(
                nowUs(),
                "engine",
                "begin",
                "request",
                requestId,
                "attempt",
                trace,
                "engine",
                id,
                "class",
                className,
                "work",
                (long) workUs);
        statistics.attemptStarted(requestId, requestClass, id, nowUs());
        awaitCompletion(query, peer);
        if (model.hasCrashed()) {
            kill("cold-fall");
            statistics.coldCrashes++;
            onCrash.run();
        }
    }

    /** A connection from a gateway with sequential requests. Its parser shares no code with the gateway's. */
    private final class GatewayConnection implements Connection.Listener {
        private final Connection connection;
        private final StringBuilder received = new StringBuilder();

        GatewayConnection(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void onReceived(ByteBuffer bytes) {
            received.append(StandardCharsets.ISO_8859_1.decode(bytes));
            if (received.length() > MAX_REQUEST_BYTES) {
                connection.close();
                connections.remove(this);
                statistics.engineConnections--;
                recordConnections();
                return;
            }
            for (HttpRequest call = nextRequest(); call != null && !stopped; call = nextRequest()) {
                serve(call, this);
            }
        }

        private HttpRequest nextRequest() {
            int end = received.indexOf("\r\n\r\n");
            if (end < 0) {
                return null;
            }
            String[] lines = received.substring(0, end).split("\r\n");
            Map<String, String> headers = new HashMap<>();
            for (int i = 1; i < lines.length; i++) {
                String[] h = lines[i].split(":", 2);
                headers.put(h[0].toLowerCase(Locale.ROOT), h[1].strip());
            }
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            if (received.length() < end + 4 + length) {
                return null;
            }
            String body = received.substring(end + 4, end + 4 + length);
            received.delete(0, end + 4 + length);
            String[] first = lines[0].split(" ");
            return new HttpRequest(first[0], first[1], headers, body);
        }

        private void answer(String response) {
            connection.write(response.getBytes(StandardCharsets.ISO_8859_1));
        }

        @Override
        public void onClosed(Exception cause) {
            connections.remove(this);
            statistics.engineConnections--;
            recordConnections();
            queries.values().stream()
                    .filter(query -> query.pollingConnection == this)
                    .forEach(query -> query.pollingConnection = null);
        }
    }
}
