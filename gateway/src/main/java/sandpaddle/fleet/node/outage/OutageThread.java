package sandpaddle.fleet.node.outage;

import java.nio.file.Path;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.tinylog.Logger;
import sandpaddle.fleet.OutageSettings;
import sandpaddle.fleet.content.ResultCache;
import sandpaddle.fleet.content.disk.DiskSettings;
import sandpaddle.fleet.content.disk.DiskTier;
import sandpaddle.fleet.content.disk.FileSystemDirectory;
import sandpaddle.fleet.content.memory.MemoryTier;
import sandpaddle.fleet.link.Links;
import sandpaddle.fleet.node.LocalNode;
import sandpaddle.fleet.node.MonotonicClock;
import sandpaddle.fleet.node.TaskThread;
import sandpaddle.fleet.node.loop.LoopEvent;
import sandpaddle.fleet.outage.phase.Evidence;
import sandpaddle.fleet.verdict.ZoneLink;
import sandpaddle.fleet.view.FleetView;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.query.Answer;
import sandpaddle.query.Query;

/**
 * The zone's outages on a thread of their own ({@code fleet-content}), which waits for the disk so that nobody else
 * does. What it finds is published for the fleet's thread; what it is told is queued, bounded, and may be lost.
 */
public final class OutageThread implements AutoCloseable {
    private static final long TICK_US = 200_000;

    private final TaskThread thread = new TaskThread("fleet-content");
    private final OutageService service;
    private final MonotonicClock clock;
    private volatile FleetView.Isolation isolation = FleetView.Isolation.NONE;
    private volatile ZoneLink link;
    private volatile long heardOutsideAt;

    /** {@code directory}: of this gateway, null for none; {@code busy}: whether live traffic needs all there is. */
    public OutageThread(
            OutageSettings settings,
            LocalNode self,
            Path directory,
            Links over,
            AnswerFetcher fetching,
            BooleanSupplier busy,
            long seed) {
        clock = self.clock();
        heardOutsideAt = clock.now();
        OutageSettings.Content c = settings.content();
        Optional<DiskTier> disk = c.diskBytes() == 0 || directory == null
                ? Optional.empty()
                : Optional.of(DiskTier.open(
                        new FileSystemDirectory(directory.resolve("content")),
                        new DiskSettings(
                                c.diskBytes(),
                                c.segmentBytes(),
                                c.entries(),
                                DiskSettings.DEFAULT.maxFiles(),
                                DiskSettings.DEFAULT.retryUs()),
                        System.currentTimeMillis()));
        service = new OutageService(
                settings,
                self,
                new ResultCache(new MemoryTier(c.memoryBytes()), disk, c.flushUs()),
                over,
                (key, work, done) -> fetching.fetch(key, work, rows -> thread.execute(() -> done.accept(rows))),
                seed);
        thread.start();
        thread.scheduleEvery(TICK_US, () -> tick(busy.getAsBoolean()));
    }

    private void tick(boolean busy) {
        ZoneLink zoneLink = link;
        Evidence evidence = zoneLink == null || zoneLink.state() == ZoneLink.State.UNKNOWN
                ? Evidence.NONE
                : new Evidence(
                        zoneLink.state() == ZoneLink.State.CONNECTED
                                ? Evidence.Link.REACHABLE
                                : Evidence.Link.UNREACHABLE,
                        zoneLink.sinceUs());
        service.tick(evidence, heardOutsideAt, busy);
        if (service.isIsolated() != isolation.isIsolated()) {
            isolation = new FleetView.Isolation(service.isIsolated(), clock.now(), 0);
        }
    }

    /** What the fleet's thread knows of the zone's link now. */
    public void link(ZoneLink now) {
        link = now;
    }

    /** Something came from outside the zone. */
    public void heardOutside(long at) {
        heardOutsideAt = at;
    }

    public FleetView.Isolation isolation() {
        return isolation;
    }

    public void heard(LoopEvent event) {
        if (event instanceof LoopEvent.QueryReceived || event instanceof LoopEvent.AttemptEnded) {
            thread.execute(() -> service.heard(event));
        }
    }

    /** Another gateway's load has changed a data group. */
    public void changed(long group, long at) {
        thread.execute(() -> service.changed(group, at));
    }

    public void neighbours(Set<String> names) {
        thread.execute(() -> service.neighbours(names));
    }

    public void up(String peer) {
        thread.execute(() -> service.up(peer));
    }

    public void down(String peer) {
        thread.execute(() -> service.down(peer));
    }

    public void received(String from, byte[] payload) {
        thread.execute(() -> {
            try {
                service.received(from, payload);
            } catch (FaultyMessageException e) {
                Logger.warn("fleet: dropped a message of stored answers from {}: {}", from, e.getMessage());
            }
        });
    }

    /** {@code then} is told on this thread. */
    public void lookUp(int classIndex, Query query, boolean enginesInside, Consumer<Optional<Answer>> then) {
        thread.execute(() -> service.lookUp(classIndex, query, enginesInside, then));
    }

    @Override
    public void close() {
        thread.close();
    }
}
