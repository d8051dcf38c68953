package sandpaddle.integration;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A gateway process under load with faulty engines, whose wall clock is set every few hundred milliseconds. The longer
 * run: {@code mvn -pl gateway test -Dtest=WallClockSoakTest -Dsandpaddle.soak.seeds=50}.
 */
public class WallClockSoakTest {
    private static final Duration DURATION = Duration.ofSeconds(12);
    private static final Duration WINDOW = Duration.ofMillis(1500);
    private static final Duration MAX_LATENESS = Duration.ofMillis(500);
    private static final Duration KILLED_AFTER = Duration.ofMillis(3700);
    private static final int ENGINES = 4;
    private static final int CLIENTS = 12;
    private static final int[] STEPS_MS = {300, 3000, 20_000, 400_000, 3_600_000};
    private static final List<String> CLASSES = List.of("lookup", "load", "window");

    private static final String SETTINGS = WallClockStepIntegrationTest.SETTINGS.replace(
            "\"window_us\":400000", "\"window_us\":" + WINDOW.toMillis() * 1000);

    /** Seeds 1 to the number that the system property {@code sandpaddle.soak.seeds} gives. */
    @DataProvider
    public Object[][] seeds() {
        return LongStream.rangeClosed(1, Integer.getInteger("sandpaddle.soak.seeds", 1))
                .mapToObj(seed -> new Object[] {seed})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void rulesHoldWhileWallClockIsSetAgainAndAgain(long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        AttemptAudit audit = new AttemptAudit(seed, "load", "window", WINDOW);
        List<AuditedEngine> engines = new ArrayList<>();
        try (SteppedWallClock clock = new SteppedWallClock();
                ScriptedFeed feed = new ScriptedFeed()) {
            for (int i = 0; i < ENGINES; i++) {
                engines.add(new AuditedEngine("e" + i, audit));
            }
            String hosts = IntStream.range(0, ENGINES)
                    .mapToObj(i -> GatewayFixture.host("e" + i, engines.get(i).server(), "Ready"))
                    .collect(Collectors.joining(","));
            try (GatewayProcess process = GatewayProcess.startWithWallClock(
                    WallClockStepIntegrationTest.config(feed, GatewayFixture.event(1, true, hosts), SETTINGS), clock)) {
                run(process, clock, random, audit);
            }
        } finally {
            for (AuditedEngine engine : engines) {
                engine.close();
            }
        }
        assertTrue(audit.violations().isEmpty(), "seed " + seed + ": " + String.join("; ", audit.violations()));
    }

    private static void run(GatewayProcess process, SteppedWallClock clock, SplittableRandom random, AttemptAudit audit)
            throws IOException, InterruptedException {
        long endNs = System.nanoTime() + DURATION.toNanos();
        AtomicInteger requests = new AtomicInteger();
        CountDownLatch clients = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            Client client = Client.connect(process.address());
            SplittableRandom draws = random.split();
            ScriptedEngine.daemon(() -> {
                sendRequests(client, draws, endNs, requests, audit);
                clients.countDown();
            });
        }
        while (System.nanoTime() < endNs) {
            int step = STEPS_MS[random.nextInt(STEPS_MS.length)];
            clock.set(Duration.ofMillis(random.nextBoolean() ? step : -step));
            new CountDownLatch(1).await(50 + random.nextInt(400), TimeUnit.MILLISECONDS);
        }
        assertTrue(clients.await(30, TimeUnit.SECONDS), "clients have not ended");
        System.out.println("soak: " + requests + " requests, " + audit.retries() + " retries");
        assertTrue(audit.retries() > 0, "no retries among " + requests + " requests");
        long signalledNs = System.nanoTime();
        process.signal("TERM");
        clock.set(Duration.ofMillis(-STEPS_MS[random.nextInt(STEPS_MS.length)]));
        try {
            process.terminate();
        } catch (AssertionError e) {
            audit.report(e.getMessage());
        }
        Duration elapsed = Duration.ofNanos(System.nanoTime() - signalledNs);
        if (elapsed.compareTo(KILLED_AFTER) >= 0) {
            audit.report("process ended after " + elapsed);
        }
    }

    private static void sendRequests(
            Client client, SplittableRandom random, long endNs, AtomicInteger requests, AttemptAudit audit) {
        try (client) {
            while (System.nanoTime() < endNs) {
                int number = requests.incrementAndGet();
                String requestClass = CLASSES.get(random.nextInt(CLASSES.size()));
                int timeoutMs = 700 + random.nextInt(3000);
                String trace = "%016x".formatted(number);
                long sentNs = System.nanoTime();
                String answer =
                        client.execute(GatewayFixture.queryComment(requestClass, number, timeoutMs) + "SELECT 1");
                Duration late = Duration.ofNanos(System.nanoTime() - sentNs).minusMillis(timeoutMs);
                check(audit, requestClass, trace, answer, late);
            }
        } catch (IOException e) {
            audit.report("connection lost: " + e);
        }
    }

    private static void check(AttemptAudit audit, String requestClass, String trace, String answer, Duration late) {
        if (late.compareTo(MAX_LATENESS) > 0) {
            audit.report("answered late by " + late + ": " + requestClass + " " + trace + " " + answer);
        }
        if (answer.startsWith("1040") && requestClass.equals("load") && audit.mayHaveRun(trace)) {
            audit.report("rejected although it may have run: " + requestClass + " " + trace + " " + answer);
        }
        if (answer.endsWith("|") && !answer.startsWith(trace)) {
            audit.report("rows of another request: " + requestClass + " " + trace + " " + answer);
        }
    }
}
