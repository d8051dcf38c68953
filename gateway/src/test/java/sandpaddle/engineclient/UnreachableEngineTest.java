package sandpaddle.engineclient;

import static org.testng.Assert.assertEquals;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.testng.annotations.Test;
import sandpaddle.query.AttemptEnd;
import sandpaddle.query.EngineClient;

/** Engines that are unreachable, and the reuse of connections to them. */
public class UnreachableEngineTest extends AttemptFixture {
    /** Guards against needless handshakes: the next query reuses the connection of the one that has just ended. */
    @Test
    public void recentlyUsedConnectionIsAwaited() throws Exception {
        for (int i = 1; i <= 5; i++) {
            RecordingListener listener = new RecordingListener();
            start(listener);
            int sent = i;
            advance(Duration.ofMillis(60));
            runUntil(() -> postCount() == sent);
            respond(0);
            runUntil(() -> !listener.ends.isEmpty());
        }
        assertEquals(accepted.size(), 1);
    }

    /** A duplicate response during the quiet period makes the connection unusable. */
    @Test
    public void lateBytesCloseTheAwaitedConnection() throws Exception {
        RecordingListener first = new RecordingListener();
        start(first);
        runUntil(() -> postCount() == 1);
        respond(0);
        runUntil(() -> !first.ends.isEmpty());
        RecordingListener second = new RecordingListener();
        start(second);
        respond(0);
        advance(Duration.ofMillis(60));
        runUntil(() -> postCount() == 2);
        assertEquals(accepted.size(), 2);
        assertEquals(second.ends, List.of());
    }

    /** Guards against a POST to a process that was replaced: its successor is listed during the quiet period. */
    @Test
    public void awaitedConnectionIsNotUsedAfterAnEngineRestart() throws Exception {
        RecordingListener first = new RecordingListener();
        start(first);
        runUntil(() -> postCount() == 1);
        respond(0);
        runUntil(() -> !first.ends.isEmpty());
        start(new RecordingListener());
        engines.updateEngine(
                "e", (InetSocketAddress) listening.getLocalAddress(), Instant.EPOCH.plusMillis(1), true, false);
        advance(Duration.ofMillis(60));
        runUntil(() -> postCount() == 2);
        assertEquals(accepted.size(), 2);
        runUntil(() -> hasEnded(accepted.get(0)));
    }

    /** Guards against two attempts in flight: an engine that does not receive the DELETE continues the query. */
    @Test
    public void attemptStaysInFlightUntilAnUnreachableEngineHasDroppedIt() throws Exception {
        RecordingListener listener = new RecordingListener();
        EngineClient.AttemptHandle running = start(listener);
        runUntil(() -> postCount() == 1);
        listening.close(); // refuses from now on, as an engine without a free connection may
        advance(Duration.ofMillis(300));
        running.cancel(false); // takes the POST back, which may have arrived until now
        advance(Duration.ofMillis(2250));
        assertEquals(listener.ends, List.of());
        advance(Duration.ofMillis(100));
        assertEquals(listener.ends, List.of(new AttemptEnd.Cancelled()));
    }

    /** Guards the early detection of unreachable engines, before their attempts end. */
    @Test
    public void unreachableEngineIsReportedOnceBeforeItsAttemptsEnd() throws Exception {
        RecordingListener listener = new RecordingListener();
        start(listener);
        runUntil(() -> postCount() == 1);
        listening.close();
        advance(Duration.ofMillis(700)); // no response within 600 ms, then no connection
        assertEquals(listener.unreachableReports, 1);
        advance(Duration.ofMillis(2150)); // 2.85 s, of 0.6 s until the POST is taken back and 2.3 s
        assertEquals(listener.unreachableReports, 1);
        assertEquals(listener.ends, List.of());
        advance(Duration.ofMillis(350));
        assertEquals(listener.ends.get(0).getClass(), AttemptEnd.ConnectionLost.class);
    }

    /**
     * Guards against a POST on an idle connection to an unreachable host, which may read it once the network recovers,
     * and against a connection table filled by the idle connections of many gateways.
     */
    @Test
    public void trialUsesANewConnectionInPlaceOfIdleOnes() throws Exception {
        RecordingListener first = new RecordingListener();
        start(first);
        runUntil(() -> postCount() == 1);
        respond(0);
        runUntil(() -> !first.ends.isEmpty());
        advance(Duration.ofMillis(100));
        RecordingListener trial = new RecordingListener();
        start(trial, true);
        runUntil(() -> postCount() == 2);
        assertEquals(accepted.size(), 2);
        assertEquals(trial.ends, List.of());
        runUntil(() -> hasEnded(accepted.get(0)));
    }

    /** Guards an immediate retry: a reset followed by a refused connection proves that the process died. */
    @Test
    public void deadProcessIsDetectedAtOnce() throws Exception {
        RecordingListener listener = new RecordingListener();
        start(listener);
        runUntil(() -> postCount() == 1);
        listening.close();
        accepted.get(0).close();
        runUntil(() -> !listener.ends.isEmpty());
        assertEquals(listener.ends.get(0).getClass(), AttemptEnd.ConnectionLost.class);
    }
}
