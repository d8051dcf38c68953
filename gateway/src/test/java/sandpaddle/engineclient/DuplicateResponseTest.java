package sandpaddle.engineclient;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.testng.annotations.Test;

/** Duplicate responses: after one, each response on the connection would be read as that of the next call. */
public class DuplicateResponseTest extends AttemptFixture {
    private static final String IN_PROGRESS =
            "HTTP/1.1 202 -\r\nX-Result: frac\r\nNote-Value: 0.5\r\n" + "Content-Length: 0\r\n\r\n";

    /**
     * Guards against returning rows of the previous query: a duplicate was read as the response to the next call, so
     * the last response is still outstanding when the connection has been quiet long enough for another query.
     */
    @Test
    public void connectionWithADuplicateResponseServesNoOtherQuery() throws Exception {
        RecordingListener first = new RecordingListener();
        start(first);
        runUntil(() -> postCount() == 1);
        respond(0, IN_PROGRESS);
        runUntil(() -> callCount("GET /x/") == 1);
        respond(0, IN_PROGRESS); // the duplicate
        runUntil(() -> callCount("GET /x/") == 2);
        respond(0, OK); // to the first GET; that to the second is outstanding
        runUntil(() -> !first.ends.isEmpty());
        advance(Duration.ofMillis(60));
        RecordingListener second = new RecordingListener();
        start(second);
        runUntil(() -> postCount() == 2);
        assertEquals(accepted.size(), 2, "the second query was sent on a connection with an outstanding response");
        respond(1, OK);
        runUntil(() -> !second.ends.isEmpty());
    }

    /** Guards against a handshake for each query. */
    @Test
    public void delayedProgressResponsesKeepTheConnection() throws Exception {
        RecordingListener first = new RecordingListener();
        start(first);
        runUntil(() -> postCount() == 1);
        respond(0, IN_PROGRESS);
        runUntil(() -> callCount("GET /x/") == 1);
        clock.advance(Duration.ofMillis(250));
        respond(0, IN_PROGRESS);
        runUntil(() -> callCount("GET /x/") == 2);
        respond(0, OK);
        runUntil(() -> !first.ends.isEmpty());
        advance(Duration.ofMillis(60));
        start(new RecordingListener());
        runUntil(() -> postCount() == 2);
        assertEquals(accepted.size(), 1);
    }
}
