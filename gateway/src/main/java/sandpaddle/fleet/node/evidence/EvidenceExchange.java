package sandpaddle.fleet.node.evidence;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.tinylog.Logger;
import sandpaddle.decision.event.EngineCondition;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.fleet.link.Links;
import sandpaddle.fleet.link.MessageKind;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.node.loop.LoopEvent;
import sandpaddle.fleet.verdict.FleetEngineVerdict;
import sandpaddle.fleet.verdict.FleetVerdicts;
import sandpaddle.fleet.verdict.VerdictChangeLog;
import sandpaddle.fleet.verdict.VerdictSettings;
import sandpaddle.fleet.verdict.VerdictSnapshot;
import sandpaddle.fleet.verdict.ZoneLink;
import sandpaddle.fleet.verdict.evidence.Topic;
import sandpaddle.fleet.verdict.watch.ListedEngine;
import sandpaddle.fleet.verdict.wire.EvidenceCodec;
import sandpaddle.fleet.view.FleetView;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;

/**
 * The verdicts of one gateway on the fleet's thread: takes in the events of the event loop, exchanges evidence with
 * the peers, and provides the verdicts for the decision module. Memory: the listed engines and the open links.
 */
public final class EvidenceExchange {
    private record OpenLink(long incarnation, long openedUs) {}

    private static final long MICROS_PER_MS = 1000;
    private static final double SMOOTHING_WEIGHT =
            0.05; // of one answer in the typical latency of a class: about twenty answers count

    private final FleetVerdicts verdicts;
    private final Links links;
    private final List<String> zones;
    private final String zone;
    private final Map<String, ListedEngine> listedEngines = new HashMap<>();
    private final double[] typicalLatencyUs;
    private VerdictSnapshot current = VerdictSnapshot.NONE;
    private final Map<String, OpenLink> openLinks = new TreeMap<>();

    /**
     * Creates the exchange; {@code zones}: zone names by number; {@code incarnation}: greater than that of any
     * earlier process.
     */
    public EvidenceExchange(
            Member self,
            long incarnation,
            VerdictSettings settings,
            double drift,
            Links links,
            List<String> zones,
            int classes,
            long nowUs) {
        this.links = links;
        this.zones = zones;
        zone = self.zone();
        typicalLatencyUs = new double[classes];
        verdicts = new FleetVerdicts(self.name(), self.zone(), incarnation, settings, drift, nowUs);
    }

    /** Sets the agreed members with their zones, and the voters. Open links to new members count from now on. */
    public void updateRoster(Map<String, String> zoneOf, Set<String> voters) {
        verdicts.updateRoster(zoneOf, voters);
        openLinks.forEach((peer, up) -> verdicts.linkUp(peer, up.incarnation, up.openedUs));
    }

    /** A link came up. The peer cannot have sent anything on it before {@code openedAt}. */
    public void linkUp(String peer, long incarnation, long openedAt) {
        openLinks.put(peer, new OpenLink(incarnation, openedAt));
        verdicts.linkUp(peer, incarnation, openedAt);
    }

    /** A link ended. */
    public void linkDown(String peer) {
        openLinks.remove(peer);
    }

    /** Processes an event of the event loop. */
    public void eventReceived(LoopEvent event) {
        if (event instanceof LoopEvent.AttemptEnded attempt) {
            double typicalUs = typicalLatencyUs[attempt.classIndex()];
            verdicts.observer()
                    .attemptEnded(attempt.nowUs(), attempt.engine(), attempt.outcome(), attempt.latencyUs(), (long)
                            typicalUs);
            if (attempt.outcome() == sandpaddle.fleet.verdict.watch.AttemptOutcome.ANSWERED) {
                typicalLatencyUs[attempt.classIndex()] +=
                        (typicalUs == 0 ? 1 : SMOOTHING_WEIGHT) * (attempt.latencyUs() - typicalUs);
            }
        } else if (event instanceof LoopEvent.HealthCheckEnded healthCheck) {
            if (healthCheck.answered()) {
                verdicts.observer().answerReceived(healthCheck.nowUs(), healthCheck.engine());
            } else {
                verdicts.observer().healthCheckUnanswered(healthCheck.nowUs(), healthCheck.engine());
            }
        } else if (event instanceof LoopEvent.EngineListChanged change) {
            listedEngines(change);
        }
    }

    private void listedEngines(LoopEvent.EngineListChanged change) {
        if (change.list().kind() != EngineListKind.CHANGES) {
            listedEngines.clear();
        }
        for (EngineEntry entry : change.list().entries()) {
            if (entry.status() == EngineStatus.REMOVED) {
                listedEngines.remove(entry.id());
            } else {
                String zoneName = entry.zone() >= 0 && entry.zone() < zones.size() ? zones.get(entry.zone()) : "";
                listedEngines.put(
                        entry.id(),
                        new ListedEngine(
                                entry.id(), zoneName, entry.startedUs(), entry.status() == EngineStatus.DRAINING));
            }
        }
        verdicts.updateEngines(change.nowUs(), listedEngines.values());
    }

    /** A load of a data group completed here. */
    public void loadCompleted(long nowUs, String group) {
        verdicts.observer().loadCompleted(nowUs, group);
    }

    /** Merges a batch of a peer. */
    public void batchReceived(long nowUs, String from, byte[] payload) throws FaultyMessageException {
        verdicts.batchReceived(nowUs, from, EvidenceCodec.decode(payload));
    }

    /** Evaluates the verdicts, logs their changes and sends evidence. Call it every {@code evidenceIntervalUs}. */
    public void tick(long nowUs) {
        VerdictSnapshot next = verdicts.tick(nowUs);
        VerdictChangeLog.describe(current, next).forEach(line -> Logger.info("fleet: {}", line));
        current = next;
        for (String peer : openLinks.keySet()) {
            verdicts.nextBatch(nowUs, peer).ifPresent(batch -> {
                if (links.send(peer, MessageKind.EVIDENCE, EvidenceCodec.encode(batch))) {
                    verdicts.batchSent(peer, batch);
                }
            });
        }
    }

    /**
     * The verdicts for the decision module. A gateway that probes a condemned engine omits that verdict and decides
     * by its own outcomes.
     */
    public List<FleetView.Verdict> moduleVerdicts(long nowUs) {
        List<FleetView.Verdict> all = new ArrayList<>();
        for (FleetEngineVerdict verdict : verdicts.effectiveVerdicts(nowUs)) {
            ListedEngine listed = listedEngines.get(verdict.engine());
            boolean isOutdated = listed != null && verdict.engineStartUs() < listed.startedUs();
            if (!isOutdated && (!verdict.kind().condemns() || !verdict.isProber())) {
                long since = verdict.kind() == FleetEngineVerdict.Kind.WARMING_UP && verdict.engineStartUs() > 0
                        ? nowUs + verdict.engineStartUs() - System.currentTimeMillis() * MICROS_PER_MS
                        : verdict.sinceUs(); // its start
                all.add(new FleetView.Verdict(verdict.engine(), conditionOf(verdict.kind()), since, verdict.untilUs()));
            }
        }
        return all;
    }

    private static EngineCondition conditionOf(FleetEngineVerdict.Kind kind) {
        return switch (kind) {
            case FAILING -> EngineCondition.FAILING;
            case UNRESPONSIVE, LINK_DOWN -> EngineCondition.UNRESPONSIVE;
            case SLOW -> EngineCondition.SLOW;
            case WARMING_UP -> EngineCondition.WARMING_UP;
            case DRAINING -> EngineCondition.DRAINING;
        };
    }

    /** Whether this gateway's zone reaches the engines outside of it. */
    public ZoneLink ownZoneLink() {
        return current.zones().getOrDefault(zone, new ZoneLink(zone, ZoneLink.State.UNKNOWN, 0, 0));
    }

    /** The verdicts of the last tick. */
    public VerdictSnapshot verdicts() {
        return current;
    }

    /** Passes each data group with a known load, and when its last load ended. */
    public void forEachLoadedGroup(long nowUs, BiConsumer<Long, Long> consumer) {
        verdicts.evidenceStore().forEach(Topic.DATA_LOAD, nowUs, e -> {
            if (e.subject().name().matches("-?\\d{1,18}")) {
                consumer.accept(
                        Long.parseLong(e.subject().name()),
                        verdicts.lastLoadUs(e.subject().name(), e.observedAtUs()));
            }
        });
    }
}
