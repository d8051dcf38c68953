package sandpaddle.decision.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.EngineKind;

/** Registry of the engines of the engine list and of the health scopes of their zones. */
public final class EngineRegistry {
    private final DecisionSettings settings;
    private final Map<String, EngineState> engines = new LinkedHashMap<>();
    private final List<EngineState> up = new ArrayList<>();
    private final List<EngineState> upView = Collections.unmodifiableList(up);
    private final Map<Integer, HealthScope> zones = new TreeMap<>();
    private double totalCores;

    /** Creates a registry without engines. */
    public EngineRegistry(DecisionSettings settings) {
        this.settings = settings;
    }

    /**
     * Applies an engine list.
     *
     * @return the engines that are new, or whose process has restarted
     */
    public List<EngineState> update(EngineListReceived event) {
        if (event.kind() != EngineListKind.CHANGES) {
            engines.values().forEach(engine -> engine.setUp(false));
        }
        List<EngineState> started = new ArrayList<>();
        for (EngineEntry entry : event.entries()) {
            EngineState engine = engines.computeIfAbsent(entry.id(), this::create);
            if (engine.entry() == null || !engine.entry().isSameProcessAs(entry)) {
                started.add(engine);
            }
            engine.update(entry, zones.computeIfAbsent(entry.zone(), EngineRegistry::createZone));
            engine.setUp(entry.status() == EngineStatus.UP);
        }
        engines.values().removeIf(EngineRegistry::isObsolete);
        up.clear();
        for (EngineState engine : engines.values()) {
            if (engine.isUp()) {
                up.add(engine);
            }
        }
        started.forEach(this::setCapacity);
        totalCores = up.stream().mapToDouble(EngineState::cores).sum();
        return started;
    }

    private EngineState create(String id) {
        return new EngineState(id, settings.classes().size());
    }

    private static HealthScope createZone(int zone) {
        return new HealthScope(HealthScope.Kind.ZONE, "zone " + zone);
    }

    /** An engine that is no longer listed is kept until its last attempt has ended. */
    private static boolean isObsolete(EngineState engine) {
        return !engine.isUp()
                && engine.entry().status() != EngineStatus.DRAINING
                && engine.health().inFlight().isEmpty();
    }

    private void setCapacity(EngineState engine) {
        EngineEntry entry = engine.entry();
        List<EngineKind> kinds = settings.kinds();
        boolean knownKind = entry.kind() >= 0 && entry.kind() < kinds.size();
        double cores = knownKind ? kinds.get(entry.kind()).cores() : 0;
        engine.setCapacity(
                cores > 0 ? cores : Math.max(1, entry.rating()),
                RendezvousHash.position(settings.gatewayIndex(), engine.id()));
    }

    /** Returns the engine with an id, or null. */
    public EngineState find(String id) {
        return engines.get(id);
    }

    /** Returns all known engines, including those that are draining. */
    public Collection<EngineState> all() {
        return Collections.unmodifiableCollection(engines.values());
    }

    /** Returns the engines that are up, in the order in which they were first listed. */
    public List<EngineState> up() {
        return upView;
    }

    /** Returns the health scopes of all zones, ordered by zone index. */
    public Collection<HealthScope> zones() {
        return zones.values();
    }

    /** Returns the total cores of the engines that are up. */
    public double totalCores() {
        return totalCores;
    }
}
