package sandpaddle.fleet.verdict;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import sandpaddle.fleet.verdict.evidence.EvidenceBatch;
import sandpaddle.fleet.verdict.watch.ListedEngine;
import sandpaddle.fleet.verdict.wire.EvidenceCodec;
import sandpaddle.fleet.wire.CborIn;

/** Simulates the evidence exchange of a fleet in virtual time. Each gateway has its own clock; batches are encoded. */
final class VirtualFleet {
    static final long TICK_US = 50_000;

    private record Event(long timeUs, long order, Runnable action) {}

    private final PriorityQueue<Event> queue =
            new PriorityQueue<>(Comparator.comparingLong(Event::timeUs).thenComparingLong(Event::order));
    final SplittableRandom random;
    final Map<String, FleetVerdicts> gateways = new TreeMap<>();
    final Map<String, String> zones = new TreeMap<>();
    final Map<String, VerdictSnapshot> verdicts = new HashMap<>();
    final Map<String, Long> clockOffsetsUs = new HashMap<>(); // by gateway
    final Set<String> stalled = new LinkedHashSet<>();
    final Set<String> voters;
    final VerdictSettings settings;
    private final Map<String, Long> lastArrivalUs = new HashMap<>(); // by link: frames of a link stay in order
    private final Map<String, List<String>> peers = new HashMap<>();
    private final Map<String, Long> linkDownUntilUs = new HashMap<>();
    BiPredicate<String, String> isPartitioned = (from, to) -> false;
    double frameLossProbability; // a lost frame closes the link for 100 to 300 ms
    long maxDelayUs = 40_000;
    long nowUs;
    boolean isExchangeDisabled;
    long bytesSent;
    private long order;

    VirtualFleet(int count, int zoneCount, int voterCount, VerdictSettings settings, long seed) {
        random = new SplittableRandom(seed);
        this.settings = settings;
        for (int i = 0; i < count; i++) {
            zones.put(name(i), "zone" + i % zoneCount);
        }
        voters = new LinkedHashSet<>(new ArrayList<>(zones.keySet()).subList(0, Math.min(count, voterCount)));
        for (String gateway : zones.keySet()) {
            clockOffsetsUs.put(gateway, random.nextLong(1_000_000_000L));
            FleetVerdicts fleetVerdicts =
                    new FleetVerdicts(gateway, zones.get(gateway), 1, settings, 0.005, localTimeUs(gateway));
            fleetVerdicts.updateRoster(zones, voters);
            gateways.put(gateway, fleetVerdicts);
            schedule(random.nextLong(TICK_US), () -> tick(gateway));
        }
        gateways.keySet()
                .forEach(gateway ->
                        peers(gateway).forEach(peer -> gateways.get(gateway).linkUp(peer, 1, localTimeUs(gateway))));
    }

    static String name(int index) {
        return String.format("g%03d", index);
    }

    long localTimeUs(String gateway) {
        return nowUs + clockOffsetsUs.get(gateway);
    }

    List<String> peers(String gateway) {
        return peers.computeIfAbsent(
                gateway,
                key -> zones.keySet().stream()
                        .filter(peer -> !peer.equals(gateway) && (voters.contains(gateway) || voters.contains(peer)))
                        .toList());
    }

    void updateEngines(List<ListedEngine> engines) {
        gateways.forEach((gateway, fleetVerdicts) -> fleetVerdicts.updateEngines(localTimeUs(gateway), engines));
    }

    static List<ListedEngine> listedEngines(int count, int zoneCount) {
        List<ListedEngine> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(new ListedEngine("e" + i, "zone" + i % zoneCount, 0, false));
        }
        return engines;
    }

    void schedule(long timeUs, Runnable action) {
        queue.add(new Event(Math.max(nowUs, timeUs), order++, action));
    }

    void runUntil(long endUs) {
        while (!queue.isEmpty() && queue.peek().timeUs() <= endUs) {
            Event event = queue.poll();
            nowUs = event.timeUs();
            event.action().run();
        }
        nowUs = endUs;
    }

    private void tick(String gateway) {
        schedule(nowUs + TICK_US, () -> tick(gateway));
        if (isExchangeDisabled || stalled.contains(gateway)) {
            return;
        }
        FleetVerdicts fleetVerdicts = gateways.get(gateway);
        verdicts.put(gateway, fleetVerdicts.tick(localTimeUs(gateway)));
        for (String peer : peers(gateway)) {
            if (nowUs >= linkDownUntilUs.getOrDefault(linkName(gateway, peer), 0L)) {
                fleetVerdicts.nextBatch(localTimeUs(gateway), peer).ifPresent(batch -> send(gateway, peer, batch));
            }
        }
    }

    private static String linkName(String one, String other) {
        return one.compareTo(other) < 0 ? one + "-" + other : other + "-" + one;
    }

    private void send(String from, String to, EvidenceBatch batch) {
        gateways.get(from).batchSent(to, batch);
        byte[] message = EvidenceCodec.encode(batch);
        bytesSent += message.length;
        if (isPartitioned.test(from, to)) {
            return; // frames are dropped without the link being closed
        }
        if (random.nextDouble() < frameLossProbability) {
            long restoredUs = nowUs + 100_000 + random.nextLong(200_000);
            linkDownUntilUs.put(linkName(from, to), restoredUs);
            schedule(restoredUs, () -> {
                gateways.get(from).linkUp(to, 1, localTimeUs(from) - 300_000);
                gateways.get(to).linkUp(from, 1, localTimeUs(to) - 300_000);
            });
            return;
        }
        long arrivalUs =
                Math.max(nowUs + 1_000 + random.nextLong(maxDelayUs), lastArrivalUs.getOrDefault(from + to, 0L));
        lastArrivalUs.put(from + to, arrivalUs);
        schedule(arrivalUs, () -> receive(from, to, message));
    }

    private void receive(String from, String to, byte[] message) {
        try {
            if (!stalled.contains(to)) {
                gateways.get(to).batchReceived(localTimeUs(to), from, EvidenceCodec.decode(message));
            }
        } catch (CborIn.FaultyMessageException e) {
            throw new AssertionError(e);
        }
    }

    /** Opens all links anew, as after a partition. */
    void reconnect() {
        gateways.keySet()
                .forEach(gateway ->
                        peers(gateway).forEach(peer -> gateways.get(gateway).linkUp(peer, 1, localTimeUs(gateway))));
    }

    /** Whether a current verdict of the gateway ejects the engine for a fault of its own. */
    boolean ejects(String gateway, String engine) {
        return verdicts.containsKey(gateway)
                && verdicts.get(gateway).engines().stream()
                        .anyMatch(verdict -> verdict.engine().equals(engine)
                                && verdict.kind().ejects()
                                && verdict.kind() != FleetEngineVerdict.Kind.LINK_DOWN
                                && verdict.untilUs() > localTimeUs(gateway));
    }
}
