package sandpaddle.fleet.node.outage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.tinylog.Logger;
import sandpaddle.fleet.OutageSettings;
import sandpaddle.fleet.content.AnswerMetadata;
import sandpaddle.fleet.content.Candidate;
import sandpaddle.fleet.content.ContentId;
import sandpaddle.fleet.content.ContentKey;
import sandpaddle.fleet.content.ContentStore;
import sandpaddle.fleet.content.StoredAnswer;
import sandpaddle.fleet.content.replication.AnswerReplication;
import sandpaddle.fleet.content.replication.ContentReplicaStore;
import sandpaddle.fleet.content.replication.OutgoingMessage;
import sandpaddle.fleet.content.replication.ReplicationLinks;
import sandpaddle.fleet.content.replication.ReplicationMessage;
import sandpaddle.fleet.content.replication.ReplicationSettings;
import sandpaddle.fleet.content.serve.DataChanges;
import sandpaddle.fleet.content.serve.Decision;
import sandpaddle.fleet.content.serve.RefusalPause;
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
import sandpaddle.fleet.outage.plan.Allowance;
import sandpaddle.fleet.outage.plan.AskHistory;
import sandpaddle.fleet.outage.plan.Budget;
import sandpaddle.fleet.outage.plan.Catalogue;
import sandpaddle.fleet.outage.plan.Fetch;
import sandpaddle.fleet.outage.plan.Prefetcher;
import sandpaddle.fleet.outage.plan.ReplicaOwners;
import sandpaddle.fleet.outage.schedule.TimeRange;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.query.Answer;
import sandpaddle.query.Query;
import sandpaddle.query.ResultSet;

/**
 * One gateway's part in its zone's outages: stores what was answered, fetches what the plan names, replicates it to the
 * neighbour that owns it too, and answers from it while the zone is cut off. All calls come from the thread {@code
 * fleet-content}, which may wait for the disk.
 */
public final class OutageService {
    private static final double NEWEST = 0.3; // of a day in the history of asks
    private static final long REPLAN_US = 30_000_000;
    private static final long WANTS_US = 60_000_000; // between two tellings of what is expected to be asked
    private static final long HOUR_MS = 3_600_000;
    private static final long SAFETY_MS = 5_000;
    private static final int CATALOGUE = 20_000;
    private static final long CATALOGUE_BYTES = 16L << 20;
    private static final int FETCHES = 2; // running at one time
    private static final long MIN_RETURN_MS = 2_000;

    private final OutageSettings settings;
    private final String self;
    private final StorableClasses storable;
    private final MonotonicClock clock;
    private final long process;
    private final AnswerFetcher fetching;
    private final ZonePhase phase;
    private final Margins margins;
    private final ContentStore store;
    private final ContentReplicaStore shelf;
    private final ReplicationLinks links;
    private final AnswerReplication copies;
    private final Prefetcher prefetch;
    private final DataChanges changes;
    private final OutageResponses answers;
    private final Set<String> live = new TreeSet<>();
    private long wantsAt = Long.MIN_VALUE / 2;
    private long heardAt;

    /** {@code over}: carries copies to neighbours. */
    public OutageService(
            OutageSettings settings,
            LocalNode itself,
            ContentStore store,
            Links over,
            AnswerFetcher fetching,
            long seed) {
        this.settings = settings;
        self = itself.name();
        storable = new StorableClasses(settings.maxAgeMs(), itself.classes(), itself.decisionSettings());
        clock = itself.clock();
        process = itself.incarnation();
        this.store = store;
        this.fetching = fetching;
        margins = new Margins(settings.margins());
        phase = new ZonePhase(
                itself.zone(), settings.schedule(), margins, settings.margins().maxMs(), settings.phase());
        shelf = new ContentReplicaStore(store, process, settings.content().maxWallClockSkewMs());
        copies = new AnswerReplication(ReplicationSettings.DEFAULT, shelf, shelf::age, this::wanted);
        links = new ReplicationLinks(over, copies);
        changes = new DataChanges(process, settings.content().maxWallClockSkewMs() * 1000);
        prefetch = new Prefetcher(
                self,
                new Budget(
                        settings.content().memoryBytes() / ReplicaOwners.COPIES,
                        settings.prefetchWorkUsPerS(),
                        0.9,
                        SAFETY_MS),
                REPLAN_US,
                new AskHistory(NEWEST),
                new Catalogue(CATALOGUE, CATALOGUE_BYTES));
        answers = new OutageResponses(
                new RefusalPause(
                        1,
                        Math.max(1, itself.decisionSettings().limits().maxRetryAfterUs() / 1000),
                        settings.phase().returningUs() / 1000),
                seed);
        live.add(self);
        heardAt = clock.now();
    }

    private static long wall() {
        return System.currentTimeMillis();
    }

    /** The zone's gateways that live, this one among them. */
    public void neighbours(Set<String> names) {
        Set<String> before = new TreeSet<>(live);
        live.clear();
        live.addAll(names);
        live.add(self);
        before.stream().filter(n -> !live.contains(n)).forEach(copies::forget);
        if (!before.equals(live)) {
            for (ContentId id : store.ids()) { // what a dead one held has a new holder
                ReplicaOwners.afterChange(id, before, live, self).forEach(to -> copies.offer(to, id));
            }
        }
    }

    public void up(String peer) {
        copies.up(peer);
    }

    public void down(String peer) {
        copies.down(peer);
    }

    public void received(String from, byte[] payload) throws FaultyMessageException {
        shelf.at(clock.now(), wall());
        links.received(from, payload, clock.now());
    }

    private void wanted(String from, ReplicationMessage.Want want) {
        prefetch.wanted(from, want.what(), want.asks());
    }

    /** What the loop heard. */
    public void heard(LoopEvent event) {
        if (event instanceof LoopEvent.QueryReceived query
                && storable.repeats(query.classIndex())
                && storable.maxAgeMs(query.classIndex()) > 0) {
            prefetch.asked(
                    wall(), storable.key(query.classIndex(), query.query()).id().a());
        } else if (event instanceof LoopEvent.AttemptEnded attempt && attempt.rows() != null) {
            if (storable.repeats(attempt.classIndex())) {
                take(
                        attempt.classIndex(),
                        storable.key(attempt.classIndex(), attempt.query()),
                        attempt.query().dataGroup(),
                        attempt.rows(),
                        attempt.nowUs(),
                        attempt.latencyUs());
            } else {
                changed(attempt.query().dataGroup(), attempt.nowUs());
            }
        }
    }

    /** Another gateway's load has changed a data group; below 0: any. */
    public void changed(long group, long loadUs) {
        long wallMs = wall() - (clock.now() - loadUs) / 1000;
        if (group < 0) {
            changes.changedUnknown(loadUs, wallMs);
        } else {
            changes.changed(group, loadUs, wallMs);
        }
    }

    private void take(int classIndex, ContentKey key, long group, ResultSet rows, long loadUs, long latencyUs) {
        if (storable.maxAgeMs(classIndex) > 0 && key.isStorable()) {
            Candidate candidate = storable.candidate(classIndex, key, group, rows, latencyUs, store.askedAt(key.id()));
            prefetch.served(candidate);
            put(candidate, rows, loadUs - latencyUs);
        }
    }

    /** {@code askedAt}: when (us, monotonic) an engine was asked. */
    private boolean put(Candidate candidate, ResultSet rows, long askedAt) {
        long nowUs = clock.now();
        long wallMs = wall();
        long askedWall = wallMs - (nowUs - askedAt) / 1000;
        TimeRange ahead = ahead(nowUs, wallMs).orElse(new TimeRange(wallMs, wallMs + HOUR_MS));
        StoredAnswer answer = new StoredAnswer(
                new AnswerMetadata(
                        candidate.key(),
                        candidate.groups(),
                        askedWall,
                        askedAt,
                        process,
                        candidate.maxAgeMs(),
                        prefetch.worth(candidate, askedWall, ahead)),
                rows);
        if (!store.put(answer, nowUs, wallMs)) {
            return false;
        }
        ReplicaOwners.copyTo(candidate.key().id(), live, self)
                .ifPresent(to -> copies.offer(to, candidate.key().id()));
        return true;
    }

    /** The outage that is expected, with the margins that were learnt. */
    private Optional<TimeRange> ahead(long nowUs, long wallMs) {
        return phase.lossAt()
                .map(at -> new TimeRange(at, Math.max(at + 1, phase.returnAt(nowUs, wallMs, MIN_RETURN_MS))));
    }

    /** Time passes; {@code busy}: live traffic or a storm needs what filling would take. */
    public void tick(Evidence evidence, long heardOutsideAt, boolean busy) {
        long nowUs = clock.now();
        long wallMs = wall();
        heardAt = Math.max(heardAt, heardOutsideAt);
        phase.turn(nowUs, wallMs, evidence)
                .ifPresent(
                        m -> Logger.info("fleet: hall moves: {} -> {} ({}), {}", m.from(), m.to(), m.why(), answers));
        phase.endings().forEach(margins::learn);
        shelf.at(nowUs, wallMs);
        Optional<TimeRange> ahead = ahead(nowUs, wallMs);
        Allowance allowance = busy
                ? Allowance.NONE
                : new Allowance(FETCHES, settings.prefetchWorkUsPerS() / Math.max(1, live.size()));
        for (Fetch fetch : prefetch.turn(
                nowUs, wallMs, new Prefetcher.View(phase.phase(), ahead, live), allowance, store::askedAt)) {
            fetch(fetch);
        }
        if (ahead.isPresent() && phase.phase() != Phase.ISOLATED && nowUs - wantsAt >= WANTS_US) {
            wantsAt = nowUs;
            List<OutgoingMessage> told = new ArrayList<>();
            prefetch.wants(ahead.get(), live)
                    .forEach(w ->
                            told.add(new OutgoingMessage(w.to(), new ReplicationMessage.Want(w.what(), w.asks()))));
            links.send(told);
        }
        links.tick(nowUs);
        store.tick(nowUs, wallMs);
        store.faults().forEach(f -> Logger.warn("fleet: stored answers, disk {}: {} {}", f.kind(), f.file(), f.what()));
    }

    private void fetch(Fetch fetch) {
        long loadUs = clock.now();
        fetching.fetch(fetch.what().key(), fetch.what().workUs(), rows -> {
            boolean stored = rows.isPresent() && put(fetch.what(), rows.get(), loadUs);
            prefetch.ended(fetch.what().key().id(), stored);
        });
    }

    /** Whether the zone is cut off, as of the last {@link #tick}. */
    public boolean isIsolated() {
        return phase.phase() == Phase.ISOLATED;
    }

    public Phase phase() {
        return phase.phase();
    }

    /** The answer to a query while the zone is cut off; empty where it goes its usual way after all. */
    public void lookUp(int classIndex, Query query, boolean enginesInside, Consumer<Optional<Answer>> answer) {
        long nowUs = clock.now();
        long wallMs = wall();
        ContentKey key = storable.key(classIndex, query);
        Optional<StoredAnswer> found =
                storable.repeats(classIndex) && storable.maxAgeMs(classIndex) > 0 ? store.find(key) : Optional.empty();
        ServeContext s = new ServeContext(
                isIsolated(),
                nowUs,
                wallMs,
                process,
                store.trusts(wallMs),
                settings.content().maxWallClockSkewMs(),
                heardAt,
                settings.content().maxSilenceMs());
        Decision decision =
                ServeRule.decide(key, storable.repeats(classIndex), storable.maxAgeMs(classIndex), found, s, changes);
        answer.accept(answers.answer(
                decision,
                isIsolated(),
                enginesInside && storable.repeats(classIndex),
                wallMs,
                phase.returnAt(nowUs, wallMs, MIN_RETURN_MS)));
    }
}
