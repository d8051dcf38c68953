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
 * Runs {@link OutageService} on its own thread ({@code fleet-content}), so that disk waits delay no other thread. Calls
 * are queued; the queue is bounded, and a call may be dropped. Results are published for the fleet's thread.
 */
public final class OutageThread implements AutoCloseable {
    private static final long TICK_US = 200_000;

    private final TaskThread thread = new TaskThread("fleet-content");
    private final OutageService service;
    private final MonotonicClock clock;
    private volatile FleetView.Isolation isolation = FleetView.Isolation.NONE;
    private volatile ZoneLink latestLink;
    private volatile long outsideContactUs;

    /**
     * Creates and starts the thread.
     *
     * @param settings settings of outages and stored answers
     * @param self identity and settings of this gateway
     * @param directory directory of this gateway; null to store in memory only
     * @param links links that carry replication messages to neighbours
     * @param fetcher fetches answers from engines
     * @param busy whether live traffic needs all capacity
     * @param seed seed of the jitter of Retry-After
     */
    public OutageThread(
            OutageSettings settings,
            LocalNode self,
            Path directory,
            Links links,
            AnswerFetcher fetcher,
            BooleanSupplier busy,
            long seed) {
        clock = self.clock();
        outsideContactUs = clock.now();
        OutageSettings.Content content = settings.content();
        Optional<DiskTier> disk = content.diskBytes() == 0 || directory == null
                ? Optional.empty()
                : Optional.of(DiskTier.open(
                        new FileSystemDirectory(directory.resolve("content")),
                        new DiskSettings(
                                content.diskBytes(),
                                content.segmentBytes(),
                                content.entries(),
                                DiskSettings.DEFAULT.maxFiles(),
                                DiskSettings.DEFAULT.retryUs()),
                        System.currentTimeMillis()));
        service = new OutageService(
                settings,
                self,
                new ResultCache(new MemoryTier(content.memoryBytes()), disk, content.flushUs()),
                links,
                (key, workUs, callback) ->
                        fetcher.fetch(key, workUs, rows -> thread.execute(() -> callback.accept(rows))),
                seed);
        thread.start();
        thread.scheduleEvery(TICK_US, () -> tick(busy.getAsBoolean()));
    }

    private void tick(boolean busy) {
        ZoneLink zoneLink = latestLink;
        Evidence evidence = zoneLink == null || zoneLink.state() == ZoneLink.State.UNKNOWN
                ? Evidence.NONE
                : new Evidence(
                        zoneLink.state() == ZoneLink.State.CONNECTED
                                ? Evidence.Link.REACHABLE
                                : Evidence.Link.UNREACHABLE,
                        zoneLink.sinceUs());
        service.tick(evidence, outsideContactUs, busy);
        if (service.isIsolated() != isolation.isIsolated()) {
            isolation = new FleetView.Isolation(service.isIsolated(), clock.now(), 0);
        }
    }

    /** Updates the state of the zone's link as known to the fleet's thread. */
    public void updateLink(ZoneLink link) {
        latestLink = link;
    }

    /** Records the receipt of a message from outside the zone. */
    public void recordOutsideContact(long nowUs) {
        outsideContactUs = nowUs;
    }

    /** Returns whether the zone is isolated, as of the last tick. */
    public FleetView.Isolation isolation() {
        return isolation;
    }

    /** Queues an event of the event loop; other events than received queries and ended attempts are ignored. */
    public void handle(LoopEvent event) {
        if (event instanceof LoopEvent.QueryReceived || event instanceof LoopEvent.AttemptEnded) {
            thread.execute(() -> service.handle(event));
        }
    }

    /**
     * Records that a load of another gateway changed a data group.
     *
     * @param group the data group; negative if it is not known
     * @param loadEndUs end of the load in microseconds of monotonic time
     */
    public void dataChanged(long group, long loadEndUs) {
        thread.execute(() -> service.dataChanged(group, loadEndUs));
    }

    /** Updates the live gateways of the zone. */
    public void updateNeighbours(Set<String> names) {
        thread.execute(() -> service.updateNeighbours(names));
    }

    /** Records that the link to a peer came up. */
    public void peerUp(String peer) {
        thread.execute(() -> service.peerUp(peer));
    }

    /** Records that the link to a peer ended. */
    public void peerDown(String peer) {
        thread.execute(() -> service.peerDown(peer));
    }

    /** Handles a replication message of a neighbour; an invalid one is logged and dropped. */
    public void received(String from, byte[] payload) {
        thread.execute(() -> {
            try {
                service.received(from, payload);
            } catch (FaultyMessageException e) {
                Logger.warn("fleet: dropped an invalid message about stored answers from {}: {}", from, e.getMessage());
            }
        });
    }

    /**
     * Looks up the response to a query while the zone is isolated.
     *
     * @param classIndex index of the query's class
     * @param query the query
     * @param enginesInZone whether there are engines within the zone
     * @param callback receives the response on this thread; empty if the query is processed as usual
     */
    public void lookUp(int classIndex, Query query, boolean enginesInZone, Consumer<Optional<Answer>> callback) {
        thread.execute(() -> service.lookUp(classIndex, query, enginesInZone, callback));
    }

    @Override
    public void close() {
        thread.close();
    }
}
