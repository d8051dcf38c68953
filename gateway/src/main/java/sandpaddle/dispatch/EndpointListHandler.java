package sandpaddle.dispatch;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.tinylog.Logger;
import sandpaddle.config.EndpointListEvent;
import sandpaddle.decision.Micros;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.eventloop.Scheduler;
import sandpaddle.query.EngineClient;
import sandpaddle.query.FleetCoordination;

/**
 * Passes changes of the endpoint list on to the engine client, the admission control, the fleet and the decision
 * module. Confined to the event loop's thread.
 */
final class EndpointListHandler {
    /** Limit on the errors of one event that are logged. */
    private static final int MAX_LOGGED_ERRORS = 8;

    private final EngineClient engines;
    private final AdmissionControl admission;
    private final FleetCoordination fleet;
    private final EventQueue events;
    private final Scheduler loop;
    private final EngineStartTimes startTimes;
    private boolean fullListReceived;

    EndpointListHandler(
            Scheduler loop,
            EngineClient engines,
            AdmissionControl admission,
            FleetCoordination fleet,
            EventQueue events) {
        this.loop = loop;
        startTimes = new EngineStartTimes(Instant.now(), loop.now());
        this.engines = engines;
        this.admission = admission;
        this.fleet = fleet;
        this.events = events;
    }

    /** Whether a complete list was received, from the configuration or from the control feed. */
    boolean hasFullList() {
        return fullListReceived;
    }

    /** Applies an event. On return no attempt is started that the list forbids. */
    void eventReceived(EndpointListEvent event) {
        event.errors().stream()
                .limit(MAX_LOGGED_ERRORS)
                .forEach(error -> Logger.warn("endpoint list event {}: {}", event.version(), error));
        List<EngineEntry> entries = updateEngines(event);
        EngineListReceived list = new EngineListReceived(kind(event), entries);
        fullListReceived |= event.fullList();
        admission.engineListReceived(list);
        fleet.engineListReceived(list);
        events.add(list);
    }

    private List<EngineEntry> updateEngines(EndpointListEvent event) {
        List<EngineEntry> entries = new ArrayList<>();
        for (EndpointListEvent.ListedEngine engine : event.engines()) {
            EngineEntry entry = engine.entry();
            engines.updateEngine(
                    entry.id(),
                    engine.address(),
                    Micros.instant(entry.listedStartUs()),
                    entry.status() == EngineStatus.UP,
                    entry.status() == EngineStatus.REMOVED);
            entries.add(entry);
        }
        if (event.fullList()) {
            engines.retainEngines(entries.stream().map(EngineEntry::id).collect(Collectors.toSet()));
        }
        return startTimes.estimate(entries, event.fullList(), loop.now());
    }

    /** The first complete list counts as cached: it may be the one in the configuration. */
    private EngineListKind kind(EndpointListEvent event) {
        if (!event.fullList()) {
            return EngineListKind.CHANGES;
        }
        return fullListReceived ? EngineListKind.FULL : EngineListKind.CACHED;
    }
}
