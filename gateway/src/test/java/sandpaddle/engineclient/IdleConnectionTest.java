package sandpaddle.engineclient;

import static org.testng.Assert.assertEquals;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import org.testng.annotations.Test;

/** Reuse of idle connections. */
public class IdleConnectionTest extends AttemptFixture {
    /** The engine could close the connection while the next query is written to it. */
    @Test
    public void connectionThatExpiresBeforeItIsQuietIsNotReused() throws Exception {
        engines = new HttpEngineClient(loop, Duration.ofMillis(250), Duration.ofMillis(20), 20);
        engines.updateEngine("e", (InetSocketAddress) listening.getLocalAddress(), Instant.EPOCH, true, false);
        RecordingListener first = new RecordingListener();
        start(first);
        runUntil(() -> postCount() == 1);
        respond(0);
        runUntil(() -> !first.ends.isEmpty());
        start(new RecordingListener());
        advance(Duration.ofMillis(100));
        runUntil(() -> postCount() == 2);
        assertEquals(accepted.size(), 2);
    }
}
