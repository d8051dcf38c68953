package sandpaddle.fleet.verdict;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import sandpaddle.fleet.verdict.evidence.Batch;
import sandpaddle.fleet.verdict.evidence.Evidence;
import sandpaddle.fleet.verdict.evidence.EvidenceBook;
import sandpaddle.fleet.verdict.evidence.EvidenceDissemination;
import sandpaddle.fleet.verdict.judge.Judge;
import sandpaddle.fleet.verdict.watch.ListedEngine;
import sandpaddle.fleet.verdict.watch.Watch;

/**
 * Verdicts for a whole fleet without a leader: each gateway tells what it sees, hubs spread it, each judges from what
 * it knows. The pieces are a book of evidence that merges in any order (a replicated data type), a spread in two hops
 * over the voters, and rules by which halls outvote a gateway and no gateway condemns alone. Staleness: connected, two
 * flushes, two links and one evaluation; cut off, the lease. Bounds: those of the book, the watch and the spread.
 *
 * <p>Calls come from one thread, with a time (us, monotonic) that never goes back.
 */
public final class FleetVerdicts {
    private final String self;
    private final VerdictSettings settings;
    private final EvidenceBook book;
    private final EvidenceDissemination spread;
    private final Judge judge;
    private final Watch watch;
    private Verdicts verdicts = Verdicts.NONE;

    /**
     * The verdicts of one gateway.
     *
     * @param life greater than that of any earlier start of this gateway
     * @param drift by how much two gateways' monotonic clocks differ at most, as a part
     */
    public FleetVerdicts(String self, String hall, long life, VerdictSettings settings, double drift, long now) {
        this.self = self;
        this.settings = settings;
        book = new EvidenceBook(settings);
        spread = new EvidenceDissemination(self, settings, drift, book);
        judge = new Judge(self, settings, book);
        watch = new Watch(self, hall, life, settings, now);
        roster(Map.of(self, hall), Set.of());
    }

    /** The agreed roster, each gateway with its hall, and who votes. */
    public void roster(Map<String, String> hallOf, Set<String> voters) {
        book.members(hallOf.keySet());
        spread.roles(voters, hallOf);
        judge.roster(hallOf);
    }

    /** The whole engine list of now, of which the first {@code maxEngines} count. */
    public void engines(long now, Collection<ListedEngine> whole) {
        List<ListedEngine> lines = whole.stream().limit(settings.maxEngines()).toList();
        watch.engines(now, lines);
        Map<String, Long> starts = new HashMap<>();
        lines.forEach(line -> starts.put(line.name(), line.startedUs()));
        judge.engines(starts);
    }

    /** What each tenant may use in the whole fleet. */
    public void shares(Map<String, Double> shareOf) {
        judge.shares(shareOf);
    }

    /** Where outcomes, reports, loads and use are told. */
    public Watch watch() {
        return watch;
    }

    /** Says what is new here, drops what is over, judges; to be called every {@code evidenceUs}. */
    public Verdicts tick(long now) {
        book.sweep(now);
        for (Evidence e : watch.tick(now, judge.accused(now))) {
            book.put(e, self, now);
        }
        verdicts = judge.evaluate(now);
        return verdicts;
    }

    /** The verdicts that count for the decision module. */
    public List<EngineVerdict> effect(long now) {
        return VerdictEffect.of(verdicts, watch, self, now);
    }

    /** When the last load on a data group ended as far as known, never earlier than it did. */
    public long changedUs(String group, long otherwise) {
        return book.changedUs(group, otherwise);
    }

    /** A link is up; {@code openedAt}: a time before which the peer cannot have sent anything on it. */
    public void up(String peer, long incarnation, long openedAt) {
        spread.up(peer, incarnation, openedAt);
    }

    /** What to send to a peer now; to be asked every {@code evidenceUs}, and {@link #sent} once it is queued. */
    public Optional<Batch> next(long now, String peer) {
        return spread.next(now, peer);
    }

    public void sent(String peer, Batch batch) {
        spread.sent(peer, batch);
    }

    /** Merges a peer's batch; the number of pieces that were new. */
    public int received(long now, String peer, Batch batch) {
        return spread.received(now, peer, batch);
    }

    public EvidenceBook book() {
        return book;
    }
}
