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

/** Gateways in virtual time, each with a clock of its own; every batch goes through its message form. */
final class VirtualFleet {
    static final long TICK = 50_000;

    private record Event(long at, long order, Runnable run) {}

    private final PriorityQueue<Event> queue =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    final SplittableRandom random;
    final Map<String, FleetVerdicts> gateways = new TreeMap<>();
    final Map<String, String> zones = new TreeMap<>();
    final Map<String, VerdictSnapshot> verdicts = new HashMap<>();
    final Map<String, Long> offsets = new HashMap<>(); // of each gateway's clock
    final Set<String> stopped = new LinkedHashSet<>();
    final Set<String> voters;
    final VerdictSettings settings;
    private final Map<String, Long> linkFreeAt = new HashMap<>(); // frames of one link stay in order
    private final Map<String, List<String>> peers = new HashMap<>();
    private final Map<String, Long> downUntil = new HashMap<>();
    BiPredicate<String, String> cut = (from, to) -> false;
    double loss; // of a frame; it breaks the link for a while
    long maxDelay = 40_000;
    long now;
    boolean silent; // the gateways say nothing to each other
    long bytes;
    private long order;

    VirtualFleet(int count, int zoneCount, int voterCount, VerdictSettings settings, long seed) {
        random = new SplittableRandom(seed);
        this.settings = settings;
        for (int i = 0; i < count; i++) {
            zones.put(name(i), "hall" + i % zoneCount);
        }
        voters = new LinkedHashSet<>(new ArrayList<>(zones.keySet()).subList(0, Math.min(count, voterCount)));
        for (String gateway : zones.keySet()) {
            offsets.put(gateway, random.nextLong(1_000_000_000L));
            FleetVerdicts f = new FleetVerdicts(gateway, zones.get(gateway), 1, settings, 0.005, clock(gateway));
            f.updateRoster(zones, voters);
            gateways.put(gateway, f);
            at(random.nextLong(TICK), () -> tick(gateway));
        }
        gateways.keySet()
                .forEach(gateway ->
                        peers(gateway).forEach(p -> gateways.get(gateway).linkUp(p, 1, clock(gateway))));
    }

    static String name(int i) {
        return String.format("g%03d", i);
    }

    long clock(String gateway) {
        return now + offsets.get(gateway);
    }

    List<String> peers(String gateway) {
        return peers.computeIfAbsent(
                gateway,
                k -> zones.keySet().stream()
                        .filter(p -> !p.equals(gateway) && (voters.contains(gateway) || voters.contains(p)))
                        .toList());
    }

    void engines(List<ListedEngine> lines) {
        gateways.forEach((gateway, f) -> f.updateEngines(clock(gateway), lines));
    }

    static List<ListedEngine> lines(int count, int zoneCount) {
        List<ListedEngine> lines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            lines.add(new ListedEngine("e" + i, "hall" + i % zoneCount, 0, false));
        }
        return lines;
    }

    void at(long time, Runnable run) {
        queue.add(new Event(Math.max(now, time), order++, run));
    }

    void runTo(long end) {
        while (!queue.isEmpty() && queue.peek().at() <= end) {
            Event e = queue.poll();
            now = e.at();
            e.run().run();
        }
        now = end;
    }

    private void tick(String gateway) {
        at(now + TICK, () -> tick(gateway));
        if (silent || stopped.contains(gateway)) {
            return;
        }
        FleetVerdicts f = gateways.get(gateway);
        verdicts.put(gateway, f.tick(clock(gateway)));
        for (String p : peers(gateway)) {
            if (now >= downUntil.getOrDefault(link(gateway, p), 0L)) {
                f.nextBatch(clock(gateway), p).ifPresent(batch -> send(gateway, p, batch));
            }
        }
    }

    private static String link(String a, String b) {
        return a.compareTo(b) < 0 ? a + "-" + b : b + "-" + a;
    }

    private void send(String from, String to, EvidenceBatch batch) {
        gateways.get(from).batchSent(to, batch);
        byte[] message = EvidenceCodec.encode(batch);
        bytes += message.length;
        if (cut.test(from, to)) {
            return; // a link cut without a word: what was sent comes never
        }
        if (random.nextDouble() < loss) {
            long up = now + 100_000 + random.nextLong(200_000);
            downUntil.put(link(from, to), up);
            at(up, () -> {
                gateways.get(from).linkUp(to, 1, clock(from) - 300_000);
                gateways.get(to).linkUp(from, 1, clock(to) - 300_000);
            });
            return;
        }
        long arrives = Math.max(now + 1_000 + random.nextLong(maxDelay), linkFreeAt.getOrDefault(from + to, 0L));
        linkFreeAt.put(from + to, arrives);
        at(arrives, () -> receive(from, to, message));
    }

    private void receive(String from, String to, byte[] message) {
        try {
            if (!stopped.contains(to)) {
                gateways.get(to).batchReceived(clock(to), from, EvidenceCodec.decode(message));
            }
        } catch (CborIn.FaultyMessageException e) {
            throw new AssertionError(e);
        }
    }

    /** Links that were cut are up again. */
    void reconnect() {
        gateways.keySet()
                .forEach(gateway ->
                        peers(gateway).forEach(p -> gateways.get(gateway).linkUp(p, 1, clock(gateway))));
    }

    boolean condemns(String gateway, String engine) {
        return verdicts.containsKey(gateway)
                && verdicts.get(gateway).engines().stream()
                        .anyMatch(verdict -> verdict.engine().equals(engine)
                                && verdict.kind().condemns()
                                && verdict.kind() != FleetEngineVerdict.Kind.LINK_DOWN
                                && verdict.untilUs() > clock(gateway));
    }
}
