package sandpaddle.fleet.outage.world;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import sandpaddle.fleet.content.Candidate;
import sandpaddle.fleet.content.ResultId;
import sandpaddle.fleet.outage.margin.MarginSettings;
import sandpaddle.fleet.outage.margin.Margins;
import sandpaddle.fleet.outage.phase.Evidence;
import sandpaddle.fleet.outage.phase.PhaseSettings;
import sandpaddle.fleet.outage.phase.ZonePhase;
import sandpaddle.fleet.outage.plan.Allowance;
import sandpaddle.fleet.outage.plan.AskHistory;
import sandpaddle.fleet.outage.plan.Budget;
import sandpaddle.fleet.outage.plan.Catalogue;
import sandpaddle.fleet.outage.plan.Fetch;
import sandpaddle.fleet.outage.plan.Plan;
import sandpaddle.fleet.outage.plan.Planner;
import sandpaddle.fleet.outage.plan.Prefetcher;
import sandpaddle.fleet.outage.schedule.RawRule;
import sandpaddle.fleet.outage.schedule.RuleReader;
import sandpaddle.fleet.outage.schedule.TimeRange;

/** The keepers compared: a plain LRU cache, the product's prefetching, and one that knows what will be asked. */
final class Keepers {
    private Keepers() {}

    /** Answers by the time that they were last used, within so many bytes. */
    static class Lru implements Keeper {
        private final long maxBytes;
        protected final Map<ResultId, Candidate> held = new LinkedHashMap<>(16, 0.75f, true);
        private long bytes;

        Lru(long maxBytes) {
            this.maxBytes = maxBytes;
        }

        @Override
        public void served(Candidate what, long wall) {
            Candidate old = held.put(
                    what.key().id(),
                    new Candidate(
                            what.key(),
                            what.fingerprint(),
                            what.groups(),
                            what.size(),
                            what.workUs(),
                            what.maxAgeMs(),
                            what.priorityWeight(),
                            wall));
            bytes += what.size() - (old == null ? 0 : old.size());
            for (var i = held.values().iterator(); bytes > maxBytes && i.hasNext(); ) {
                bytes -= i.next().size();
                i.remove();
            }
        }

        @Override
        public void minute(long wall) {}

        @Override
        public long storedAt(Candidate what) {
            Candidate c = held.get(what.key().id());
            return c == null ? -1 : c.cachedRequestedAtMs();
        }
    }

    /** The product's classes: phase, margins, history, catalogue, plan and filler; answers by worth a byte. */
    static final class Prefetching implements Keeper {
        private record Held(Candidate what, long at, double density) {}

        private static final int STEPS = 12; // turns a minute

        private final Margins margins = new Margins(new MarginSettings(60_000, 20 * 60_000, 0.9));
        private final ZonePhase zone;
        private final AskHistory history = new AskHistory(0.3);
        private final Prefetcher prefetch;
        private final Allowance allowance;
        private final long maxBytes;
        private final Map<ResultId, Held> held = new HashMap<>();
        private final TreeSet<Held> byDensity = new TreeSet<>(Comparator.comparingDouble(Held::density)
                .thenComparing(h -> h.what.key().id())
                .thenComparingLong(Held::at));
        private long bytes;

        Prefetching(long maxBytes, long workPerSecond) {
            this.maxBytes = maxBytes;
            allowance = new Allowance(8, workPerSecond);
            prefetch = new Prefetcher(
                    "gw",
                    new Budget(maxBytes, workPerSecond, 0.9, 15_000),
                    120_000_000,
                    history,
                    new Catalogue(Drawn.STATEMENTS, 10_000_000));
            zone = new ZonePhase(
                    "ship",
                    RuleReader.read(List.of(new RawRule(
                                    "o", "daily", "ship", "UTC", "2000-01-01T13:00", "PT2H", "FREQ=DAILY", List.of())))
                            .schedule()
                            .orElseThrow(),
                    margins,
                    20 * 60_000,
                    PhaseSettings.DEFAULT);
        }

        /** The days begin at the first of January 2000: schedules name no earlier time. */
        private static long shown(long wall) {
            return wall + 946_684_800_000L;
        }

        @Override
        public void served(Candidate what, long wall) {
            prefetch.asked(shown(wall), what.fingerprint());
            prefetch.served(what);
            store(what, wall);
        }

        @Override
        public void loaded(long group, long wall) {
            held.values().removeIf(h -> {
                boolean isGone = h.what.groups().contains(group) && byDensity.remove(h);
                bytes -= isGone ? h.what.size() : 0;
                return isGone;
            });
        }

        /** Worth a byte in the outage that comes, as of now; out go the least. */
        private void store(Candidate what, long wall) {
            Held h = new Held(what, wall, prefetch.worth(what, shown(wall), next(wall)) / what.size());
            Held old = held.put(what.key().id(), h);
            byDensity.add(h);
            bytes += what.size();
            if (old != null && byDensity.remove(old)) {
                bytes -= old.what.size();
            }
            while (bytes > maxBytes) {
                Held min = byDensity.pollFirst();
                held.remove(min.what.key().id());
                bytes -= min.what.size();
            }
        }

        /** The window that is next, or under way. */
        private TimeRange next(long wall) {
            long day = Math.floorDiv(wall - 15 * Drawn.HOUR, Drawn.DAY) + 1;
            return new TimeRange(shown(day * Drawn.DAY + 13 * Drawn.HOUR), shown(day * Drawn.DAY + 15 * Drawn.HOUR));
        }

        @Override
        public void minute(long wall) {
            turn(wall, new Evidence(Evidence.Link.REACHABLE, 0));
            for (int i = 0; i < STEPS; i++) {
                long at = wall + i * 60_000L / STEPS;
                Optional<TimeRange> outage = zone.lossAt()
                        .map(l -> new TimeRange(
                                l,
                                Math.max(
                                        l + 1,
                                        zone.window().orElseThrow().span().to())));
                for (Fetch f : prefetch.turn(
                        at * 1000,
                        shown(at),
                        new Prefetcher.View(zone.phase(), outage, List.of("gw")),
                        allowance,
                        id -> held.containsKey(id) ? shown(held.get(id).at) : -1)) {
                    store(f.what(), at);
                    prefetch.ended(f.what().key().id(), true);
                }
            }
        }

        private void turn(long wall, Evidence evidence) {
            zone.turn(wall * 1000, shown(wall), evidence);
            zone.endings().forEach(margins::learn);
        }

        /** A minute of the outage passes. */
        void cutOff(long wall, long since) {
            turn(wall, new Evidence(Evidence.Link.UNREACHABLE, since * 1000));
        }

        @Override
        public long storedAt(Candidate what) {
            Held h = held.get(what.key().id());
            return h == null ? -1 : h.at;
        }
    }

    /** Knows the loss, the return and every ask between them, and has the same bytes and work as the others. */
    static final class Oracle implements Keeper {
        private final Drawn drawn;
        private final long maxBytes;
        private final long workPerSecond;
        private final Map<ResultId, Long> held = new HashMap<>();

        Oracle(Drawn drawn, long maxBytes, long workPerSecond) {
            this.drawn = drawn;
            this.maxBytes = maxBytes;
            this.workPerSecond = workPerSecond;
        }

        @Override
        public void served(Candidate what, long wall) {}

        @Override
        public void minute(long wall) {}

        @Override
        public void lost(int day) {
            TimeRange outage = drawn.outageOf(day);
            held.clear();
            Map<Integer, List<Long>> times = new HashMap<>();
            drawn.asks.stream()
                    .filter(a -> a.statement() >= 0 && outage.has(a.wall()))
                    .forEach(a -> times.computeIfAbsent(a.statement(), n -> new ArrayList<>())
                            .add(a.wall()));
            List<Candidate> asked =
                    times.keySet().stream().map(drawn.statements::get).toList();
            Plan plan = Planner.plan(
                    outage.from() - 30 * 60_000,
                    outage,
                    asked,
                    new Budget(maxBytes, workPerSecond, 1, 0),
                    (n, span) -> times.get((int) n).stream().filter(span::has).count());
            plan.fetches().forEach(f -> held.put(f.what().key().id(), f.beginAt()));
        }

        @Override
        public long storedAt(Candidate what) {
            return held.getOrDefault(what.key().id(), -1L);
        }
    }
}
