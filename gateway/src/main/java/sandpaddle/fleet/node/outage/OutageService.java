package sandpaddle.fleet.node.outage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.tinylog.Logger;
import sandpaddle.fleet.OutageSettings;
import sandpaddle.fleet.content.CacheKey;
import sandpaddle.fleet.content.CachedResult;
import sandpaddle.fleet.content.Candidate;
import sandpaddle.fleet.content.ResultCache;
import sandpaddle.fleet.content.ResultId;
import sandpaddle.fleet.content.ResultMetadata;
import sandpaddle.fleet.content.replication.CacheReplicaStore;
import sandpaddle.fleet.content.replication.OutgoingMessage;
import sandpaddle.fleet.content.replication.ReplicationLinks;
import sandpaddle.fleet.content.replication.ReplicationMessage;
import sandpaddle.fleet.content.replication.ReplicationSettings;
import sandpaddle.fleet.content.replication.ResultReplication;
import sandpaddle.fleet.content.serve.DataChanges;
import sandpaddle.fleet.content.serve.Decision;
import sandpaddle.fleet.content.serve.OutageRetryAfter;
import sandpaddle.fleet.content.serve.ServeContext;
import sandpaddle.fleet.content.serve.ServeRule;
import sandpaddle.fleet.link.Links;
import sandpaddle.fleet.node.LocalNode;
import sandpaddle.fleet.node.MonotonicClock;
import sandpaddle.fleet.node.loop.LoopEvent;
import sandpaddle.fleet.outage.margin.Margins;
import sandpaddle.fleet.outage.phase.Evidence;
import sandpaddle.fleet.outage.phase.Phase;
import sandpaddle.fleet.outage.phase.ZonePhase;
import sandpaddle.fleet.outage.plan.Candidates;
import sandpaddle.fleet.outage.plan.DemandHistory;
import sandpaddle.fleet.outage.plan.Fetch;
import sandpaddle.fleet.outage.plan.FetchLimit;
import sandpaddle.fleet.outage.plan.PrefetchBudget;
import sandpaddle.fleet.outage.plan.Prefetcher;
import sandpaddle.fleet.outage.plan.ReplicaOwners;
import sandpaddle.fleet.outage.schedule.TimeRange;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.query.Answer;
import sandpaddle.query.Query;
import sandpaddle.query.ResultSet;

/**
 * Outage handling of one gateway: stores answers, fetches the planned ones, replicates them to the other owner in the
 * zone, and serves them while the zone is isolated. All calls come from the thread {@code fleet-content}, which may
 * wait for the disk.
 */
public final class OutageService {
    private static final double NEWEST_DAY_WEIGHT = 0.3; // weight of the newest day in the demand history
    private static final long REPLAN_INTERVAL_US = 30_000_000;
    private static final long DEMAND_REPORT_INTERVAL_US = 60_000_000;
    private static final long HOUR_MS = 3_600_000;
    private static final double PLANNED_WORK_FRACTION = 0.9;
    private static final long PREFETCH_SAFETY_MS = 5_000;
    private static final int MAX_CANDIDATES = 20_000;
    private static final long MAX_CANDIDATE_BYTES = 16L << 20;
    private static final int MAX_CONCURRENT_FETCHES = 2;
    private static final long MIN_RETRY_AFTER_MS = 1;
    private static final long MIN_REMAINING_MS = 2_000;

    private final OutageSettings settings;
    private final String self;
    private final StorableClasses storableClasses;
    private final MonotonicClock clock;
    private final long incarnation;
    private final AnswerFetcher fetcher;
    private final ZonePhase zonePhase;
    private final Margins margins;
    private final ResultCache store;
    private final CacheReplicaStore replicaStore;
    private final ReplicationLinks replicationLinks;
    private final ResultReplication replication;
    private final Prefetcher prefetcher;
    private final DataChanges dataChanges;
    private final OutageResponses responses;
    private final Set<String> liveGateways = new TreeSet<>();
    private long demandReportedAtUs = Long.MIN_VALUE / 2;
    private long lastContactUs;

    /**
     * Creates the service.
     *
     * @param settings settings of outages and stored answers
     * @param localNode identity and settings of this gateway
     * @param store store of answers
     * @param fleetLinks links that carry replication messages to neighbours
     * @param fetcher fetches answers from engines
     * @param seed seed of the jitter of Retry-After
     */
    public OutageService(
            OutageSettings settings,
            LocalNode localNode,
            ResultCache store,
            Links fleetLinks,
            AnswerFetcher fetcher,
            long seed) {
        this.settings = settings;
        self = localNode.name();
        storableClasses = new StorableClasses(settings.maxAgeMs(), localNode.classes(), localNode.decisionSettings());
        clock = localNode.clock();
        incarnation = localNode.incarnation();
        this.store = store;
        this.fetcher = fetcher;
        margins = new Margins(settings.margins());
        zonePhase = new ZonePhase(
                localNode.zone(),
                settings.schedule(),
                margins,
                settings.margins().maxMs(),
                settings.phase());
        replicaStore =
                new CacheReplicaStore(store, incarnation, settings.content().maxWallClockSkewMs());
        replication = new ResultReplication(
                ReplicationSettings.DEFAULT, replicaStore, replicaStore::ageMs, this::receiveDemand);
        replicationLinks = new ReplicationLinks(fleetLinks, replication);
        dataChanges = new DataChanges(incarnation, settings.content().maxWallClockSkewMs() * 1000);
        prefetcher = new Prefetcher(
                self,
                new PrefetchBudget(
                        settings.content().memoryBytes() / ReplicaOwners.REPLICA_COUNT,
                        settings.prefetchWorkUsPerS(),
                        PLANNED_WORK_FRACTION,
                        PREFETCH_SAFETY_MS),
                REPLAN_INTERVAL_US,
                new DemandHistory(NEWEST_DAY_WEIGHT),
                new Candidates(MAX_CANDIDATES, MAX_CANDIDATE_BYTES));
        responses = new OutageResponses(
                new OutageRetryAfter(
                        MIN_RETRY_AFTER_MS,
                        Math.max(1, localNode.decisionSettings().limits().maxRetryAfterUs() / 1000),
                        settings.phase().returningUs() / 1000),
                seed);
        liveGateways.add(self);
        lastContactUs = clock.now();
    }

    private static long wallClockMs() {
        return System.currentTimeMillis();
    }

    /** Updates the live gateways of the zone; the set may contain this gateway. */
    public void updateNeighbours(Set<String> names) {
        Set<String> previousGateways = new TreeSet<>(liveGateways);
        liveGateways.clear();
        liveGateways.addAll(names);
        liveGateways.add(self);
        previousGateways.stream().filter(name -> !liveGateways.contains(name)).forEach(replication::forget);
        if (!previousGateways.equals(liveGateways)) {
            for (ResultId id : store.ids()) { // the answers of a gateway that is gone have a new owner
                ReplicaOwners.replicationTargetsAfterChange(id, previousGateways, liveGateways, self)
                        .forEach(to -> replication.offer(to, id));
            }
        }
    }

    /** Records that the link to a peer came up. */
    public void peerUp(String peer) {
        replication.connected(peer);
    }

    /** Records that the link to a peer ended. */
    public void peerDown(String peer) {
        replication.disconnected(peer);
    }

    /**
     * Handles a replication message of a neighbour.
     *
     * @throws FaultyMessageException if the message is invalid
     */
    public void received(String from, byte[] payload) throws FaultyMessageException {
        replicaStore.setTime(clock.now(), wallClockMs());
        replicationLinks.received(from, payload, clock.now());
    }

    private void receiveDemand(String from, ReplicationMessage.Demand report) {
        prefetcher.receiveDemand(from, report.candidate(), report.expectedRequests());
    }

    /** Handles an event of the event loop: a query received, or an attempt that ended. */
    public void handle(LoopEvent event) {
        if (event instanceof LoopEvent.QueryReceived query
                && storableClasses.isRepeatable(query.classIndex())
                && storableClasses.maxAgeMs(query.classIndex()) > 0) {
            prefetcher.recordRequest(
                    wallClockMs(),
                    storableClasses
                            .keyOf(query.classIndex(), query.query())
                            .id()
                            .word0());
        } else if (event instanceof LoopEvent.AttemptEnded attempt && attempt.rows() != null) {
            if (storableClasses.isRepeatable(attempt.classIndex())) {
                recordAnswer(
                        attempt.classIndex(),
                        storableClasses.keyOf(attempt.classIndex(), attempt.query()),
                        attempt.query().dataGroup(),
                        attempt.rows(),
                        attempt.nowUs(),
                        attempt.latencyUs());
            } else {
                dataChanged(attempt.query().dataGroup(), attempt.nowUs());
            }
        }
    }

    /**
     * Records that a load changed a data group.
     *
     * @param group the data group; negative if it is not known
     * @param loadEndUs end of the load in microseconds of monotonic time
     */
    public void dataChanged(long group, long loadEndUs) {
        long wallMs = wallClockMs() - (clock.now() - loadEndUs) / 1000;
        if (group < 0) {
            dataChanges.recordLoadOfUnknownGroups(loadEndUs, wallMs);
        } else {
            dataChanges.recordLoad(group, loadEndUs, wallMs);
        }
    }

    private void recordAnswer(
            int classIndex, CacheKey key, long group, ResultSet rows, long endedAtUs, long latencyUs) {
        if (storableClasses.maxAgeMs(classIndex) > 0 && key.isStorable()) {
            Candidate candidate =
                    storableClasses.toCandidate(classIndex, key, group, rows, latencyUs, store.requestedAtMs(key.id()));
            prefetcher.recordAnswer(candidate);
            storeAnswer(candidate, rows, endedAtUs - latencyUs);
        }
    }

    /**
     * Stores an answer and offers it to the other owner; returns whether it was stored.
     *
     * @param fetchedAtUs when an engine was asked, in microseconds of monotonic time
     */
    private boolean storeAnswer(Candidate candidate, ResultSet rows, long fetchedAtUs) {
        long nowUs = clock.now();
        long wallMs = wallClockMs();
        long fetchedAtMs = wallMs - (nowUs - fetchedAtUs) / 1000;
        TimeRange outage = expectedOutage(nowUs, wallMs).orElse(new TimeRange(wallMs, wallMs + HOUR_MS));
        CachedResult answer = new CachedResult(
                new ResultMetadata(
                        candidate.key(),
                        candidate.groups(),
                        fetchedAtMs,
                        fetchedAtUs,
                        incarnation,
                        candidate.maxAgeMs(),
                        prefetcher.value(candidate, fetchedAtMs, outage)),
                rows);
        if (!store.put(answer, nowUs, wallMs)) {
            return false;
        }
        ReplicaOwners.replicationTarget(candidate.key().id(), liveGateways, self)
                .ifPresent(to -> replication.offer(to, candidate.key().id()));
        return true;
    }

    /** Returns the expected outage, margins included. */
    private Optional<TimeRange> expectedOutage(long nowUs, long wallMs) {
        return zonePhase
                .expectedLossMs()
                .map(lossMs -> new TimeRange(
                        lossMs, Math.max(lossMs + 1, zonePhase.expectedReturnMs(nowUs, wallMs, MIN_REMAINING_MS))));
    }

    /**
     * Updates the phase, starts fetches that are due, and sends replication messages.
     *
     * @param evidence what is known of the zone's link
     * @param outsideContactUs last receipt of a message from outside the zone, in microseconds of monotonic time
     * @param busy whether live traffic or a retry storm needs the capacity that prefetching would use
     */
    public void tick(Evidence evidence, long outsideContactUs, boolean busy) {
        long nowUs = clock.now();
        long wallMs = wallClockMs();
        lastContactUs = Math.max(lastContactUs, outsideContactUs);
        zonePhase
                .update(nowUs, wallMs, evidence)
                .ifPresent(transition -> Logger.info(
                        "fleet: hall moves: {} -> {} ({}), {}",
                        transition.from(),
                        transition.to(),
                        transition.reason(),
                        responses));
        zonePhase.drainOutcomes().forEach(margins::learn);
        replicaStore.setTime(nowUs, wallMs);
        Optional<TimeRange> outage = expectedOutage(nowUs, wallMs);
        FetchLimit limit = busy
                ? FetchLimit.NONE
                : new FetchLimit(
                        MAX_CONCURRENT_FETCHES, settings.prefetchWorkUsPerS() / Math.max(1, liveGateways.size()));
        for (Fetch fetch : prefetcher.startDueFetches(
                nowUs,
                wallMs,
                new Prefetcher.ZoneState(zonePhase.phase(), outage, liveGateways),
                limit,
                store::requestedAtMs)) {
            startFetch(fetch);
        }
        if (outage.isPresent()
                && zonePhase.phase() != Phase.ISOLATED
                && nowUs - demandReportedAtUs >= DEMAND_REPORT_INTERVAL_US) {
            demandReportedAtUs = nowUs;
            List<OutgoingMessage> messages = new ArrayList<>();
            prefetcher
                    .demandReports(outage.get(), liveGateways)
                    .forEach(report -> messages.add(new OutgoingMessage(
                            report.recipient(), new ReplicationMessage.Demand(report.candidate(), report.demand()))));
            replicationLinks.send(messages);
        }
        replicationLinks.tick(nowUs);
        store.tick(nowUs, wallMs);
        store.faults()
                .forEach(fault -> Logger.warn(
                        "fleet: answer store disk fault {}, file '{}': {}",
                        fault.kind(),
                        fault.file(),
                        fault.detail()));
    }

    private void startFetch(Fetch fetch) {
        long startedAtUs = clock.now();
        fetcher.fetch(fetch.candidate().key(), fetch.candidate().workUs(), rows -> {
            boolean stored = rows.isPresent() && storeAnswer(fetch.candidate(), rows.get(), startedAtUs);
            prefetcher.fetchEnded(fetch.candidate().key().id(), stored);
        });
    }

    /** Whether the zone was isolated at the last {@link #tick}. */
    public boolean isIsolated() {
        return zonePhase.phase() == Phase.ISOLATED;
    }

    /** Returns the phase of the zone. */
    public Phase phase() {
        return zonePhase.phase();
    }

    /**
     * Looks up the response to a query while the zone is isolated.
     *
     * @param classIndex index of the query's class
     * @param query the query
     * @param enginesInZone whether there are engines within the zone
     * @param callback receives the response; empty if the query is processed as usual
     */
    public void lookUp(int classIndex, Query query, boolean enginesInZone, Consumer<Optional<Answer>> callback) {
        long nowUs = clock.now();
        long wallMs = wallClockMs();
        CacheKey key = storableClasses.keyOf(classIndex, query);
        Optional<CachedResult> found =
                storableClasses.isRepeatable(classIndex) && storableClasses.maxAgeMs(classIndex) > 0
                        ? store.find(key)
                        : Optional.empty();
        ServeContext context = new ServeContext(
                isIsolated(),
                nowUs,
                wallMs,
                incarnation,
                store.isWallClockTrusted(wallMs),
                settings.content().maxWallClockSkewMs(),
                lastContactUs,
                settings.content().maxSilenceMs());
        Decision decision = ServeRule.decide(
                key,
                storableClasses.isRepeatable(classIndex),
                storableClasses.maxAgeMs(classIndex),
                found,
                context,
                dataChanges);
        callback.accept(responses.respond(
                decision,
                isIsolated(),
                enginesInZone && storableClasses.isRepeatable(classIndex),
                wallMs,
                zonePhase.expectedReturnMs(nowUs, wallMs, MIN_REMAINING_MS)));
    }
}
