package sandpaddle.engineclient;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sandpaddle.query.AttemptEnd;
import sandpaddle.query.EngineClient;

/** What proves that a cancelled attempt is over: docs/design/ends-of-attempts.md. */
public class CancelledAttemptTest extends AttemptFixture {
    private static final String IN_PROGRESS = "HTTP/1.1 202 -\r\nContent-Length: 0\r\n\r\n";
    private static final Duration STEP = Duration.ofMillis(20);

    private RecordingListener listener;

    @BeforeMethod
    public void createListener() {
        listener = new RecordingListener();
    }

    private int deleteCount() {
        return callCount("DELETE ");
    }

    private void reset(int connection) throws IOException {
        accepted.get(connection).setOption(StandardSocketOptions.SO_LINGER, 0);
        accepted.get(connection).close();
    }

    /** Starts an attempt that the engine has acknowledged, and cancels it; the DELETE is on the last connection. */
    private void cancelAcknowledgedAttempt() throws IOException {
        EngineClient.AttemptHandle running = start(listener);
        runUntil(() -> postCount() == 1);
        respond(0, IN_PROGRESS);
        advance(Duration.ofMillis(100)); // the next poll is in flight
        running.cancel(false);
        runUntil(() -> deleteCount() == 1);
    }

    @DataProvider
    public Object[][] resetTimes() {
        return new Object[][] {{0}, {40}, {60}, {100}, {300}, {550}};
    }

    /** Guards against two attempts at once: a DELETE that was reset unread counted as delivered after 40 ms. */
    @Test(dataProvider = "resetTimes")
    public void attemptStaysInFlightAfterItsDeleteIsResetUnread(int resetAfterMs) throws Exception {
        cancelAcknowledgedAttempt();
        advance(Duration.ofMillis(resetAfterMs));
        reset(accepted.size() - 1);
        runUntil(() -> {
            clock.advance(STEP);
            return deleteCount() == 2;
        });
        assertEquals(listener.ends, List.of());
        respond(accepted.size() - 1, DELETED);
        runUntil(() -> !listener.ends.isEmpty());
        assertEquals(listener.ends, List.of(new AttemptEnd.Cancelled()));
    }

    /** Guards against two attempts at once: a silent engine has given nothing up before it must have dropped it. */
    @Test
    public void unansweredDeleteProvesNothingBeforeTheEngineHasDroppedTheQuery() throws Exception {
        cancelAcknowledgedAttempt();
        advance(Duration.ofMillis(2250));
        assertEquals(listener.ends, List.of());
        advance(Duration.ofMillis(100));
        assertEquals(listener.ends, List.of(new AttemptEnd.Cancelled()));
    }

    /** Guards against two attempts at once: what cannot be read may be a spoilt decline, or meant for another call. */
    @Test
    public void malformedResponseDoesNotConfirmTheDelete() throws Exception {
        cancelAcknowledgedAttempt();
        respond(accepted.size() - 1, "\u0001\u0002\r\n\r\n");
        runUntil(() -> {
            clock.advance(STEP);
            return deleteCount() == 2;
        });
        assertEquals(listener.ends, List.of());
    }

    /** Guards against two attempts at once: the POST may be read after the first DELETE. */
    @Test
    public void deleteOfAnUnacknowledgedPostIsConfirmedTwice() throws Exception {
        EngineClient.AttemptHandle running = start(listener);
        runUntil(() -> postCount() == 1);
        running.cancel(false);
        runUntil(() -> deleteCount() == 1);
        respond(accepted.size() - 1, DELETED);
        advance(Duration.ofMillis(40));
        assertEquals(listener.ends, List.of());
        advance(Duration.ofMillis(40));
        runUntil(() -> deleteCount() == 2);
        assertEquals(listener.ends, List.of());
        respond(accepted.size() - 1, DELETED);
        runUntil(() -> !listener.ends.isEmpty());
    }

    private static boolean isReset(SocketChannel channel) {
        try {
            channel.read(ByteBuffer.allocate(16));
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Guards against an attempt that begins after a partition: TCP delivered a POST that had been given up. */
    @Test
    public void postWithoutAResponseIsTakenBackByAReset() throws Exception {
        start(listener);
        runUntil(() -> postCount() == 1);
        advanceWithoutReading(Duration.ofMillis(620));
        assertTrue(isReset(accepted.get(0)), "the connection of the POST was not reset");
    }

    /** The same for an attempt that is cancelled. */
    @Test
    public void postOfACancelledAttemptIsTakenBackByAReset() throws Exception {
        EngineClient.AttemptHandle running = start(listener);
        runUntil(() -> postCount() == 1);
        running.cancel(false);
        advanceWithoutReading(Duration.ofMillis(20));
        assertTrue(isReset(accepted.get(0)), "the connection of the POST was not reset");
    }

    /** Guards against two attempts at once: the POST may have arrived until its connection was reset. */
    @Test
    public void engineThatIsCutOffMayHaveBegunUntilThePostWasTakenBack() throws Exception {
        start(listener);
        runUntil(() -> postCount() == 1);
        listening.close();
        advance(Duration.ofMillis(2850)); // it is taken back after 600 ms, and dropped 2.3 s later at the latest
        assertEquals(listener.ends, List.of());
        advance(Duration.ofMillis(350));
        assertEquals(listener.ends.get(0).getClass(), AttemptEnd.ConnectionLost.class);
    }

    private void advanceWithoutReading(Duration span) throws IOException {
        for (long ms = 0; ms < span.toMillis(); ms += STEP.toMillis()) {
            clock.advance(STEP);
            loop.runTurn(() -> {}, Duration.ofMillis(1));
            loop.runTurn(() -> {}, Duration.ofMillis(1));
        }
    }
}
