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
 * Exchanges evidence on engines with the other gateways: records the outcomes that the event loop reports, sends and
 * merges batches of evidence, and provides the resulting verdicts to the decision module.
 *
 * <p>Memory: one entry for each listed engine and each open link. Not thread-safe: owned by the fleet's thread. Times
 * are monotonic microseconds.
 */
public final class EvidenceExchange {
    private record OpenLink(long incarnation, long openedUs) {}

    /** Weight of the newest answer in the moving average of a class's latency: it spans about twenty answers. */
    private static final double SMOOTHING_WEIGHT = 0.05;

    private final FleetVerdicts verdicts;
    private final Links links;
    private final List<String> zones;
    private final String zone;
    private final Map<String, ListedEngine> listedEngines = new HashMap<>();
    private final double[] typicalLatencyUs;
    private VerdictSnapshot current = VerdictSnapshot.NONE;
    private final Map<String, OpenLink> openLinks = new TreeMap<>();

    /**
     * Creates the exchange of one gateway.
     *
     * @param self this gateway
     * @param incarnation greater than that of any earlier process of this gateway
     * @param settings settings of the verdicts
     * @param drift maximum relative difference between the monotonic clocks of two gateways
     * @param links links to the other gateways
     * @param zones zone names by zone number
     * @param classes number of request classes
     * @param nowUs current time
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

    /** Sets the agreed members with their zones, and the voters. Evidence is exchanged over all open links to them. */
    public void updateRoster(Map<String, String> zoneOf, Set<String> voters) {
        verdicts.updateRoster(zoneOf, voters);
        openLinks.forEach((peer, link) -> verdicts.linkUp(peer, link.incarnation, link.openedUs));
    }

    /**
     * Starts to exchange evidence on a new link.
     *
     * @param peer name of the gateway at the other end
     * @param incarnation incarnation of that gateway
     * @param openedUs time before which the peer cannot have sent anything on the link
     */
    public void linkUp(String peer, long incarnation, long openedUs) {
        openLinks.put(peer, new OpenLink(incarnation, openedUs));
        verdicts.linkUp(peer, incarnation, openedUs);
    }

    /** Stops sending evidence to a peer whose link closed. */
    public void linkDown(String peer) {
        openLinks.remove(peer);
    }

    /** Records an event of the event loop. */
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
                                entry.id(), zoneName, entry.listedStartUs(), entry.status() == EngineStatus.DRAINING));
            }
        }
        verdicts.updateEngines(change.nowUs(), listedEngines.values());
    }

    /** Records that a load of a data group completed at this gateway. */
    public void loadCompleted(long nowUs, String group) {
        verdicts.observer().loadCompleted(nowUs, group);
    }

    /**
     * Merges a batch that a peer sent.
     *
     * @throws FaultyMessageException if the payload is not a valid batch
     */
    public void batchReceived(long nowUs, String from, byte[] payload) throws FaultyMessageException {
        verdicts.batchReceived(nowUs, from, EvidenceCodec.decode(payload));
    }

    /**
     * Evaluates the verdicts, logs their changes and sends evidence to all linked peers. Has to be called every
     * {@code evidenceIntervalUs}.
     */
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
     * Returns the verdicts for the decision module. A prober of an ejected engine omits that verdict, so that the
     * decision module tries the engine according to its own outcomes.
     */
    public List<FleetView.Verdict> moduleVerdicts(long nowUs) {
        List<FleetView.Verdict> moduleVerdicts = new ArrayList<>();
        for (FleetEngineVerdict verdict : verdicts.effectiveVerdicts(nowUs)) {
            ListedEngine listed = listedEngines.get(verdict.engine());
            boolean isOutdated = listed != null && verdict.engineStartUs() < listed.startedUs();
            if (!isOutdated && (!verdict.kind().ejects() || !verdict.isProber())) {
                moduleVerdicts.add(new FleetView.Verdict(
                        verdict.engine(), conditionOf(verdict.kind()), verdict.sinceUs(), verdict.untilUs()));
            }
        }
        return moduleVerdicts;
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

    /** Returns whether this gateway's zone reaches the engines outside of it. */
    public ZoneLink ownZoneLink() {
        return current.zones().getOrDefault(zone, new ZoneLink(zone, ZoneLink.State.UNKNOWN, 0, 0));
    }

    /** Returns the verdicts of the last tick. */
    public VerdictSnapshot verdicts() {
        return current;
    }

    /** Passes the number of each data group with a known load, and the time of its last load, to a consumer. */
    public void forEachLoadedGroup(long nowUs, BiConsumer<Long, Long> consumer) {
        verdicts.evidenceStore().forEach(Topic.DATA_LOAD, nowUs, load -> {
            if (load.subject().name().matches("-?\\d{1,18}")) {
                consumer.accept(
                        Long.parseLong(load.subject().name()),
                        verdicts.lastLoadUs(load.subject().name(), load.observedAtUs()));
            }
        });
    }
}
