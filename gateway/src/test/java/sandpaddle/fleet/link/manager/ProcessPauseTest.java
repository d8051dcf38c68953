package sandpaddle.fleet.link.manager;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.link.LinkSettings;
import sandpaddle.fleet.link.Links;
import sandpaddle.fleet.link.frame.Frame;
import sandpaddle.fleet.link.frame.Greeting;
import sandpaddle.fleet.link.frame.RejectionCode;
import sandpaddle.fleet.member.Member;

/**
 * A gateway that was paused, or did not read, must not take that for a failure of its peers (local health awareness as
 * in Lifeguard).
 */
class ProcessPauseTest {
    private static final long LIVENESS_TIMEOUT_US = LinkSettings.Times.DEFAULT.livenessTimeoutUs();

    private final RecordedEvents recorded = new RecordedEvents();
    private final LinkManager manager = new LinkManager(
            LinkSettings.withDefaults("c", new Member("a", "h", "a", 1), 1),
            name -> true,
            new SplittableRandom(1),
            new LinkTransport() {
                @Override
                public void connect(long connectionId, LinkSettings.Address address) {}

                @Override
                public void framesQueued(long connectionId) {}

                @Override
                public void close(long connectionId, ByteBuffer finalFrame) {}
            },
            new LinkEvents() {
                @Override
                public void connectionRejected(String address, String claimedName, RejectionCode code, String detail) {
                    recorded.events.add("rejected " + claimedName);
                }

                @Override
                public void messageReceived(String from, sandpaddle.fleet.link.MessageKind kind, byte[] payload) {
                    recorded.messageReceived(from, kind, payload);
                }

                @Override
                public void peerUp(Member peer, long incarnation) {
                    recorded.peerUp(peer, incarnation);
                }

                @Override
                public void peerDown(String peer, Links.LossReason reason, String detail) {
                    recorded.peerDown(peer, reason, detail);
                }
            });

    private void link() {
        long connectionId = manager.connectionAccepted(0, "test");
        manager.bytesReceived(
                0,
                connectionId,
                new Frame.Hello(new Greeting(1, 1, "c", new Member("b", "h", "b", 1), "a", 5, 1)).encode());
        manager.bytesReceived(0, connectionId, new Frame.Ping(0).encode());
        manager.tick(0, true);
        assertEquals(List.of("up b"), recorded.events);
    }

    private void ticks(long from, long to, boolean reading) {
        for (long nowUs = from; nowUs <= to; nowUs += LIVENESS_TIMEOUT_US / 20) {
            manager.tick(nowUs, reading);
        }
    }

    @Test
    void timeoutsAreExtendedOnlyOnceAfterAPauseOfTheProcess() {
        link();
        manager.tick(5 * LIVENESS_TIMEOUT_US, true);
        assertEquals(List.of("up b"), recorded.events, "the process was paused between the last read and the tick");
        manager.tick(6 * LIVENESS_TIMEOUT_US, true);
        assertEquals(
                List.of("up b", "down b SILENT"),
                recorded.events,
                "a process that is always late still detects the failure");
    }

    @Test
    void noTimeoutWhileNothingIsRead() {
        link();
        ticks(0, 5 * LIVENESS_TIMEOUT_US, false);
        assertEquals(List.of("up b"), recorded.events);
        ticks(5 * LIVENESS_TIMEOUT_US, 6 * LIVENESS_TIMEOUT_US + LIVENESS_TIMEOUT_US / 10, true);
        assertEquals(List.of("up b", "down b SILENT"), recorded.events);
    }
}
