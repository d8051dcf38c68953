package sandpaddle.fleet.link.manager;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import sandpaddle.fleet.link.Links;
import sandpaddle.fleet.link.MessageKind;
import sandpaddle.fleet.link.virtual.VirtualNet;

/** Random faults between five gateways: after the faults have healed, each pair of gateways has exactly one link. */
class LinkManagerProperties {
    private static final long SECOND = 1_000_000;
    private static final int NODES = 5;

    private static String name(int i) {
        return "gw-" + i;
    }

    @Property(seed = "21", tries = 15)
    void afterAnyFaultsEachPairHasOneLinkAndItsEventsAlternate(@ForAll @IntRange(max = 1_000_000) int seed) {
        VirtualNet net = new VirtualNet(seed);
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, Links> links = new HashMap<>();
        List<RecordedEvents> recorded = new ArrayList<>();
        net.delay(random.nextLong(random.nextBoolean() ? 400_000 : 3000));
        for (int i = 0; i < NODES; i++) {
            recorded.add(new RecordedEvents());
            links.put(name(i), net.node(name(i), "hall-" + i % 2, recorded.get(i)));
        }
        links.values().forEach(link -> link.setPeers(net.members()));
        for (int i = 0; i < 60; i++) {
            net.advance(net.now() + random.nextLong(SECOND));
            injectFault(net, links, recorded, random);
        }
        healAndWait(net, links);
        for (int i = 0; i < NODES; i++) {
            for (int j = 0; j < NODES; j++) {
                if (i != j) {
                    assertUpAndDownAlternate(recorded.get(i).events, name(j));
                    assertTrue(
                            links.get(name(i)).send(name(j), MessageKind.HEARTBEAT, RecordedEvents.message(i)),
                            name(i) + " has no link to " + name(j) + " " + recorded.get(i).events);
                }
            }
        }
        long losses = lossCount(recorded);
        net.advance(net.now() + 30 * SECOND);
        assertEquals(losses, lossCount(recorded), "links end while nothing fails");
    }

    private static long lossCount(List<RecordedEvents> recorded) {
        return recorded.stream()
                .flatMap(listener -> listener.events.stream())
                .filter(event -> event.startsWith("down"))
                .count();
    }

    private static void injectFault(
            VirtualNet net, Map<String, Links> links, List<RecordedEvents> recorded, SplittableRandom random) {
        int first = random.nextInt(NODES);
        String one = name(first);
        String two = name(random.nextInt(NODES));
        switch (random.nextInt(9)) {
            case 0, 1 -> net.cut(one, two);
            case 2, 3 -> net.heal(one, two);
            case 4 -> net.isolate(one);
            case 5 -> net.stop(one);
            case 6 -> net.resume(one);
            case 7 -> {
                net.resume(one);
                net.crash(one);
                net.restart(one);
                recorded.get(first).events.add("start");
                links.get(one).setPeers(net.members());
            }
            default -> net.delay(one, two, random.nextLong(2 * SECOND));
        }
    }

    private static void healAndWait(VirtualNet net, Map<String, Links> links) {
        net.healAll();
        links.keySet().forEach(net::resume);
        net.advance(net.now() + 60 * SECOND);
    }

    /** Up and down events of a peer alternate, except that attempts may fail while it is down. */
    private static void assertUpAndDownAlternate(List<String> events, String peer) {
        boolean up = false;
        for (String event : events) {
            if (event.equals("up " + peer)) {
                assertTrue(!up, "up twice: " + events);
                up = true;
            } else if (event.equals("start") || event.startsWith("down " + peer + " ")) {
                up = false;
            }
        }
    }

    /** Whatever the delays and whichever side starts, simultaneous connection attempts result in one link. */
    @Property(seed = "23", tries = 120)
    void simultaneousOpenNeverFlaps(
            @ForAll @IntRange(max = 2_000_000) int delayAToB,
            @ForAll @IntRange(max = 2_000_000) int delayBToA,
            @ForAll @IntRange(max = 4_000_000) int offset,
            @ForAll @IntRange(max = 800_000) int jitter) {
        VirtualNet net = new VirtualNet(delayAToB + offset);
        net.jitter(jitter);
        RecordedEvents a = new RecordedEvents();
        RecordedEvents b = new RecordedEvents();
        net.delay("a", "b", delayAToB);
        net.delay("b", "a", delayBToA);
        Links linksA = net.node("a", "h", a);
        Links linksB = net.node("b", "h", b);
        linksA.setPeers(net.members());
        net.at(offset, () -> linksB.setPeers(net.members()));
        net.advance(25 * SECOND);
        assertEquals(List.of("up b"), a.events);
        assertEquals(List.of("up a"), b.events);
    }

    /** Messages are lost and duplicated on links that stay up, so that the layers above are tested with both. */
    @Property(seed = "22", tries = 20)
    void messagesAreLostAndDuplicatedAsConfigured(@ForAll @IntRange(max = 1_000_000) int seed) {
        VirtualNet net = new VirtualNet(seed);
        RecordedEvents b = new RecordedEvents();
        Links a = net.node("a", "h", new RecordedEvents());
        net.node("b", "h", b);
        a.setPeers(net.members());
        net.advance(SECOND);
        net.drop(0.3);
        net.duplicate(0.3);
        for (int i = 0; i < 500; i++) {
            assertTrue(a.send("b", MessageKind.RAFT, RecordedEvents.message(i)));
            net.advance(net.now() + 1000);
        }
        net.advance(net.now() + 5 * SECOND);
        long distinct = b.messages.stream().distinct().count();
        assertTrue(distinct > 280 && distinct < 420, "distinct messages " + distinct);
        assertTrue(b.messages.size() > distinct + 50, "duplicates " + (b.messages.size() - distinct));
    }
}
