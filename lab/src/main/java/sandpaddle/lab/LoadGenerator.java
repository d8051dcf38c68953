package sandpaddle.lab;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.eventloop.TimerQueue;

/**
 * Open-loop load generator behind a load balancer. Each client sends a request once and, if it is not served, retries
 * up to twice, immediately or after a fixed backoff, with a new trace ID and often on a new connection; some clients
 * honour the Retry-After hint {@code pause=MS}. A request that must not run twice is retried only if it was rejected or
 * no gateway was reached.
 */
final class LoadGenerator {
    /**
     * Client behavior drawn from the seed.
     *
     * @param honoursRetryAfter share of clients that wait for the time that a rejection advises
     * @param reconnectProbability probability of closing the connection after an error
     */
    record ClientBehavior(int retries, Duration backoff, double honoursRetryAfter, double reconnectProbability) {
        static ClientBehavior draw(SplittableRandom random) {
            return new ClientBehavior(
                    1 + random.nextInt(2),
                    random.nextBoolean() ? Duration.ZERO : Duration.ofMillis(100 + random.nextInt(500)),
                    0.34 + 0.62 * random.nextDouble(),
                    0.5);
        }
    }

    private static final Pattern RETRY_AFTER = Pattern.compile("pause=(\\d+)");
    // allowance for the network round trip and for delays of this process
    private static final Duration RESPONSE_GRACE = Duration.ofMillis(250);
    private static final List<Integer> REJECTION_CODES = List.of(1040, 1203, 1226);

    /**
     * A request to send.
     *
     * @param tag names the statement; null for a unique statement
     * @param tenant may be null
     */
    record RequestSpec(LabDeployment.RequestClass requestClass, long work, String tag, String tenant, int zone) {}

    private final EventLoop loop;
    private final Events events;
    private final SplittableRandom random;
    private final ClientBehavior behavior;
    private final LoadBalancer loadBalancer;
    private final ClientStatistics statistics;
    private long requestCount;
    private int open;
    private List<String> tenants = List.of();

    LoadGenerator(
            EventLoop loop,
            Events events,
            ClientStatistics statistics,
            SplittableRandom random,
            ClientBehavior behavior) {
        this.loop = loop;
        this.events = events;
        this.statistics = statistics;
        this.random = random;
        this.behavior = behavior;
        loadBalancer = new LoadBalancer(loop, random.split());
    }

    LoadBalancer loadBalancer() {
        return loadBalancer;
    }

    /** Sets the tenants that requests are drawn from, with equal probability; if empty, requests carry no tenant. */
    void tenants(List<String> names) {
        tenants = List.copyOf(names);
    }

    /** Number of unfinished requests. */
    int open() {
        return open;
    }

    private long nowUs() {
        return ChronoUnit.MICROS.between(Instant.EPOCH, loop.now());
    }

    /**
     * Sends a new request.
     *
     * @param work thread time in microseconds
     */
    void sendRequest(LabDeployment.RequestClass requestClass, long work, boolean measured) {
        String tenant = tenants.isEmpty() ? null : tenants.get(random.nextInt(tenants.size()));
        send(new RequestSpec(requestClass, work, null, tenant, random.nextInt(LabDeployment.ZONES.size())), measured);
    }

    void send(RequestSpec spec, boolean measured) {
        new Request(spec, measured).send();
    }

    /** One client request with all its attempts. */
    private final class Request {
        private final LabDeployment.RequestClass requestClass;
        private final String id = "r" + ++requestCount;
        private final long work, estimate, firstSentUs = nowUs();
        private final boolean measured;
        private final int zone;
        private final boolean honoursRetryAfter = random.nextDouble() < behavior.honoursRetryAfter;
        private final String tenant, tag;
        private int retriesLeft = behavior.retries;

        Request(RequestSpec spec, boolean measured) {
            requestClass = spec.requestClass;
            work = spec.work;
            zone = spec.zone;
            tenant = spec.tenant;
            tag = spec.tag == null ? id : spec.tag;
            this.measured = measured;
            estimate = spec.tag == null ? (long) (work * (0.8 + 0.4 * random.nextDouble())) : work;
            open++;
            statistics.requestSent(id, requestClass, firstSentUs, measured);
        }

        void send() {
            long left = firstSentUs + requestClass.timeoutUs() - nowUs();
            long timeout = (long) Math.min(left, requestClass.timeoutUs() * (0.8 + 0.2 * random.nextDouble()));
            if (timeout < 50_000) {
                finish();
                return;
            }
            new Attempt(this, timeout).begin();
        }

        void retry(String text) {
            if (retriesLeft-- <= 0) {
                finish();
                return;
            }
            Matcher m = RETRY_AFTER.matcher(text);
            boolean advised = m.find() && honoursRetryAfter;
            Duration wait = advised ? Duration.ofMillis(Long.parseLong(m.group(1))) : behavior.backoff;
            loop.scheduleAfter(wait, this::send);
        }

        void finish() {
            open--;
            events.add(nowUs(), "client", "over", "request", id, "class", requestClass.name());
        }
    }

    /** One attempt with its own trace ID, on an idle session or a new one. */
    private final class Attempt implements ClientSession.ResponseListener {
        private final Request request;
        private final String trace = String.format(Locale.ROOT, "%016x", random.nextLong());
        private final Duration timeout;
        private LoadBalancer.Gateway gateway;
        private ClientSession session;
        private TimerQueue.Timer timeoutTimer;
        private boolean answered;
        private int warnings;
        private String row;

        Attempt(Request request, long timeoutUs) {
            this.request = request;
            timeout = Duration.of(timeoutUs, ChronoUnit.MICROS);
        }

        void begin() {
            gateway = loadBalancer.choose(request.zone);
            session = gateway.pollIdleSession();
            events.add(
                    nowUs(),
                    "client",
                    "ask",
                    "request",
                    request.id,
                    "attempt",
                    trace,
                    "class",
                    request.requestClass.name(),
                    "gateway",
                    gateway.name,
                    "counts",
                    request.measured ? 1 : 0,
                    "aim",
                    LabDeployment.latencyObjectiveUs(request.requestClass, request.work),
                    "worth",
                    request.requestClass.priorityWeight(),
                    "late",
                    request.requestClass.lateWeightFactor(),
                    "patience",
                    timeout.toMillis(),
                    "tenant",
                    request.tenant,
                    "hall",
                    LabDeployment.ZONES.get(request.zone),
                    "statement",
                    request.tag,
                    "work",
                    request.work);
            statistics.attempts++;
            try {
                if (session == null) {
                    session = gateway.openSession(loop);
                }
            } catch (IOException e) {
                session = null;
            }
            if (session == null) {
                onConnectionLost(false);
                return;
            }
            timeoutTimer = loop.scheduleAfter(timeout.plus(RESPONSE_GRACE), this::onTimeout);
            session.send(
                    String.format(
                            Locale.ROOT,
                            "/* route=%s,trace=%s,patience=%d,weight=%.1f,est_mb=%.0f%s */ "
                                    + "SELECT day, count(*), max(note) FROM sales_%d.orders"
                                    + " WHERE tag = 'request=%s work=%d'",
                            request.requestClass.name(),
                            trace,
                            timeout.toMillis(),
                            request.estimate / 1000.0,
                            request.requestClass.estimateMb(),
                            request.tenant == null ? "" : ",customer=" + request.tenant,
                            Math.floorMod(request.tag.hashCode(), 40),
                            request.tag,
                            request.work),
                    this);
        }

        private void recordOutcome(String outcome) {
            answered = true;
            if (timeoutTimer != null) {
                timeoutTimer.cancel();
            }
            events.add(
                    nowUs(),
                    "client",
                    "answer",
                    "request",
                    request.id,
                    "attempt",
                    trace,
                    "class",
                    request.requestClass.name(),
                    "gateway",
                    gateway.name,
                    "outcome",
                    outcome,
                    "stored",
                    warnings,
                    "row",
                    row);
            statistics.countAnswer(outcome);
            statistics.countAnswerAt(nowUs(), outcome);
        }

        private void release(boolean keep) {
            gateway.release(session, keep, loop.now());
        }

        @Override
        public void onMetadata(int count, String first) {
            warnings = count;
            row = first;
        }

        @Override
        public void onRows(int rows) {
            recordOutcome("served");
            statistics.requestServed(
                    request.id,
                    nowUs() - request.firstSentUs,
                    LabDeployment.latencyObjectiveUs(request.requestClass, request.work),
                    request.requestClass);
            release(true);
            request.finish();
        }

        @Override
        public void onError(int code, String text) {
            boolean rejected = REJECTION_CODES.contains(code);
            recordOutcome(rejected ? "refused" : "failed");
            release(random.nextDouble() >= behavior.reconnectProbability);
            if (rejected || request.requestClass.repeatable()) {
                request.retry(text);
            } else {
                request.finish();
            }
        }

        /** The gateway was not reached, or the connection was lost during the attempt. */
        @Override
        public void onConnectionLost(boolean established) {
            if (answered) {
                return;
            }
            recordOutcome(established ? "cut" : "unreachable");
            if (session != null) {
                gateway.sessionClosed();
            }
            gateway.markUnavailable(loop.now().plusMillis(800 + random.nextInt(3200)));
            if (!established || request.requestClass.repeatable()) {
                request.retry("");
            } else {
                request.finish();
            }
        }

        @Override
        public void onUnexpectedResponse() {
            events.add(nowUs(), "client", "answer", "request", request.id, "attempt", trace, "outcome", "second");
            statistics.duplicateAnswers++;
        }

        /** No answer arrived within the timeout, although the gateway owed one. */
        private void onTimeout() {
            if (!answered) {
                recordOutcome("lost");
                release(false);
                if (request.requestClass.repeatable()) {
                    request.retry("");
                } else {
                    request.finish();
                }
            }
        }
    }
}
