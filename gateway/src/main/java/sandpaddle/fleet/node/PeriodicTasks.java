package sandpaddle.fleet.node;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeSet;
import sandpaddle.decide.Gateway;
import sandpaddle.fleet.limit.hold.SavedFloor;
import sandpaddle.fleet.link.Kind;
import sandpaddle.fleet.node.loop.LoopEvent;
import sandpaddle.fleet.node.wire.HeartbeatMessage;
import sandpaddle.fleet.view.FleetView;

/** What is done again and again on the fleet's thread: beats, evidence, and the leader's work. */
final class PeriodicTasks {
    private static final long NEWS_EVERY_US = 1_000_000;

    private final NodeComponents parts;
    private final FleetTopology course;
    private final MessageDispatcher reception;
    private final Queue<LoopEvent> heard;
    private final TaskThread thread;
    private final Gateway.Settings site;
    private final Set<String> engines = new TreeSet<>();
    private long newsAt = Long.MIN_VALUE / 2;

    PeriodicTasks(NodeComponents parts, FleetTopology course, MessageDispatcher reception, Queue<LoopEvent> heard,
            TaskThread thread,
            Gateway.Settings site) {
        this.parts = parts;
        this.course = course;
        this.reception = reception;
        this.heard = heard;
        this.thread = thread;
        this.site = site;
    }

    /** Takes what the loop has told since. */
    private void drain() {
        for (LoopEvent h = heard.poll(); h != null; h = heard.poll()) {
            parts.evidence().heard(h);
            if (parts.outage() != null) {
                parts.outage().heard(h);
            }
            if (h instanceof LoopEvent.TenantSeen m) {
                parts.rights().met(m.tenant());
            } else if (h instanceof LoopEvent.EngineListChanged l) {
                listed(l.list());
            } else if (h instanceof LoopEvent.AttemptEnded e && e.rows() != null && site.classes().get(e.cls())
                    .load()) {
                parts.evidence().loaded(e.now(), Long.toString(e.query().tableGroup()));
            }
        }
    }

    private void listed(Gateway.EngineList list) {
        if (list.kind() != Gateway.ListKind.CHANGES) {
            engines.clear();
        }
        for (Gateway.EngineEntry e : list.entries()) {
            if (e.status() == Gateway.Status.UP) {
                engines.add(e.id());
            } else {
                engines.remove(e.id());
            }
        }
        parts.rights().engines(engines);
        parts.pools().listed(parts.clock().now(), list);
    }

    /** The view of now; counts are read only after it. */
    void publish() {
        long now = parts.clock().now();
        parts.pools().tick(now);
        parts.rights().publish(parts.settings().verdictsOn() ? parts.evidence().forModule(now) : List.of(), Map.of(),
                parts.outage() == null ? FleetView.Isolation.NONE : parts.outage().isolation());
    }

    void beat() {
        drain();
        publish();
        long now = parts.clock().now();
        HeartbeatMessage message =
                new HeartbeatMessage(course.rulingVersion(), course.fileVersion(), parts.rights().beat(now));
        byte[] bytes = message.encode();
        for (String v : course.votersSeen()) {
            if (parts.isSelf(v)) {
                reception.beaten(now, v, message);
            } else {
                parts.links().send(v, Kind.BEAT, bytes);
                course.offerFile(v);
            }
        }
        parts.wake().run();
    }

    void spread() {
        drain();
        long now = parts.clock().now();
        parts.evidence().tick(now);
        if (parts.outage() != null) {
            parts.outage().link(parts.evidence().ownHall());
            parts.evidence().changedGroups(now, parts.outage()::changed);
        }
    }

    /** So that a restart while cut off has its floors. The thread that waits for the disk writes them. */
    void keepFloors() {
        List<SavedFloor> kept = parts.rights().holder().floors();
        parts.voter().execute(() -> {
            if (parts.floors().write(kept)) {
                thread.execute(() -> parts.rights().holder().floorsWritten(parts.clock().now(), kept));
            }
        });
    }

    private Set<String> isolated() {
        return parts.outage() != null && parts.outage().isolation().isolated() ? Set.of(parts.self().hall()) : Set.of();
    }

    void lead() {
        long now = parts.clock().now();
        long ruledBefore = parts.ruling().agreed().version();
        parts.leading().tick(now, parts.pools().state(now, parts.evidence().forModule(now), isolated()), grant -> {
            if (parts.isSelf(grant.member())) {
                reception.granted(grant);
            } else {
                parts.links().send(grant.member(), Kind.GRANT, HeartbeatMessage.encode(grant));
            }
        });
        if (parts.ruling().agreed().version() != ruledBefore || course.votersChanged()) {
            course.rewire();
            newsAt = Long.MIN_VALUE / 2;
        }
        if (now - newsAt >= NEWS_EVERY_US && parts.voter().status().voters().contains(parts.self().name())) {
            newsAt = now;
            course.tellNews();
        }
    }
}
