package sandpaddle.fleet.link.manager;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.link.LinkSettings;
import sandpaddle.fleet.link.Links;
import sandpaddle.fleet.link.MessageKind;
import sandpaddle.fleet.link.frame.RejectionCode;
import sandpaddle.fleet.link.virtual.VirtualNet;

/** The link managers of two gateways in virtual time: each fault is reported with its reason. */
class LinkManagerTest {
    private static final long SECOND = 1_000_000;

    private final VirtualNet net = new VirtualNet(1);
    private final RecordedEvents a = new RecordedEvents();
    private final RecordedEvents b = new RecordedEvents();
    private final Links linksA = net.node("a", "hall-1", a);
    private final Links linksB = net.node("b", "hall-2", b);

    private void link() {
        linksA.setPeers(net.members());
        net.advance(net.now() + SECOND);
        assertEquals(List.of("up b"), a.events);
        assertEquals(List.of("up a"), b.events);
    }

    @Test
    void messagesArriveInOrderAndTheRoundTripIsMeasured() {
        net.delay(3000);
        link();
        IntStream.range(0, 50)
                .forEach(i -> assertTrue(linksB.send("a", MessageKind.HEARTBEAT, RecordedEvents.message(i))));
        net.advance(2 * SECOND);
        assertEquals(IntStream.range(0, 50).boxed().toList(), a.messages);
        assertEquals(6000, a.roundTripUs);
    }

    @Test
    void simultaneousConnectsKeepOneLinkWithoutFlapping() {
        for (long delay : new long[] {0, 200, 50_000, 2 * SECOND}) {
            VirtualNet both = new VirtualNet(7);
            RecordedEvents one = new RecordedEvents();
            RecordedEvents two = new RecordedEvents();
            both.delay(delay);
            Links first = both.node("a", "h", one);
            Links second = both.node("b", "h", two);
            first.setPeers(both.members());
            both.at(delay / 3, () -> second.setPeers(both.members()));
            both.advance(60 * SECOND);
            assertEquals(List.of("up b"), one.events, "delay " + delay);
            assertEquals(List.of("up a"), two.events, "delay " + delay);
        }
    }

    @Test
    void aOneWayDelayOfTwoSecondsIsTolerated() {
        net.delay(2 * SECOND);
        linksA.setPeers(net.members());
        net.advance(60 * SECOND);
        assertEquals(List.of("up b"), a.events);
        assertEquals(List.of("up a"), b.events);
    }

    @Test
    void aHalfOpenLinkIsUnresponsiveOnBothSidesAndRecovers() {
        link();
        net.isolate("b");
        net.advance(net.now() + 1_100_000);
        assertEquals(List.of("up b", "down b SILENT"), a.events);
        assertEquals(List.of("up a", "down a SILENT"), b.events);
        net.advance(20 * SECOND);
        net.healAll();
        net.advance(40 * SECOND);
        assertEquals("up b", a.events.get(a.events.size() - 1));
        assertEquals("up a", b.events.get(b.events.size() - 1));
    }

    @Test
    void aOneWayCutIsUnresponsiveForOneSideAndTheOtherIsNotified() {
        link();
        net.cut("a", "b");
        net.advance(net.now() + 1_400_000);
        assertEquals(List.of("up a", "down a SILENT"), b.events);
        assertEquals("down b CLOSED", a.events.get(1));
        assertTrue(a.lossDetails.get(0).contains("b: nothing heard for"), a.lossDetails.get(0));
    }

    @Test
    void aPowerLossIsUnresponsiveAndADeadProcessIsClosedThenRefused() {
        link();
        net.powerOff("b");
        net.advance(net.now() + 30 * SECOND);
        assertEquals(List.of("up b", "down b SILENT", "down b UNREACHABLE"), a.events);
        net.restart("b");
        net.advance(net.now() + 30 * SECOND);
        assertEquals("up b", a.events.get(3));
        net.crash("b");
        net.advance(net.now() + 30 * SECOND);
        assertEquals(List.of("down b CLOSED", "down b REFUSED"), a.events.subList(4, a.events.size()));
    }

    @Test
    void aPausedProcessDoesNotDropItsPeersWhenItResumes() {
        link();
        net.stop("a");
        net.advance(net.now() + 5 * SECOND);
        assertEquals(List.of("up a", "down a SILENT"), b.events.subList(0, 2));
        net.resume("a");
        net.advance(net.now() + SECOND);
        assertFalse(a.events.contains("down b SILENT"), a.events.toString());
    }

    @Test
    void aPeerThatReadsNothingIsSendStalled() {
        LinkSettings.Times patient = new LinkSettings.Times(10 * SECOND, 2 * SECOND, SECOND, SECOND, 100_000, SECOND);
        VirtualNet slow = new VirtualNet(3, patient);
        RecordedEvents one = new RecordedEvents();
        Links first = slow.node("a", "h", one);
        slow.node("b", "h", new RecordedEvents());
        first.setPeers(slow.members());
        slow.advance(SECOND);
        slow.stallReads("a", "b");
        assertTrue(first.send("b", MessageKind.CONTENT, RecordedEvents.message(1)));
        slow.advance(3 * SECOND + 500_000);
        assertEquals(List.of("up b", "down b CLOGGED"), one.events.subList(0, 2));
    }

    @Test
    void aRestartIsDetectedAndOfTwoProcessesTheOlderIsNotified() {
        link();
        net.crash("a");
        net.restart("a");
        linksA.setPeers(net.members());
        net.advance(net.now() + SECOND);
        assertEquals(List.of("up a", "down a CLOSED", "up a"), b.events);
    }

    @Test
    void nonMembersAreRejectedByNameOnBothSides() {
        net.setMembership(name -> !name.equals("a"));
        linksA.setPeers(net.members());
        net.advance(3 * SECOND);
        assertEquals(
                new VirtualNet.Rejection("b", "a", RejectionCode.NAME),
                net.rejections().get(0));
        assertEquals(List.of("down b REJECTED"), a.events, "reported once, not at every attempt");
        assertEquals("b rejected this gateway: NAME: a is no member of cluster virtual", a.lossDetails.get(0));
        net.setMembership(name -> true);
        net.advance(net.now() + 10 * SECOND);
        assertEquals(List.of("down b REJECTED", "up b"), a.events);
        net.setMembership(name -> !name.equals("a"));
        net.advance(net.now() + SECOND);
        assertEquals(List.of("up a", "down a REJECTED"), b.events);
    }

    @Test
    void anUnneededLinkEndsAndIsNotReopened() {
        link();
        linksA.setPeers(Set.of());
        net.advance(net.now() + 20 * SECOND);
        assertEquals(List.of("up b", "down b UNWANTED"), a.events);
        assertEquals(List.of("up a", "down a CLOSED"), b.events);
        assertFalse(linksA.send("b", MessageKind.RAFT, RecordedEvents.message(1)));
    }

    /** Guards against a flapping link: after a short link the backoff continues to grow. */
    @Test
    void attemptsAreFewWhileAPeerFlaps() {
        linksA.setPeers(net.members());
        for (long t = 0; t < 120 * SECOND; t += 50_000) {
            net.advance(t);
            if (!a.events.isEmpty() && a.events.get(a.events.size() - 1).equals("up b")) {
                net.crash("b");
                net.restart("b");
            }
        }
        long attempts = net.counts("a").attempts();
        assertTrue(attempts >= 20 && attempts <= 60, "attempts " + attempts);
    }

    @Test
    void attemptsAreFewWhileAPeerIsDown() {
        net.crash("b");
        linksA.setPeers(net.members());
        net.advance(300 * SECOND);
        long attempts = net.counts("a").attempts();
        assertTrue(attempts >= 60 && attempts <= 140, "attempts " + attempts); // the delay is 2.5 to 5 s
    }
}
