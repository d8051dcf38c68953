package sandpaddle.fleet.limit.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import sandpaddle.fleet.limit.Guard;
import sandpaddle.fleet.limit.LimitScope;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.LimitUnit;
import sandpaddle.fleet.limit.wire.Heartbeat;
import sandpaddle.fleet.limit.wire.InstanceRequest;
import sandpaddle.fleet.limit.wire.QuotaGrant;
import sandpaddle.fleet.limit.wire.SlotGrant;
import sandpaddle.fleet.limit.wire.SlotReport;

/**
 * The quotas of one gateway's process: what it may use now, by its own clock and the grants that it received. With a
 * lease that is the ceiling granted last, without one the floor reserved for the gateway, and nothing while engines may
 * still run attempts of a former process. The process never exceeds what it reported to the leader, so the leader may
 * allocate the rest to others. After leases (Gray and Cheriton 1989) and the demarcation protocol (Barbara and
 * Garcia-Molina 1994).
 *
 * <p>Not thread-safe: owned by the fleet's thread. The request path reads {@link #quotas()}. Cost: O(slots) a
 * heartbeat, O(1) a query. Bounds: {@link #MAX_SLOTS} slots; a heartbeat reports {@link Heartbeat#MAX_REPORTS} of them,
 * and {@link Heartbeat#MAX_IDLE_REPORTS} idle ones; the others follow in turn.
 */
public final class QuotaHolder {
    /** Max number of slots of one gateway. */
    public static final int MAX_SLOTS = 65_536;

    private final String member;
    private final long incarnation;
    private final long usableFromUs;
    private final LimitSettings settings;
    private final UsageSource usage;
    private final Lease lease;
    private final TreeMap<Quotas.Key, SlotQuota> slots = new TreeMap<>();
    private Map<String, LimitSpec> limits = new HashMap<>();
    private final Set<InstanceRequest> missingInstances = new LinkedHashSet<>();
    private long session;
    private long epoch;
    private long sequence;
    private Quotas.Key lastReported; // the next heartbeat continues after it if not all slots fit into one

    /**
     * Creates the quotas of a process that starts at {@code nowUs}.
     *
     * @param member name of the gateway
     * @param incarnation drawn at random at the start, so that no two processes of one name have the same; not 0
     * @param nowUs monotonic time (us)
     * @param settings the limits' settings
     * @param usage the usage of this gateway's slots
     * @param floors floors from the disk; empty if none are recent enough
     */
    public QuotaHolder(
            String member,
            long incarnation,
            long nowUs,
            LimitSettings settings,
            UsageSource usage,
            List<SavedFloor> floors) {
        this.member = member;
        this.incarnation = incarnation;
        this.settings = settings;
        this.usage = usage;
        lease = new Lease(settings);
        usableFromUs = nowUs + settings.startupDelayUs();
        for (SavedFloor floor : floors) {
            slots.put(new Quotas.Key(floor.limit(), floor.tenant()), new SlotQuota(floor.floor()));
        }
    }

    /** Applies a grant of a leader; one that is old, repeated or meant for another process changes nothing. */
    public void receiveGrant(long nowUs, QuotaGrant grant) {
        if (!isForThisProcess(grant)) {
            return;
        }
        if (grant.session() > session) {
            beginSession(grant.session());
        }
        for (SlotGrant slotGrant : grant.slotGrants()) {
            apply(slotGrant);
        }
        if (grant.confirmedSequence() > 0) {
            lease.confirm(nowUs, grant.confirmedSequence(), grant.session());
        }
        if (grant.includesLimits() && grant.epoch() > epoch) {
            replaceLimits(grant);
        }
    }

    private boolean isForThisProcess(QuotaGrant grant) {
        return grant.member().equals(member)
                && (grant.incarnation() == incarnation || !settings.enforces(Guard.INCARNATION))
                && (grant.session() >= session || !settings.enforces(Guard.SESSION));
    }

    private void beginSession(long nextSession) {
        session = nextSession;
        if (settings.enforces(Guard.SESSION)) {
            lease.end();
            slots.values().forEach(SlotQuota::reset);
        }
    }

    private void apply(SlotGrant slotGrant) {
        Quotas.Key key = new Quotas.Key(slotGrant.limit(), slotGrant.tenant());
        if (slots.containsKey(key) || slots.size() < MAX_SLOTS) {
            slots.computeIfAbsent(key, missing -> new SlotQuota(0)).apply(slotGrant, settings);
        }
    }

    private void replaceLimits(QuotaGrant grant) {
        epoch = grant.epoch();
        Map<String, LimitSpec> next = new HashMap<>();
        grant.limits().forEach(spec -> next.put(spec.id(), spec));
        limits = next;
        next.values().stream().filter(spec -> !spec.scope().hasWildcard()).forEach(spec -> openSlot(spec.id(), ""));
    }

    /** The next heartbeat. It must be sent at {@code nowUs} or not at all: the lease counts from here. */
    public Heartbeat nextHeartbeat(long nowUs) {
        sequence++;
        lease.recordSent(nowUs, sequence, session);
        boolean leased = lease.isValid(nowUs);
        List<SlotReport> reports = nextReports(nowUs, leased);
        List<InstanceRequest> requests =
                missingInstances.stream().limit(Heartbeat.MAX_INSTANCE_REQUESTS).toList();
        requests.forEach(missingInstances::remove);
        return new Heartbeat(incarnation, sequence, session, leased, settings.validityUs(), epoch, reports, requests);
    }

    /** Reports of all slots that need one, and of some idle ones, as far as they fit into one heartbeat. */
    private List<SlotReport> nextReports(long nowUs, boolean leased) {
        List<SlotReport> reports = new ArrayList<>();
        List<Quotas.Key> idle = new ArrayList<>();
        Map.Entry<Quotas.Key, SlotQuota> next =
                lastReported == null ? slots.firstEntry() : slots.higherEntry(lastReported);
        for (int i = slots.size(); i > 0 && reports.size() < Heartbeat.MAX_REPORTS; i--) {
            if (next == null) {
                next = slots.firstEntry();
            }
            Quotas.Key key = next.getKey();
            if (next.getValue().needsReport(used(key), demand(key))) {
                reports.add(reportSlot(nowUs, leased, key, next.getValue()));
            } else if (idle.size() < Heartbeat.MAX_IDLE_REPORTS) {
                idle.add(key);
            }
            // the next heartbeat continues after the last idle slot of this one, and so reports all of them in turn
            if (idle.size() < Heartbeat.MAX_IDLE_REPORTS || idle.get(idle.size() - 1) == key) {
                lastReported = key;
            }
            next = slots.higherEntry(key);
        }
        idle.stream()
                .limit(Heartbeat.MAX_REPORTS - reports.size())
                .forEach(key -> reports.add(reportSlot(nowUs, leased, key, slots.get(key))));
        return reports;
    }

    private long used(Quotas.Key key) {
        return isRate(key.limit()) ? 0 : usage.used(key.limit(), key.tenant());
    }

    private long demand(Quotas.Key key) {
        return Math.min(LimitSpec.MAX_AMOUNT, Math.max(used(key), usage.demand(key.limit(), key.tenant())));
    }

    private SlotReport reportSlot(long nowUs, boolean leased, Quotas.Key key, SlotQuota slotQuota) {
        long used = used(key); // must be read after the quotas that it may exceed were published
        if (nowUs >= usableFromUs) { // until then a former process may use the quotas, though this one does not
            slotQuota.reduce(nowUs, used, leased, settings.floorMaxAgeUs());
        }
        return slotQuota.recordReport(new SlotReport(
                key.limit(),
                key.tenant(),
                slotQuota.version,
                slotQuota.ceiling(),
                slotQuota.floor(),
                used,
                Math.max(used, demand(key))));
    }

    private boolean isRate(String limit) {
        int bar = limit.indexOf('|');
        LimitSpec spec = limits.get(bar < 0 ? limit : limit.substring(0, bar));
        return spec != null && spec.unit() == LimitUnit.RATE;
    }

    /** What may be used now; 0 if no quota was granted yet. */
    public long ceiling(long nowUs, String limit, String tenant) {
        SlotQuota slotQuota = slots.get(new Quotas.Key(limit, tenant));
        if (slotQuota == null || nowUs < usableFromUs) {
            return 0;
        }
        return lease.isValid(nowUs) ? slotQuota.leased() : slotQuota.unleased();
    }

    /** A snapshot of all slots for the request path. Publish it after each grant, before the next heartbeat. */
    public Quotas quotas() {
        Map<Quotas.Key, Quotas.SlotCeilings> ceilings = new HashMap<>();
        slots.forEach((key, slotQuota) ->
                ceilings.put(key, new Quotas.SlotCeilings(slotQuota.leased(), slotQuota.unleased())));
        return new Quotas(usableFromUs, lease.expiresAtUs(), ceilings);
    }

    /** When the lease expires unless it is renewed (us). */
    public long leaseExpiresAtUs() {
        return lease.expiresAtUs();
    }

    /** From when on any quota may be used (us). */
    public long usableFromUs() {
        return usableFromUs;
    }

    /**
     * How far the usage of each slot exceeds its quota. Idempotent attempts must be cancelled at once; the others end
     * within the grace period.
     */
    public Map<Quotas.Key, Long> excess(long nowUs) {
        Map<Quotas.Key, Long> excess = new TreeMap<>();
        for (Quotas.Key key : slots.keySet()) {
            long max = ceiling(nowUs, key.limit(), key.tenant());
            long used = used(key);
            if (used > max) {
                excess.put(key, used - max);
            }
        }
        return excess;
    }

    /** The limits in force as far as this gateway knows, by id. */
    public Map<String, LimitSpec> limits() {
        return Map.copyOf(limits);
    }

    /**
     * The limit that counts a query with these names under {@code spec}, a limit of the operator's file; empty if it
     * does not cover the query. An instance that has no quota yet is requested from the leader with the next
     * heartbeats.
     */
    public Optional<LimitSpec> limitFor(LimitSpec spec, LimitScope query) {
        Optional<LimitSpec> instance = spec.instanceFor(query);
        if (instance.isPresent() && spec.scope().hasWildcard()) {
            SlotQuota slotQuota = slots.get(new Quotas.Key(instance.get().id(), ""));
            if ((slotQuota == null || slotQuota.version == 0)
                    && missingInstances.size() < Heartbeat.MAX_INSTANCE_REQUESTS) {
                // requested again with each query until a quota is granted
                missingInstances.add(
                        new InstanceRequest(spec.id(), instance.get().scope()));
            }
            openSlot(instance.get().id(), "");
        }
        return instance;
    }

    /** Opens a slot that is reported before any quota is granted, such as a tenant's part of a pool. */
    public void openSlot(String limit, String tenant) {
        if (slots.size() < MAX_SLOTS) {
            slots.computeIfAbsent(new Quotas.Key(limit, tenant), k -> new SlotQuota(0));
        }
    }

    /** The floors to store, for a restart during a network partition. */
    public List<SavedFloor> floors() {
        List<SavedFloor> floors = new ArrayList<>();
        slots.forEach((key, slotQuota) -> floors.add(new SavedFloor(key.limit(), key.tenant(), slotQuota.unleased())));
        return floors;
    }

    /** Records that these floors are on disk: a reduced floor counts once every older file is too old to be used. */
    public void onFloorsWritten(long nowUs, List<SavedFloor> floors) {
        for (SavedFloor floor : floors) {
            SlotQuota slotQuota = slots.get(new Quotas.Key(floor.limit(), floor.tenant()));
            if (slotQuota != null) {
                slotQuota.onFloorWritten(nowUs, floor.floor());
            }
        }
    }
}
