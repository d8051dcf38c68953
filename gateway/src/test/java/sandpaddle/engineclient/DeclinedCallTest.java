package sandpaddle.engineclient;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.Test;
import sandpaddle.query.AttemptEnd;
import sandpaddle.query.EngineClient;

/** Declines of a query by its engine, and of a connection by an engine without a free one. */
public class DeclinedCallTest extends AttemptFixture {
    /** The engine reads the POST; its connection is then reset, and the next one is declined. */
    private RecordingListener loseResponseThenDecline() throws Exception {
        RecordingListener listener = new RecordingListener();
        start(listener);
        runUntil(() -> postCount() == 1);
        accepted.get(0).close();
        runUntil(() -> callCount("GET /x/") == 1);
        respond(1, DECLINED);
        runUntil(() -> hasEnded(accepted.get(1)));
        return listener;
    }

    /** Guards against running a query twice: an engine without a free connection declines calls unread. */
    @Test
    public void declinedConnectionProvesNothingAboutTheQuery() throws Exception {
        RecordingListener listener = loseResponseThenDecline();
        assertEquals(listener.ends, List.of());
        advance(Duration.ofMillis(120));
        runUntil(() -> callCount("GET /x/") == 2);
        respond(2);
        runUntil(() -> !listener.ends.isEmpty());
        assertEquals(listener.ends.get(0).getClass(), AttemptEnd.Completed.class);
        assertEquals(postCount(), 1);
    }

    /** An engine drops a query that was not polled for 2 s: from then on it can only be reported as possibly run. */
    @Test
    public void queryMayHaveRunIfTheEngineDeclinesConnectionsForLong() throws Exception {
        RecordingListener listener = loseResponseThenDecline();
        for (int declined = 2; listener.ends.isEmpty() && declined < 40; declined++) {
            int next = declined;
            advance(Duration.ofMillis(120));
            runUntil(() -> accepted.size() > next || !listener.ends.isEmpty());
            if (listener.ends.isEmpty()) {
                respond(next, DECLINED);
            }
        }
        assertEquals(listener.ends.get(0).getClass(), AttemptEnd.ConnectionLost.class);
        assertEquals(postCount(), 1);
    }

    /** Guards an immediate retry: a decline in response to the POST proves that the query never ran. */
    @Test
    public void declinedPostNeverRan() throws Exception {
        RecordingListener listener = new RecordingListener();
        start(listener);
        runUntil(() -> postCount() == 1);
        respond(0, DECLINED);
        runUntil(() -> !listener.ends.isEmpty());
        assertEquals(listener.ends, List.of(new AttemptEnd.Rejected(null)));
        runUntil(() -> hasEnded(accepted.get(0))); // a late duplicate of the decline is not read
    }

    /** A decline of a poll proves nothing about the query, even on the connection that carried the POST. */
    @Test
    public void declineAfterAcceptanceProvesNothing() throws Exception {
        RecordingListener listener = new RecordingListener();
        start(listener);
        runUntil(() -> postCount() == 1);
        respond(0, "HTTP/1.1 202 -\r\nContent-Length: 0\r\n\r\n");
        advance(Duration.ofMillis(60));
        runUntil(() -> callCount("GET /x/") == 1);
        respond(0, DECLINED);
        advance(Duration.ofMillis(60));
        runUntil(() -> callCount("DELETE /x/") == 1);
        assertEquals(listener.ends, List.of());
        respond(0, DELETED);
        runUntil(() -> !listener.ends.isEmpty());
        assertEquals(listener.ends, List.of(new AttemptEnd.Failed("status 503", null)));
    }

    /** Guards against two attempts in flight: a DELETE that was declined without being read does not stop the query. */
    @Test
    public void declinedDeleteIsRepeated() throws Exception {
        RecordingListener listener = new RecordingListener();
        EngineClient.AttemptHandle running = start(listener);
        runUntil(() -> postCount() == 1);
        running.cancel(false);
        runUntil(() -> callCount("DELETE /x/") == 1);
        respond(accepted.size() - 1, DECLINED);
        advance(Duration.ofMillis(80));
        assertEquals(listener.ends, List.of());
        advance(Duration.ofMillis(40));
        runUntil(() -> callCount("DELETE /x/") == 2);
        respond(accepted.size() - 1, DELETED);
        advance(Duration.ofMillis(60));
        runUntil(() -> callCount("DELETE /x/") == 3); // the POST was not acknowledged
        assertEquals(listener.ends, List.of());
        respond(accepted.size() - 1, DELETED);
        runUntil(() -> !listener.ends.isEmpty());
        assertEquals(listener.ends, List.of(new AttemptEnd.Cancelled()));
    }
}
