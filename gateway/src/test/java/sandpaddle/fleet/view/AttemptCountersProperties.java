package sandpaddle.fleet.view;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/**
 * Compares {@link AttemptCounters} with an independent recount of all running and waiting attempts, over random
 * sequences of starts, ends, waits and views.
 */
class AttemptCountersProperties {
    private record Attempt(int classIndex, String tenant, String engine) {}

    private static final long USABLE_FROM_US = 100;
    private static final long LEASE_EXPIRES_US = 200;
    private static final String[] TENANTS = {"a", "b"};
    private static final String[] ENGINES = {"e", "f"};

    private final Publication<FleetView> views = new Publication<>(FleetView.EMPTY);
    private final Publication<SlotUsage> usages = new Publication<>(new SlotUsage(0, 0));
    private final AttemptCounters counters = new AttemptCounters(views, usages, 2);
    private final List<Attempt> running = new ArrayList<>();
    private final List<Attempt> waiting = new ArrayList<>();
    private FleetView adoptedView = FleetView.EMPTY;
    private long[] received = new long[0];

    private static <T> T pick(SplittableRandom random, T[] from) {
        return from[random.nextInt(from.length)];
    }

    private static LimitSlot slot(String id, SplittableRandom random) {
        return new LimitSlot(
                id,
                "",
                random.nextInt(3) - 1,
                random.nextBoolean() ? null : pick(random, TENANTS),
                random.nextBoolean() ? null : pick(random, ENGINES),
                random.nextInt(5) == 0 ? LimitSlot.Counts.STARTS : LimitSlot.Counts.RUNNING);
    }

    private static FleetView view(long numbering, SplittableRandom random) {
        List<LimitSlot> slots = new ArrayList<>();
        List<LimitSlot> perKeySlots = new ArrayList<>();
        for (int i = random.nextInt(5); i > 0; i--) {
            slots.add(slot("s" + i, random));
        }
        if (random.nextInt(3) == 0) {
            perKeySlots.add(new LimitSlot("x", "", -1, LimitSlot.EACH, null, LimitSlot.Counts.RUNNING));
            Arrays.stream(TENANTS)
                    .filter(tenant -> random.nextBoolean())
                    .forEach(tenant ->
                            slots.add(new LimitSlot("x|" + tenant, "", -1, tenant, null, LimitSlot.Counts.RUNNING)));
        }
        return withRandomQuotas(
                new FleetView(
                        numbering,
                        slots,
                        List.of(),
                        perKeySlots,
                        USABLE_FROM_US,
                        LEASE_EXPIRES_US,
                        List.of(),
                        Map.of(),
                        FleetView.Isolation.NONE),
                random);
    }

    private static FleetView withRandomQuotas(FleetView view, SplittableRandom random) {
        return new FleetView(
                view.numbering(),
                view.slots(),
                view.slots().stream()
                        .map(slot -> new FleetView.SlotQuota(random.nextInt(6), random.nextInt(3), 0))
                        .toList(),
                view.perKeySlots(),
                USABLE_FROM_US,
                LEASE_EXPIRES_US,
                List.of(),
                Map.of(),
                FleetView.Isolation.NONE);
    }

    /** Whether an attempt counts in a slot, by the documentation of {@link LimitSlot} alone. */
    private static boolean counts(LimitSlot slot, Attempt attempt) {
        return (slot.classIndex() == -1 || slot.classIndex() == attempt.classIndex)
                && (slot.tenant() == null || slot.tenant().equals(attempt.tenant))
                && (slot.engine() == null || slot.engine().equals(attempt.engine));
    }

    private static long count(LimitSlot slot, List<Attempt> attempts) {
        return attempts.stream().filter(attempt -> counts(slot, attempt)).count();
    }

    private boolean mayStart(Attempt attempt, long nowUs) {
        FleetView view = views.current();
        if (view.numbering() != adoptedView.numbering()) {
            return false;
        }
        if (!view.perKeySlots().isEmpty()
                && view.slots().stream().noneMatch(slot -> slot.id().equals("x|" + attempt.tenant))) {
            return false;
        }
        for (int i = 0; i < view.slots().size(); i++) {
            LimitSlot slot = view.slots().get(i);
            FleetView.SlotQuota quota = view.quotas().get(i);
            long max = nowUs < USABLE_FROM_US ? 0 : nowUs < LEASE_EXPIRES_US ? quota.ceiling() : quota.floor();
            if (slot.counts() == LimitSlot.Counts.RUNNING && counts(slot, attempt) && count(slot, running) >= max) {
                return false;
            }
        }
        return true;
    }

    private void assertCounts() {
        SlotUsage usage = usages.current();
        assertEquals(adoptedView.numbering(), usage.numbering());
        for (int i = 0; i < adoptedView.slots().size(); i++) {
            assertEquals(count(adoptedView.slots().get(i), running), usage.running(i));
            assertEquals(usage.running(i), counters.running(i));
            assertEquals(count(adoptedView.slots().get(i), waiting), usage.waiting(i));
            assertEquals(received[i], usage.received(i));
        }
    }

    private void addReceived(Attempt attempt) {
        counters.addReceived(attempt.classIndex, attempt.tenant);
        for (int i = 0; i < received.length; i++) {
            received[i] += counts(adoptedView.slots().get(i), attempt) ? 1 : 0;
        }
    }

    /** A gateway that counted wrongly would exceed its quotas, and so the limits of the fleet. */
    @Property(seed = "5", tries = 300)
    void countsAndRejectionsMatchARecount(@ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int step = 0; step < 80; step++) {
            Attempt attempt = new Attempt(random.nextInt(2), pick(random, TENANTS), pick(random, ENGINES));
            Attempt queued = new Attempt(attempt.classIndex, attempt.tenant, "");
            long nowUs = random.nextInt(8) == 0 ? random.nextInt(300) : USABLE_FROM_US + random.nextInt(100);
            switch (random.nextInt(10)) {
                case 0 -> views.publish(view(views.current().numbering() + 1, random));
                case 1 -> views.publish(withRandomQuotas(views.current(), random));
                case 2, 3 -> {
                    adoptedView =
                            views.current().numbering() == adoptedView.numbering() ? adoptedView : views.current();
                    received = usages.current().numbering() == adoptedView.numbering()
                            ? received
                            : new long[adoptedView.slots().size()];
                    assertEquals(views.current(), counters.adoptView());
                }
                case 4 -> {
                    counters.addWaiting(queued.classIndex, queued.tenant, 1);
                    waiting.add(queued);
                }
                case 5 -> {
                    if (waiting.remove(queued)) {
                        counters.addWaiting(queued.classIndex, queued.tenant, -1);
                    }
                }
                case 6 -> addReceived(queued);
                case 7 -> {
                    if (running.remove(attempt)) {
                        counters.ended(attempt.classIndex, attempt.tenant, attempt.engine);
                    }
                }
                default -> {
                    boolean mayStart = mayStart(attempt, nowUs);
                    assertEquals(
                            mayStart, counters.tryStart(attempt.classIndex, attempt.tenant, attempt.engine, nowUs));
                    if (mayStart) {
                        running.add(attempt);
                    }
                }
            }
            assertCounts();
        }
    }

    /** Above the bound on counters idle ones are removed, and those with running attempts stay. */
    @Example
    void idleCountersAreRemovedAboveTheBound() {
        views.publish(new FleetView(
                1,
                List.of(new LimitSlot("s", "", -1, null, null, LimitSlot.Counts.RUNNING)),
                List.of(new FleetView.SlotQuota(2, 1, 0)),
                List.of(),
                0,
                LEASE_EXPIRES_US,
                List.of(),
                Map.of(),
                FleetView.Isolation.NONE));
        counters.adoptView();
        assertTrue(counters.tryStart(0, "kept", "e", 1));
        for (int i = 0; i < AttemptCounters.MAX_COUNTERS + 5; i++) {
            assertTrue(counters.tryStart(1, "t" + i, "e", 1));
            counters.ended(1, "t" + i, "e");
        }
        counters.ended(0, "kept", "e");
        assertEquals(0, counters.running(0));
        assertTrue(counters.tryStart(0, "kept", "e", 1) && counters.tryStart(0, "kept", "f", 1));
        assertFalse(counters.tryStart(0, "other", "e", 1));
    }
}
