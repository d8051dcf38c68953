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
import sandpaddle.fleet.outage.plan.Candidates;
import sandpaddle.fleet.outage.plan.DemandHistory;
import sandpaddle.fleet.outage.plan.Fetch;
import sandpaddle.fleet.outage.plan.FetchLimit;
import sandpaddle.fleet.outage.plan.Plan;
import sandpaddle.fleet.outage.plan.Planner;
import sandpaddle.fleet.outage.plan.PrefetchBudget;
import sandpaddle.fleet.outage.plan.Prefetcher;
import sandpaddle.fleet.outage.schedule.RawRule;
import sandpaddle.fleet.outage.schedule.RuleReader;
import sandpaddle.fleet.outage.schedule.TimeRange;

/** The strategies compared: an LRU cache, the prefetching of the product, and an oracle that knows the requests. */
final class AnswerCaches {
    private AnswerCaches() {}

    /** Evicts the least recently used answers beyond a number of bytes. */
    static class Lru implements AnswerCache {
        private final long maxBytes;
        protected final Map<ResultId, Candidate> stored = new LinkedHashMap<>(16, 0.75f, true);
        private long bytes;

        Lru(long maxBytes) {
            this.maxBytes = maxBytes;
        }

        @Override
        public void answerServed(Candidate candidate, long wallMs) {
            Candidate previous = stored.put(
                    candidate.key().id(),
                    new Candidate(
                            candidate.key(),
                            candidate.fingerprint(),
                            candidate.groups(),
                            candidate.size(),
                            candidate.workUs(),
                            candidate.maxAgeMs(),
                            candidate.priorityWeight(),
                            wallMs));
            bytes += candidate.size() - (previous == null ? 0 : previous.size());
            for (var i = stored.values().iterator(); bytes > maxBytes && i.hasNext(); ) {
                bytes -= i.next().size();
                i.remove();
            }
        }

        @Override
        public void minutePassed(long wallMs) {}

        @Override
        public long storedAtMs(Candidate candidate) {
            Candidate copy = stored.get(candidate.key().id());
            return copy == null ? -1 : copy.cachedRequestedAtMs();
        }
    }

    /**
     * The classes of the product: phase, margins, demand history, candidates, planner and plan executor. Evicts by
     * value per byte.
     */
    static final class Prefetching implements AnswerCache {
        private record StoredCopy(Candidate candidate, long fetchedAtMs, double density) {}

        private static final int UPDATES_PER_MINUTE = 12;

        private final Margins margins = new Margins(new MarginSettings(60_000, 20 * 60_000, 0.9));
        private final ZonePhase zone;
        private final DemandHistory history = new DemandHistory(0.3);
        private final Prefetcher prefetcher;
        private final FetchLimit limit;
        private final long maxBytes;
        private final Map<ResultId, StoredCopy> stored = new HashMap<>();
        private final TreeSet<StoredCopy> byDensity = new TreeSet<>(Comparator.comparingDouble(StoredCopy::density)
                .thenComparing(copy -> copy.candidate.key().id())
                .thenComparingLong(StoredCopy::fetchedAtMs));
        private long bytes;

        Prefetching(long maxBytes, long workUsPerSecond) {
            this.maxBytes = maxBytes;
            limit = new FetchLimit(8, workUsPerSecond);
            prefetcher = new Prefetcher(
                    "gw",
                    new PrefetchBudget(maxBytes, workUsPerSecond, 0.9, 15_000),
                    120_000_000,
                    history,
                    new Candidates(GeneratedWorkload.STATEMENTS, 10_000_000));
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

        /** Moves the generated days to start on 1 January 2000, since schedules have no earlier time. */
        private static long toScheduleTime(long wallMs) {
            return wallMs + 946_684_800_000L;
        }

        @Override
        public void answerServed(Candidate candidate, long wallMs) {
            prefetcher.recordRequest(toScheduleTime(wallMs), candidate.fingerprint());
            prefetcher.recordAnswer(candidate);
            store(candidate, wallMs);
        }

        @Override
        public void dataChanged(long group, long wallMs) {
            stored.values().removeIf(copy -> {
                boolean isRemoved = copy.candidate.groups().contains(group) && byDensity.remove(copy);
                bytes -= isRemoved ? copy.candidate.size() : 0;
                return isRemoved;
            });
        }

        /** Stores an answer by its value per byte in the next outage and evicts those with the least. */
        private void store(Candidate candidate, long wallMs) {
            StoredCopy copy = new StoredCopy(
                    candidate,
                    wallMs,
                    prefetcher.value(candidate, toScheduleTime(wallMs), nextWindow(wallMs)) / candidate.size());
            StoredCopy previous = stored.put(candidate.key().id(), copy);
            byDensity.add(copy);
            bytes += candidate.size();
            if (previous != null && byDensity.remove(previous)) {
                bytes -= previous.candidate.size();
            }
            while (bytes > maxBytes) {
                StoredCopy leastDense = byDensity.pollFirst();
                stored.remove(leastDense.candidate.key().id());
                bytes -= leastDense.candidate.size();
            }
        }

        /** Returns the next window, or the one in progress. */
        private TimeRange nextWindow(long wallMs) {
            long day = Math.floorDiv(wallMs - 15 * GeneratedWorkload.HOUR_MS, GeneratedWorkload.DAY_MS) + 1;
            return new TimeRange(
                    toScheduleTime(day * GeneratedWorkload.DAY_MS + 13 * GeneratedWorkload.HOUR_MS),
                    toScheduleTime(day * GeneratedWorkload.DAY_MS + 15 * GeneratedWorkload.HOUR_MS));
        }

        @Override
        public void minutePassed(long wallMs) {
            updatePhase(wallMs, new Evidence(Evidence.Link.REACHABLE, 0));
            for (int i = 0; i < UPDATES_PER_MINUTE; i++) {
                long nowMs = wallMs + i * 60_000L / UPDATES_PER_MINUTE;
                Optional<TimeRange> outage = zone.expectedLossMs()
                        .map(lossMs -> new TimeRange(
                                lossMs,
                                Math.max(
                                        lossMs + 1,
                                        zone.window().orElseThrow().range().endMs())));
                for (Fetch fetch : prefetcher.startDueFetches(
                        nowMs * 1000,
                        toScheduleTime(nowMs),
                        new Prefetcher.ZoneState(zone.phase(), outage, List.of("gw")),
                        limit,
                        id -> stored.containsKey(id) ? toScheduleTime(stored.get(id).fetchedAtMs) : -1)) {
                    store(fetch.candidate(), nowMs);
                    prefetcher.fetchEnded(fetch.candidate().key().id(), true);
                }
            }
        }

        private void updatePhase(long wallMs, Evidence evidence) {
            zone.update(wallMs * 1000, toScheduleTime(wallMs), evidence);
            zone.drainOutcomes().forEach(margins::learn);
        }

        /** A minute passed in which the zone was isolated. */
        void isolatedMinutePassed(long wallMs, long lossMs) {
            updatePhase(wallMs, new Evidence(Evidence.Link.UNREACHABLE, lossMs * 1000));
        }

        @Override
        public long storedAtMs(Candidate candidate) {
            StoredCopy copy = stored.get(candidate.key().id());
            return copy == null ? -1 : copy.fetchedAtMs;
        }
    }

    /**
     * Knows the loss, the return and every request between them, and has the same byte and work budgets as the others.
     */
    static final class Oracle implements AnswerCache {
        private final GeneratedWorkload workload;
        private final long maxBytes;
        private final long workUsPerSecond;
        private final Map<ResultId, Long> stored = new HashMap<>();

        Oracle(GeneratedWorkload workload, long maxBytes, long workUsPerSecond) {
            this.workload = workload;
            this.maxBytes = maxBytes;
            this.workUsPerSecond = workUsPerSecond;
        }

        @Override
        public void answerServed(Candidate candidate, long wallMs) {}

        @Override
        public void minutePassed(long wallMs) {}

        @Override
        public void outageStarted(int day) {
            TimeRange outage = workload.outageOf(day);
            stored.clear();
            Map<Integer, List<Long>> times = new HashMap<>();
            workload.requests.stream()
                    .filter(request -> request.statement() >= 0 && outage.contains(request.wallMs()))
                    .forEach(request -> times.computeIfAbsent(request.statement(), key -> new ArrayList<>())
                            .add(request.wallMs()));
            List<Candidate> requested =
                    times.keySet().stream().map(workload.statements::get).toList();
            Plan plan = Planner.plan(
                    outage.startMs() - 30 * 60_000,
                    outage,
                    requested,
                    new PrefetchBudget(maxBytes, workUsPerSecond, 1, 0),
                    (statement, range) -> times.get((int) statement).stream()
                            .filter(range::contains)
                            .count());
            plan.fetches().forEach(fetch -> stored.put(fetch.candidate().key().id(), fetch.startAtMs()));
        }

        @Override
        public long storedAtMs(Candidate candidate) {
            return stored.getOrDefault(candidate.key().id(), -1L);
        }
    }
}
