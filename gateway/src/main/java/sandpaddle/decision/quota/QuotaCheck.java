package sandpaddle.decision.quota;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import sandpaddle.decision.event.QuotasChanged;
import sandpaddle.decision.model.EngineRegistry;
import sandpaddle.decision.model.EngineState;
import sandpaddle.decision.model.PendingRequest;
import sandpaddle.decision.model.PendingRequests;
import sandpaddle.decision.model.QuotaUsage;

/** Checks attempts against this gateway's quotas of fleet-wide limits, by class, tenant and engine. */
public final class QuotaCheck {
    private final EngineRegistry engines;
    private final PendingRequests requests;
    private Map<String, List<QuotaUsage>> byEngine = Map.of();
    private long retryAfterUs;

    /** Creates a check without quotas. */
    public QuotaCheck(EngineRegistry engines, PendingRequests requests) {
        this.engines = engines;
        this.requests = requests;
    }

    /** Replaces all quotas; attempts in flight count towards the new ones. */
    public void replace(QuotasChanged event) {
        retryAfterUs = event.retryAfterUs();
        byEngine = event.quotas().stream().map(QuotaUsage::new).collect(Collectors.groupingBy(QuotaUsage::engineId));
        for (PendingRequest request : requests.all()) {
            if (request.inFlight() != null) {
                update(request, request.inFlight().engine(), QuotaUsage::recordInFlight);
            }
        }
    }

    /** Whether there are no quotas. */
    public boolean isUnlimited() {
        return byEngine.isEmpty();
    }

    /** Whether all quotas that cover a request sent to an engine have capacity. */
    public boolean allows(PendingRequest request, EngineState engine) {
        if (isUnlimited()) {
            return true;
        }
        return haveCapacity(ofAnyEngine(), request, engine) && haveCapacity(ofEngine(engine), request, engine);
    }

    private static boolean haveCapacity(List<QuotaUsage> usages, PendingRequest request, EngineState engine) {
        for (QuotaUsage usage : usages) {
            if (usage.covers(request.request(), engine.id()) && !usage.hasCapacity()) {
                return false;
            }
        }
        return true;
    }

    /** Counts an attempt that is sent. */
    public void recordStart(PendingRequest request, EngineState engine) {
        update(request, engine, QuotaUsage::recordStart);
    }

    /** Counts an attempt that ended. */
    public void recordEnd(PendingRequest request, EngineState engine) {
        update(request, engine, QuotaUsage::recordEnd);
    }

    private void update(PendingRequest request, EngineState engine, Consumer<QuotaUsage> change) {
        if (isUnlimited()) {
            return;
        }
        updateCovering(ofAnyEngine(), request, engine, change);
        updateCovering(ofEngine(engine), request, engine, change);
    }

    private static void updateCovering(
            List<QuotaUsage> usages, PendingRequest request, EngineState engine, Consumer<QuotaUsage> change) {
        for (QuotaUsage usage : usages) {
            if (usage.covers(request.request(), engine.id())) {
                change.accept(usage);
            }
        }
    }

    /**
     * Returns the Retry-After for a rejected request (us).
     *
     * @param defaultUs Retry-After unless quotas exclude the request from every engine that its placement permits
     */
    public long retryAfterUs(PendingRequest request, long defaultUs) {
        if (isUnlimited() || retryAfterUs <= 0) {
            return defaultUs;
        }
        boolean anyPermitted = false;
        for (EngineState engine : engines.up()) {
            if (request.requestClass().permits(engine.entry())) {
                anyPermitted = true;
                if (allows(request, engine)) {
                    return defaultUs;
                }
            }
        }
        return anyPermitted ? retryAfterUs : defaultUs;
    }

    private List<QuotaUsage> ofAnyEngine() {
        return byEngine.getOrDefault(QuotaUsage.ANY_ENGINE, List.of());
    }

    private List<QuotaUsage> ofEngine(EngineState engine) {
        return byEngine.getOrDefault(engine.id(), List.of());
    }
}
